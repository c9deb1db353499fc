#include "log_writer/append_queue.h"

#include <utility>

namespace cloverbank {

void AppendQueue::Add(WaitingAppend append) {
  waiting_bytes_ += append.bytes;
  waiting_.push_back(std::move(append));
}

void AppendQueue::RecordPlaced(SegmentId segment, std::uint64_t end) {
  WaitingAppend& append = waiting_.front();
  waiting_bytes_ -= append.bytes;
  placed_.push_back({segment, end, std::move(append.done)});
  waiting_.pop_front();
}

bool AppendQueue::IsOldestPlacedDurable(SegmentId head, std::uint64_t durable_length) const {
  if (placed_.empty()) {
    return false;
  }
  const PlacedAppend& append = placed_.front();
  // All content of a segment before the head was durable before the segment was closed.
  return append.segment < head || append.end <= durable_length;
}

AppendQueue::Done AppendQueue::TakePlaced() {
  Done done = std::move(placed_.front().done);
  placed_.pop_front();
  return done;
}

std::size_t AppendQueue::CountPartlyPlaced() const {
  return waiting_.empty() || waiting_.front().next_entry == 0 ? 0 : 1;
}

bool AppendQueue::IsOverdue(std::size_t skipped, TimePoint cutoff) const {
  return waiting_.size() > skipped && waiting_[skipped].added_at <= cutoff;
}

AppendQueue::Done AppendQueue::TakeWaiting(std::size_t position) {
  const auto append = waiting_.begin() + static_cast<std::ptrdiff_t>(position);
  Done done = std::move(append->done);
  waiting_bytes_ -= append->bytes;
  waiting_.erase(append);
  return done;
}

std::vector<AppendQueue::Done> AppendQueue::TakeAll() {
  std::vector<Done> callbacks;
  for (PlacedAppend& append : placed_) {
    callbacks.push_back(std::move(append.done));
  }
  for (WaitingAppend& append : waiting_) {
    callbacks.push_back(std::move(append.done));
  }
  placed_.clear();
  waiting_.clear();
  waiting_bytes_ = 0;
  return callbacks;
}

}  // namespace cloverbank
