#pragma once
/// @file
/// Sends the endpoints of the coordinators to the nodes that `CoordinatorNotificationSchedule`
/// names. Threads: the owner's event loop only.

#include "leader/coordinator_notification_schedule.h"
#include "leader/leader_context.h"

namespace cloverbank {

class CoordinatorNotifier {
 public:
  explicit CoordinatorNotifier(LeaderContext& context) : context_(context) {}

  /// This member became leader.
  void Reset() { schedule_.Reset(); }
  /// Notifies the nodes that are due. Lost notifications are repeated by a later step.
  void Step();

 private:
  LeaderContext& context_;
  CoordinatorNotificationSchedule schedule_;
};

}  // namespace cloverbank
