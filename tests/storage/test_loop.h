#pragma once
/// @file
/// An event loop for tests of code that works on its own threads: runs posted functions on the
/// thread of the test.

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace cloverbank {

class TestLoop {
 public:
  /// Queues `action`. Thread-safe.
  void Post(std::function<void()> action) {
    const std::lock_guard<std::mutex> lock(mutex_);
    posted_.push_back(std::move(action));
    something_posted_.notify_one();
  }
  /// @return a function that calls `Post`.
  std::function<void(std::function<void()>)> poster() {
    return [this](std::function<void()> action) { Post(std::move(action)); };
  }
  /// Runs posted functions, waiting for more if needed, until `condition` holds.
  void RunUntil(const std::function<bool()>& condition) {
    while (!condition()) {
      std::unique_lock<std::mutex> lock(mutex_);
      something_posted_.wait(lock, [this] { return !posted_.empty(); });
      const auto action = std::move(posted_.front());
      posted_.pop_front();
      lock.unlock();
      action();
    }
  }
  /// Runs posted functions until none is left.
  void RunPosted() {
    RunUntil([this] {
      const std::lock_guard<std::mutex> lock(mutex_);
      return posted_.empty();
    });
  }

 private:
  std::mutex mutex_;
  std::condition_variable something_posted_;
  std::deque<std::function<void()>> posted_;
};

}  // namespace cloverbank
