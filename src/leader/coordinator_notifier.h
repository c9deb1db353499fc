#pragma once
/// @file
/// Sends the endpoints of the coordinators to the nodes that `CoordinatorNotificationSchedule`
/// returns. Threads: the owner's event loop only.

#include "leader/coordinator_notification_schedule.h"
#include "leader/leader_context.h"

namespace cloverbank {

class CoordinatorNotifier {
 public:
  explicit CoordinatorNotifier(LeaderContext& context) : context_(context) {}

  /// Starts the schedule anew. Call it when this member becomes leader.
  void Reset() { schedule_.Reset(); }
  /// Notifies the nodes that are due. It ignores the results of the calls: a later step notifies
  /// nodes again that remain unresponsive.
  void Step();

 private:
  LeaderContext& context_;
  CoordinatorNotificationSchedule schedule_;
};

}  // namespace cloverbank
