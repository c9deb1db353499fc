#pragma once
/// @file
/// A list of callbacks that run after each event, in the order in which they were added. Threads:
/// the owner's event loop only.

#include <cstddef>
#include <deque>
#include <functional>
#include <utility>

namespace cloverbank {

class ObserverList {
 public:
  void Add(std::function<void()> observer) { observers_.push_back(std::move(observer)); }

  /// Runs every observer once. An observer that is added during the run is first called for the
  /// next event.
  void NotifyAll() const {
    const std::size_t count = observers_.size();
    for (std::size_t index = 0; index < count; ++index) {
      observers_[index]();
    }
  }

 private:
  /// A deque, because references to its elements stay valid when a running observer adds another.
  std::deque<std::function<void()>> observers_;
};

}  // namespace cloverbank
