#include "leader/leader_controller.h"

namespace cloverbank {

LeaderController::LeaderController(LeaderContext& context, CommandProposer& proposer)
    : context_(context),
      death_declarer_(context, proposer),
      arrival_gate_(context.options.arrival_quiet, context.options.maximum_arrival_wait),
      partition_assigner_(context, proposer),
      recovery_executor_(context, proposer),
      sweep_executor_(context),
      coordinator_notifier_(context) {}

void LeaderController::BeginTerm() {
  recovery_executor_.Reset();
  sweep_executor_.Reset();
  arrival_gate_.Reset();
  coordinator_notifier_.Reset();
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
  coordinator_notifier_.Step();
}

bool LeaderController::UpdateArrivalGate() {
  const bool partitions_waiting =
      !context_.state.partitions().FindFreePartitions().empty() ||
      recovery_executor_.manager().IsWaitingForQueueNodes(context_.state);
  return arrival_gate_.Update(context_.state, context_.unresponsive, partitions_waiting,
                              context_.environment.Now());
}

}  // namespace cloverbank
