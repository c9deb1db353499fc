#pragma once
/// @file
/// Queue of the appends that are not acknowledged yet, in order of `Add`. An append first waits for
/// space in a segment. Once all its entries are in segments it is *placed*, and waits until the
/// backups have synced them.
///
/// Does no I/O and starts no thread; not thread-safe.

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

  /// An append with entries that are not in a segment yet.
  struct WaitingAppend {
    std::vector<proto::LogEntry> entries;
    std::size_t next_entry = 0;  ///< Index of the first entry that is not in a segment yet.
    std::uint64_t bytes = 0;     ///< Framed size of all entries.
    TimePoint added_at;          ///< Time of `Add`.
    Done done;                   ///< The queue returns it, but never runs it.
  };

  /// Adds an append at the end of the queue.
  void Add(WaitingAppend append);
  bool HasWaiting() const { return !waiting_.empty(); }
  /// Requires `HasWaiting()`.
  WaitingAppend& first_waiting() { return waiting_.front(); }
  /// @return the framed bytes of all waiting appends.
  std::uint64_t waiting_bytes() const { return waiting_bytes_; }

  /// Records that all entries of the first waiting append are in segments; the last one ends at
  /// byte `end` of `segment`. Requires `HasWaiting()`.
  void RecordPlaced(SegmentId segment, std::uint64_t end);
  /// @return whether the oldest placed append ends in a segment before `head`, or in `head` within
  /// its first `durable_length` bytes; false if no append is placed.
  bool IsOldestPlacedDurable(SegmentId head, std::uint64_t durable_length) const;
  /// Removes the oldest placed append; there must be one. @return its callback.
  Done TakePlaced();

  /// @return how many waiting appends, at the front of the queue, have some of their entries in a
  /// segment already. Such an append can no longer be refused: it completes when the backups have
  /// synced it, or when the log ends.
  std::size_t CountPartlyPlaced() const;
  /// @return whether the first waiting append after `skipped` others was added at `cutoff` or
  /// earlier.
  bool IsOverdue(std::size_t skipped, TimePoint cutoff) const;
  /// Removes the waiting append at `position`, which must exist. @return its callback.
  Done TakeWaiting(std::size_t position);

  /// Removes all appends. @return their callbacks in order of `Add`.
  std::vector<Done> TakeAll();

 private:
  struct PlacedAppend {
    SegmentId segment;      ///< Has the last entry.
    std::uint64_t end = 0;  ///< Offset in `segment`, in bytes, at which the last entry ends.
    Done done;
  };

  std::deque<WaitingAppend> waiting_;
  std::deque<PlacedAppend> placed_;
  std::uint64_t waiting_bytes_ = 0;
};

}  // namespace cloverbank
