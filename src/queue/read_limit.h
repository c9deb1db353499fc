#pragma once
/// @file
/// How many segments one queue node reads at once, over all its recoveries: with too many on one
/// link each of them takes longer than its deadline, and none ever ends. Threads: the owner's event
/// loop only.

#include <cstddef>
#include <functional>
#include <utility>
#include <vector>

namespace cloverbank {

class ReadLimit {
 public:
  explicit ReadLimit(std::size_t max_parallel) : max_parallel_(max_parallel) {}

  /// @return whether a read may begin. If not, `on_capacity` runs once after one has ended.
  bool Acquire(std::function<void()> on_capacity) {
    if (active_ < max_parallel_) {
      ++active_;
      return true;
    }
    waiting_.push_back(std::move(on_capacity));
    return false;
  }
  /// A read has ended.
  void Release() {
    --active_;
    for (const std::function<void()>& on_capacity : std::exchange(waiting_, {})) {
      on_capacity();
    }
  }

 private:
  const std::size_t max_parallel_;
  std::size_t active_ = 0;
  std::vector<std::function<void()>> waiting_;
};

}  // namespace cloverbank
