#include "leader/partition_assigner.h"

#include "leader/partition_placement.h"

namespace cloverbank {

void PartitionAssigner::InitializePartitions() {
  if (context_.state.partitions().partition_count() != 0) {
    return;
  }
  proto::ControlCommand command;
  command.mutable_initialize()->set_partition_count(context_.state.initial_partition_count());
  proposer_.ProposeOnce("initialize", command);
}

void PartitionAssigner::AssignFreePartitions() {
  const auto placement = PlacePartitions(context_.state.partitions().FindFreePartitions(),
                                         context_.state, context_.unresponsive);
  for (const auto& [node, partitions] : placement) {
    proto::ControlCommand command;
    proto::AssignPartitionsCommand& assign = *command.mutable_assign_partitions();
    assign.set_queue_node_id(node.value());
    for (const PartitionId partition : partitions) {
      assign.add_partition_ids(partition.value());
    }
    proposer_.ProposeOnce("assign:" + node.ToString(), command);
  }
}

}  // namespace cloverbank
