#include "leader/leader_controller.h"

namespace cloverbank {

LeaderController::LeaderController(LeaderContext& context, CommandProposer& proposer)
    : context_(context),
      death_declarer_(context, proposer),
      arrivals_(context.options.arrival_quiet, context.options.maximum_arrival_wait),
      partition_assigner_(context, proposer),
      recovery_executor_(context, proposer),
      sweep_executor_(context),
      unreachable_node_notifier_(context) {}

void LeaderController::Begin() {
  recovery_executor_.Reset();
  sweep_executor_.Reset();
  arrivals_.Reset();
  unreachable_node_notifier_.Reset();
  partition_assigner_.InitializePartitions();
}

void LeaderController::Step() {
  partition_assigner_.InitializePartitions();
  death_declarer_.Step();
  const bool may_assign = UpdateArrivalGate();
  if (may_assign) {
    partition_assigner_.AssignFreePartitions();
  }
  recovery_executor_.Step(may_assign);
  sweep_executor_.Step();
  unreachable_node_notifier_.Step();
}

bool LeaderController::UpdateArrivalGate() {
  const bool waiting = !context_.state.partitions().FindFree().empty() ||
                       recovery_executor_.manager().IsWaitingForQueueNodes(context_.state);
  return arrivals_.Update(context_.state, context_.unresponsive, waiting,
                          context_.environment.Now());
}

}  // namespace cloverbank
