#include "leader/leader_controller.h"

#include <string>
#include <utility>

#include "base/logging.h"
#include "control_state/proto_endpoint.h"
#include "leader/partition_placement.h"
#include "runtime/node_methods.h"
#include "runtime/typed_peer.h"

namespace cloverbank {
namespace {

/// Silence after which a node is given partitions only if there is no other.
constexpr Duration kDoubtfulAfter = milliseconds(1500);

}  // namespace

LeaderController::LeaderController(LeaderContext& context, CommandProposer& proposer)
    : context_(context),
      proposer_(proposer),
      recoveries_(context.options.recovery),
      sweeper_(context.options.sweep_interval, context.options.retiring_sweep_interval,
               context.options.node_lease),
      arrivals_(context.options.arrival_quiet, context.options.arrival_longest) {}

void LeaderController::Begin() {
  recoveries_.Reset();
  sweeper_.Reset();
  arrivals_.Reset();
  unreachable_nodes_.Reset();
  InitializePartitions();
}

void LeaderController::InitializePartitions() {
  if (context_.state.partitions().partition_count() != 0) {
    return;
  }
  proto::ControlCommand command;
  command.mutable_initialize()->set_partition_count(context_.state.initial_partition_count());
  proposer_.ProposeOnce("initialize", command);
}

void LeaderController::Step() {
  InitializePartitions();
  DeclareUnresponsiveDead();
  const bool waiting =
      !context_.state.partitions().Free().empty() || recoveries_.WaitsForQueueNodes(context_.state);
  const bool may_assign =
      arrivals_.IsOpen(context_.state, context_.doubtful, waiting, context_.environment.Now());
  AssignPartitions(may_assign);
  AdvanceRecoveries(may_assign);
  SweepBackups();
  NotifyUnreachableNodes();
}

void LeaderController::DeclareUnresponsiveDead() {
  const TimePoint now = context_.environment.Now();
  context_.leases.Expire(now);
  context_.doubtful.clear();
  std::set<NodeId> live;
  std::vector<std::pair<proto::Server, std::string>> dead;
  for (const auto& [id, server] : context_.state.servers().servers()) {
    if (!IsLive(server)) {
      continue;
    }
    live.insert(id);
    if (now - context_.detector.LastHeardFrom(id) >= kDoubtfulAfter) {
      context_.doubtful.insert(id);
    }
    std::string reason = FindDeathReason(server);
    if (!reason.empty() && !context_.condemned.contains(id)) {
      dead.emplace_back(server, std::move(reason));
    }
  }
  context_.detector.RetainOnly(live);
  std::erase_if(context_.loads, [&live](const auto& entry) { return !live.contains(entry.first); });
  for (const auto& [server, reason] : dead) {
    ProposeDeath(server, reason);
  }
}

std::string LeaderController::FindDeathReason(const proto::Server& server) const {
  const NodeId id(server.node_id());
  const TimePoint now = context_.environment.Now();
  if (context_.detector.IsDead(id, context_.leases, now)) {
    return "silent";
  }
  const bool superseded = context_.state.servers().FindLaterIncarnation(server).valid();
  if (superseded && now >= context_.leases.LeaseEnd(id)) {
    return "superseded";
  }
  return {};
}

void LeaderController::ProposeDeath(const proto::Server& server, const std::string& reason) {
  const NodeId id(server.node_id());
  Log(LogLevel::kWarning, "node_declared_dead",
      {{"node_id", id.value()}, {"machine", server.machine()}, {"reason", reason}});
  context_.environment.metrics().Increment("coordinator_node_declared_dead_total",
                                           {{"reason", reason}});
  context_.condemned.insert(id);
  proto::ControlCommand command;
  command.mutable_declare_server_dead()->set_node_id(id.value());
  command.mutable_declare_server_dead()->set_reason(reason);
  proposer_.ProposeOnce("dead:" + id.ToString(), command,
                        [this, id](const Result<proto::ControlCommandResult>& result) {
                          // Else leadership was lost: a new term begins with nobody condemned.
                          if (result.ok()) {
                            context_.condemned.erase(id);
                          }
                        });
}

void LeaderController::AssignPartitions(bool may_assign) {
  if (!may_assign) {
    return;
  }
  const auto spread =
      SpreadPartitions(context_.state.partitions().Free(), context_.state, context_.doubtful);
  for (const auto& [node, partitions] : spread) {
    proto::ControlCommand command;
    proto::AssignPartitionsCommand& assign = *command.mutable_assign_partitions();
    assign.set_queue_node_id(node.value());
    for (const PartitionId partition : partitions) {
      assign.add_partition_ids(partition.value());
    }
    proposer_.ProposeOnce("assign:" + node.ToString(), command);
  }
}

void LeaderController::AdvanceRecoveries(bool may_assign) {
  RecoveryFacts facts;
  facts.now = context_.environment.Now();
  facts.may_assign = may_assign;
  facts.doubtful = context_.doubtful;
  for (const RecoveryAction& action : recoveries_.Step(context_.state, facts)) {
    std::visit([this](const auto& one) { Execute(one); }, action);
  }
}

void LeaderController::Execute(const StartReadingAction& action) {
  proto::StartReadingDataRequest request;
  request.set_dead_node_id(action.dead.value());
  CallPeer<proto::StartReadingDataResponse>(
      context_.environment, action.endpoint, "backup.StartReadingData", request,
      context_.options.call_deadline,
      [this, action, alive = std::weak_ptr<bool>(context_.alive)](
          Result<proto::StartReadingDataResponse> answer) {
        if (!alive.expired()) {
          recoveries_.OnReadingData(action.dead, action.backup, std::move(answer));
        }
      });
}

void LeaderController::Execute(const ProposeReplayAction& action) {
  proto::ControlCommand command;
  *command.mutable_start_replay() = action.command;
  proposer_.ProposeOnce("replay:" + std::to_string(action.command.dead_node_id()), command);
}

void LeaderController::Execute(const RecoverPartitionsAction& action) {
  CallPeer<proto::RecoverPartitionsResponse>(
      context_.environment, action.endpoint, "queue.RecoverPartitions", action.request,
      context_.options.call_deadline,
      [this, request = action.request, alive = std::weak_ptr<bool>(context_.alive)](
          const Result<proto::RecoverPartitionsResponse>& answer) {
        if (alive.expired() || !answer.ok() || !answer->done() || !context_.CanAnswer()) {
          return;
        }
        proto::ControlCommand command;
        proto::FinishAssignmentCommand& finish = *command.mutable_finish_assignment();
        finish.set_dead_node_id(request.dead_node_id());
        finish.set_queue_node_id(request.queue_node_id());
        *finish.mutable_partition_ids() = request.partition_ids();
        proposer_.ProposeOnce("finish:" + std::to_string(request.dead_node_id()) + ":" +
                                  std::to_string(request.queue_node_id()),
                              command);
      });
}

void LeaderController::Execute(const ReleaseAction& action) {
  proto::ReleaseRecoveryDataRequest request;
  request.set_dead_node_id(action.dead.value());
  CallPeer<proto::ReleaseRecoveryDataResponse>(
      context_.environment, action.endpoint, "backup.ReleaseRecoveryData", request,
      context_.options.call_deadline,
      [this, action, alive = std::weak_ptr<bool>(context_.alive)](
          const Result<proto::ReleaseRecoveryDataResponse>& answer) {
        if (!alive.expired()) {
          recoveries_.OnReleased(action.dead, action.backup, answer.status());
        }
      });
}

void LeaderController::Execute(const ProposeFinishAction& action) {
  proto::ControlCommand command;
  command.mutable_finish_recovery()->set_dead_node_id(action.dead.value());
  proposer_.ProposeOnce("finish_recovery:" + action.dead.ToString(), command);
}

void LeaderController::NotifyUnreachableNodes() {
  proto::UpdateCoordinatorsRequest request;
  for (const LogMember& member : context_.log.members()) {
    *request.add_coordinators() = ToProto(member.endpoint);
  }
  for (const UnreachableNodes::NodeLocation& location :
       unreachable_nodes_.Due(context_.state, context_.doubtful, context_.environment.Now())) {
    CallPeer<proto::UpdateCoordinatorsResponse>(
        context_.environment, location.endpoint, UpdateCoordinatorsMethod(location.role), request,
        context_.options.call_deadline, [](const Result<proto::UpdateCoordinatorsResponse>&) {});
  }
}

void LeaderController::SweepBackups() {
  for (const NodeId backup : sweeper_.Due(context_.state, context_.environment.Now())) {
    const Endpoint endpoint = ToEndpoint(context_.state.servers().Find(backup)->peer_endpoint());
    CallPeer<proto::ListSegmentsResponse>(
        context_.environment, endpoint, "backup.ListSegments", proto::ListSegmentsRequest(),
        context_.options.call_deadline,
        [this, backup, endpoint, alive = std::weak_ptr<bool>(context_.alive)](
            const Result<proto::ListSegmentsResponse>& answer) {
          if (alive.expired()) {
            return;
          }
          if (answer.ok()) {
            HandleReplicaList(backup, endpoint, *answer);
          } else {
            sweeper_.OnFailed(backup);
          }
        });
  }
}

void LeaderController::HandleReplicaList(NodeId backup, const Endpoint& endpoint,
                                         const proto::ListSegmentsResponse& replicas) {
  sweeper_.OnListed(backup, replicas);
  if (!context_.CanAnswer()) {
    return;
  }
  for (const NodeId owner : FindLeftovers(replicas, context_.state)) {
    Log(LogLevel::kInfo, "leftover_segments_released",
        {{"owner", owner.value()}, {"backup", backup.value()}});
    proto::ReleaseRecoveryDataRequest request;
    request.set_dead_node_id(owner.value());
    CallPeer<proto::ReleaseRecoveryDataResponse>(
        context_.environment, endpoint, "backup.ReleaseRecoveryData", request,
        context_.options.call_deadline,
        [](const Result<proto::ReleaseRecoveryDataResponse>&) {});  // The next sweep looks again.
  }
}

}  // namespace cloverbank
