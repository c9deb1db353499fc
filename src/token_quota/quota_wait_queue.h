#pragma once
/// @file
/// First-come, first-served queue of the submissions that wait for capacity within a limit. A
/// rejected batch keeps its position for a short time, in which its client is expected to retry.
/// Capacity that is freed is reserved for waiting batches in order of their first attempts, but not
/// for those whose clients are away: they may never retry, and newcomers could use the capacity
/// meanwhile. Capacity that was free when a batch was rejected is not reserved. Pure.

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/time.h"

namespace cloverbank {

class QuotaWaitQueue {
 public:
  /// Adds a waiting batch at the end; a batch that has a position keeps it.
  void Enter(const std::string& batch, std::uint64_t tokens);
  /// The batch was rejected; its position expires if its client does not retry by `until`.
  void KeepPositionUntil(const std::string& batch, TimePoint until);
  /// The batch was accepted, or its client gave up.
  void Leave(const std::string& batch);
  /// Reserves freed tokens for the waiting batches, up to what they request.
  void RecordFreed(std::uint64_t tokens);
  /// Removes rejected batches whose clients did not retry in time.
  void DropExpired(TimePoint now);

  /// @return the tokens that batches ahead of this one request; those of all batches if it is not
  /// queued.
  std::uint64_t TokensBefore(const std::string& batch) const;
  /// @return the tokens reserved for batches ahead of this one.
  std::uint64_t ReservedBefore(const std::string& batch) const;
  /// @return a number that increases along the queue; the maximum for a batch that is not queued.
  std::uint64_t FindPosition(const std::string& batch) const;

 private:
  struct Entry {
    std::string batch;
    std::uint64_t tokens = 0;
    std::uint64_t position = 0;
    std::optional<TimePoint> position_expires_at;  ///< Set between rejection and retry.
  };

  void Remove(std::list<Entry>::iterator entry);

  std::list<Entry> entries_;
  std::unordered_map<std::string, std::list<Entry>::iterator> by_batch_;
  std::uint64_t last_position_ = 0;
  std::uint64_t requested_ = 0;  ///< Tokens of all entries.
  std::uint64_t reserved_ = 0;   ///< At most `requested_`.
};

}  // namespace cloverbank
