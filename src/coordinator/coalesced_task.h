#pragma once
/// @file
/// Runs an action in a turn of the event loop of its own, once however often it was scheduled
/// before. Threads: the owner's event loop only.

#include <functional>
#include <memory>

#include "runtime/environment.h"

namespace cloverbank {

class CoalescedTask {
 public:
  /// `environment` and what `action` refers to must outlive the task.
  CoalescedTask(Environment& environment, std::function<void()> action);

  void Schedule();

 private:
  void Run();

  Environment& environment_;
  std::function<void()> action_;
  bool scheduled_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank
