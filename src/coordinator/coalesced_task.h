#pragma once
/// @file
/// Runs an action in a later turn of the event loop, once for all calls of `Schedule` since its
/// last run. Threads: the owner's event loop only.

#include <functional>
#include <memory>

#include "runtime/environment.h"

namespace cloverbank {

class CoalescedTask {
 public:
  /// `environment` and what `action` refers to must outlive the task. A scheduled run does not
  /// happen if the task is destroyed first.
  CoalescedTask(Environment& environment, std::function<void()> action);

  /// Schedules a run, unless one is already scheduled.
  void Schedule();

 private:
  void Run();

  Environment& environment_;
  std::function<void()> action_;
  bool scheduled_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank
