#include "coordinator/coalesced_task.h"

#include <utility>

namespace cloverbank {

CoalescedTask::CoalescedTask(Environment& environment, std::function<void()> action)
    : environment_(environment), action_(std::move(action)) {}

void CoalescedTask::Schedule() {
  if (scheduled_) {
    return;
  }
  scheduled_ = true;
  environment_.ScheduleAfter(Duration::zero(), [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      Run();
    }
  });
}

void CoalescedTask::Run() {
  scheduled_ = false;
  action_();
}

}  // namespace cloverbank
