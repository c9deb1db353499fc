#pragma once
/// @file
/// Limits how many segments a queue node reads in parallel, over all its recoveries. With too many
/// reads on one link, all would exceed their deadlines and no recovery would end.
///
/// Threads: the owner's event loop only; callbacks run there too.

#include <cstddef>
#include <functional>
#include <utility>
#include <vector>

namespace cloverbank {

class ReadLimit {
 public:
  explicit ReadLimit(std::size_t max_parallel) : max_parallel_(max_parallel) {}

  /// @return whether a read may start now. If not, `on_capacity` runs once, in the next `Release`;
  /// it must call `Acquire` again to start its read.
  bool Acquire(std::function<void()> on_capacity) {
    if (running_ < max_parallel_) {
      ++running_;
      return true;
    }
    waiting_callbacks_.push_back(std::move(on_capacity));
    return false;
  }
  /// Ends a read that `Acquire` allowed, and runs the waiting callbacks.
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
