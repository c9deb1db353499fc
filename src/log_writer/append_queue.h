#pragma once
/// @file
/// The appends on their way into the log, in order: first those that wait for a place in a segment,
/// then those that are placed and wait until the backups have synced them.
///
/// Pure. Threads: none of its own.

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "base/ids.h"
#include "base/status.h"
#include "base/time.h"
#include "proto/log.pb.h"

namespace cloverbank {

class AppendQueue {
 public:
  using Done = std::function<void(Status)>;

  struct WaitingAppend {
    std::vector<proto::LogEntry> entries;
    std::size_t next_entry = 0;  ///< First entry that is not in a segment yet.
    std::uint64_t bytes = 0;     ///< Framed, of all entries.
    TimePoint added_at;          ///< Time of `Add`.
    Done done;
  };

  /// Queues an append behind all others.
  void Add(WaitingAppend append);
  bool HasWaiting() const { return !waiting_.empty(); }
  /// Requires `HasWaiting()`.
  WaitingAppend& first_waiting() { return waiting_.front(); }
  /// @return the framed bytes of all waiting appends.
  std::uint64_t waiting_bytes() const { return waiting_bytes_; }

  /// Records that all entries of the first waiting append are placed, the last one up to `end` of
  /// `segment`.
  void RecordPlaced(SegmentId segment, std::uint64_t end);
  /// @return whether the oldest placed append is in a segment before `head`, or in `head` within
  /// its first `durable_length` bytes.
  bool IsOldestPlacedDurable(SegmentId head, std::uint64_t durable_length) const;
  /// Requires a placed append. @return the callback of the oldest one, which is removed.
  Done TakePlaced();

  /// @return how many waiting appends, at the front, have a part in a segment already. Such an
  /// append can only be synced or end with the log.
  std::size_t CountPartlyPlaced() const;
  /// @return whether a waiting append behind the first `skipped` waits since `limit` or longer.
  bool IsOverdue(std::size_t skipped, TimePoint cutoff) const;
  /// Requires `IsOverdue`. @return the callback of the append at `position`, which is removed.
  Done TakeWaiting(std::size_t position);

  /// Removes everything. @return the callbacks in order of `Add`.
  std::vector<Done> TakeAll();

 private:
  struct PlacedAppend {
    SegmentId segment;
    std::uint64_t end = 0;
    Done done;
  };

  std::deque<WaitingAppend> waiting_;
  std::deque<PlacedAppend> placed_;
  std::uint64_t waiting_bytes_ = 0;
};

}  // namespace cloverbank
