#pragma once
/// @file
/// The order in which submissions get the room that frees within a limit: that of their first
/// attempts. A batch that was refused keeps its place for the short time within which its client
/// comes again, but room is kept only for those that are there: who is away may never come again,
/// and newcomers could have used the room in time. Room that was free when a batch was refused is
/// anybody's: only what frees since then is kept for the line. Pure.

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/time.h"

namespace cloverbank {

class QuotaWaitQueue {
 public:
  /// The batch is there to be taken: it stands at the end, or where it has stood before.
  void Enter(const std::string& batch, std::uint64_t tokens);
  /// The batch was refused for now; its place is kept until then.
  void ReserveUntil(const std::string& batch, TimePoint until);
  /// The batch was taken, or will not come again.
  void Leave(const std::string& batch);
  /// So many tokens were finished: their room is kept for the line, as far as it wants it.
  void RecordFreed(std::uint64_t tokens);
  /// Gives up the places of those that did not come in time.
  void DropExpired(TimePoint now);

  /// @return the tokens of all batches before this one; of all there are if it has no place.
  std::uint64_t TokensBefore(const std::string& batch) const;
  /// @return how much of the room that those before the batch want is kept for them.
  std::uint64_t ReservedBefore(const std::string& batch) const;
  /// @return a number that rises along the line; the largest there is for a batch without a place.
  std::uint64_t FindPosition(const std::string& batch) const;

 private:
  struct Entry {
    std::string batch;
    std::uint64_t tokens = 0;
    std::uint64_t position = 0;
    std::optional<TimePoint> reserved_until;  ///< While its client is away.
  };

  void Remove(std::list<Entry>::iterator entry);

  std::list<Entry> entries_;
  std::unordered_map<std::string, std::list<Entry>::iterator> by_batch_;
  std::uint64_t last_position_ = 0;
  std::uint64_t requested_ = 0;  ///< Tokens of all places.
  std::uint64_t reserved_ = 0;   ///< At most `requested_`.
};

}  // namespace cloverbank
