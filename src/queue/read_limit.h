#pragma once
/// @file
/// Limits how many segments a queue node reads in parallel over all its recoveries. Too many reads
/// on one link would all exceed their deadlines, and no recovery would end.
///
/// Threads: the owner's event loop only.

#include <cstddef>
#include <functional>
#include <utility>
#include <vector>

namespace cloverbank {

class ReadLimit {
 public:
  explicit ReadLimit(std::size_t max_parallel) : max_parallel_(max_parallel) {}

  /// @return whether a read may start. If not, `on_capacity` runs once after a running read has
  /// ended.
  bool Acquire(std::function<void()> on_capacity) {
    if (running_ < max_parallel_) {
      ++running_;
      return true;
    }
    waiting_callbacks_.push_back(std::move(on_capacity));
    return false;
  }
  /// Call it when a read that `Acquire` allowed has ended.
  void Release() {
    --running_;
    for (const std::function<void()>& on_capacity : std::exchange(waiting_callbacks_, {})) {
      on_capacity();
    }
  }

 private:
  const std::size_t max_parallel_;
  std::size_t running_ = 0;
  std::vector<std::function<void()>> waiting_callbacks_;
};

}  // namespace cloverbank
