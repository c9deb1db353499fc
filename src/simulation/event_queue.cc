#include "simulation/event_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cloverbank {

bool EventQueue::RunsLater(const Event& left, const Event& right) {
  return std::tie(left.at, left.sequence) > std::tie(right.at, right.sequence);
}

void EventQueue::Schedule(TimePoint at, std::function<void()> action) {
  heap_.push_back({std::max(at, now_), next_sequence_++, std::move(action)});
  std::push_heap(heap_.begin(), heap_.end(), RunsLater);
}

bool EventQueue::RunNext(TimePoint limit) {
  if (heap_.empty() || heap_.front().at > limit) {
    return false;
  }
  std::pop_heap(heap_.begin(), heap_.end(), RunsLater);
  Event event = std::move(heap_.back());
  heap_.pop_back();
  now_ = event.at;
  event.action();
  return true;
}

void EventQueue::AdvanceTo(TimePoint time) { now_ = std::max(now_, time); }

void EventQueue::Clear() {
  std::vector<Event> dropped;
  dropped.swap(heap_);
}

}  // namespace cloverbank
