#pragma once
/// @file
/// First-come, first-served queue of the batches that wait for capacity within a token limit. A
/// rejected batch keeps its position for a short time, in which its client is expected to retry.
///
/// Capacity that is freed is reserved for the waiting batches in the order of their first attempts.
/// None is held for a batch between its rejection and its retry, because its client may never retry
/// and new batches can use the capacity meanwhile. Capacity that was free when a batch was rejected
/// is not reserved. Pure.

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/time.h"

namespace cloverbank {

/// Batches are identified by name, capacity is counted in tokens.
class QuotaWaitQueue {
 public:
  /// Adds a waiting batch at the end. A batch that has a position keeps it, and that position no
  /// longer expires.
  void Enter(const std::string& batch, std::uint64_t tokens);
  /// Records that the batch was rejected: its position expires if its client does not retry by
  /// `until`.
  void KeepPositionUntil(const std::string& batch, TimePoint until);
  /// Removes a batch that was accepted or no longer waits; ignores batches that are not queued.
  void Leave(const std::string& batch);
  /// Reserves freed tokens for the queued batches, up to the tokens that they request.
  void RecordFreed(std::uint64_t tokens);
  /// Removes the rejected batches whose positions have expired before `now`.
  void DropExpired(TimePoint now);

  /// @return the tokens requested by the batches ahead of this one; those of all batches if it is
  /// not queued.
  std::uint64_t TokensBefore(const std::string& batch) const;
  /// @return the tokens reserved for batches ahead of this one; for all batches if it is not
  /// queued. Rejected batches that were not retried yet do not count.
  std::uint64_t ReservedBefore(const std::string& batch) const;
  /// @return a number that increases from the front of the queue to its end; the largest
  /// std::uint64_t for a batch that is not queued.
  std::uint64_t FindPosition(const std::string& batch) const;

 private:
  struct Entry {
    std::string batch;
    std::uint64_t tokens = 0;
    std::uint64_t position = 0;
    std::optional<TimePoint> position_expires_at;  ///< Set from rejection to retry.
  };

  void Remove(std::list<Entry>::iterator entry);

  std::list<Entry> entries_;
  std::unordered_map<std::string, std::list<Entry>::iterator> by_batch_;
  std::uint64_t last_position_ = 0;
  std::uint64_t requested_ = 0;  ///< Tokens requested by all entries.
  std::uint64_t reserved_ = 0;   ///< Tokens, at most `requested_`.
};

}  // namespace cloverbank
