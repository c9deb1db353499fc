#pragma once
/// @file
/// Callbacks that run after an event, in the order of their registration. Threads: the owner's
/// event loop only.

#include <cstddef>
#include <deque>
#include <functional>
#include <utility>

namespace cloverbank {

class ObserverList {
 public:
  void Add(std::function<void()> observer) { observers_.push_back(std::move(observer)); }

  /// Runs every observer once. One that is added meanwhile runs from the next event on.
  void NotifyAll() const {
    const std::size_t count = observers_.size();
    for (std::size_t index = 0; index < count; ++index) {
      observers_[index]();
    }
  }

 private:
  /// A deque: references stay valid when an observer adds another.
  std::deque<std::function<void()>> observers_;
};

}  // namespace cloverbank
