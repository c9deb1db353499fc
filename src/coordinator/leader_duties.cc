#include "coordinator/leader_duties.h"

#include <string>
#include <utility>

#include "base/logging.h"
#include "coordinator/proto_endpoint.h"
#include "runtime/node_methods.h"
#include "runtime/typed_peer.h"

namespace cloverbank {
namespace {

/// Silence after which a node is given partitions only if there is no other.
constexpr Duration kDoubtfulAfter = milliseconds(1500);

}  // namespace

LeaderDuties::LeaderDuties(LeaderContext& context, CommandProposer& proposer)
    : context_(context),
      proposer_(proposer),
      recoveries_(context.options.recovery),
      sweeper_(context.options.sweep_interval, context.options.retiring_sweep_interval,
               context.options.node_lease),
      arrivals_(context.options.arrival_quiet, context.options.arrival_longest) {}

void LeaderDuties::Begin() {
  recoveries_.Reset();
  sweeper_.Reset();
  arrivals_.Reset();
  absent_nodes_.Reset();
  InitializePartitions();
}

void LeaderDuties::InitializePartitions() {
  if (context_.state.partitions().partition_count() != 0) {
    return;
  }
  proto::ControlCommand command;
  command.mutable_initialize()->set_partition_count(context_.state.initial_partition_count());
  proposer_.ProposeOnce("initialize", command);
}

void LeaderDuties::Step() {
  InitializePartitions();
  BuryTheSilent();
  const bool waiting =
      !context_.state.partitions().Free().empty() || recoveries_.WaitsForQueueNodes(context_.state);
  const bool may_assign =
      arrivals_.IsOpen(context_.state, context_.doubtful, waiting, context_.environment.Now());
  GiveOutPartitions(may_assign);
  SteerRecoveries(may_assign);
  SweepBackups();
  TellAbsentNodes();
}

void LeaderDuties::BuryTheSilent() {
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
    if (now - context_.detector.SilentSince(id) >= kDoubtfulAfter) {
      context_.doubtful.insert(id);
    }
    std::string reason = CauseOfDeath(server);
    if (!reason.empty() && !context_.condemned.contains(id)) {
      dead.emplace_back(server, std::move(reason));
    }
  }
  context_.detector.KeepOnly(live);
  std::erase_if(context_.loads, [&live](const auto& entry) { return !live.contains(entry.first); });
  for (const auto& [server, reason] : dead) {
    ProposeDeath(server, reason);
  }
}

std::string LeaderDuties::CauseOfDeath(const proto::Server& server) const {
  const NodeId id(server.node_id());
  const TimePoint now = context_.environment.Now();
  if (context_.detector.IsDead(id, context_.leases, now)) {
    return "silent";
  }
  const bool superseded = context_.state.servers().LaterLifeOf(server).valid();
  if (superseded && now >= context_.leases.LeaseEnd(id)) {
    return "superseded";
  }
  return {};
}

void LeaderDuties::ProposeDeath(const proto::Server& server, const std::string& reason) {
  const NodeId id(server.node_id());
  Log(LogLevel::kWarning, "node_declared_dead",
      {{"node_id", id.value()}, {"machine", server.machine()}, {"reason", reason}});
  context_.environment.metrics().Increment("coordinator_node_declared_dead_total",
                                           {{"reason", reason}});
  context_.condemned.insert(id);
  proto::ControlCommand command;
  command.mutable_mark_server_dead()->set_node_id(id.value());
  command.mutable_mark_server_dead()->set_reason(reason);
  proposer_.ProposeOnce("dead:" + id.ToString(), command,
                        [this, id](const Result<proto::ControlCommandResult>& result) {
                          // Else leadership was lost: a new term begins with nobody condemned.
                          if (result.ok()) {
                            context_.condemned.erase(id);
                          }
                        });
}

void LeaderDuties::GiveOutPartitions(bool may_assign) {
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

void LeaderDuties::SteerRecoveries(bool may_assign) {
  RecoveryFacts facts;
  facts.now = context_.environment.Now();
  facts.may_assign = may_assign;
  facts.doubtful = context_.doubtful;
  for (const RecoveryAction& action : recoveries_.Step(context_.state, facts)) {
    std::visit([this](const auto& one) { Carry(one); }, action);
  }
}

void LeaderDuties::Carry(const StartReadingAction& action) {
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

void LeaderDuties::Carry(const ProposeReplayAction& action) {
  proto::ControlCommand command;
  *command.mutable_start_replay() = action.command;
  proposer_.ProposeOnce("replay:" + std::to_string(action.command.dead_node_id()), command);
}

void LeaderDuties::Carry(const RecoverPartitionsAction& action) {
  CallPeer<proto::RecoverPartitionsResponse>(
      context_.environment, action.endpoint, "queue.RecoverPartitions", action.request,
      context_.options.call_deadline,
      [this, request = action.request, alive = std::weak_ptr<bool>(context_.alive)](
          const Result<proto::RecoverPartitionsResponse>& answer) {
        if (alive.expired() || !answer.ok() || !answer->done() || !context_.MayAnswer()) {
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

void LeaderDuties::Carry(const ReleaseAction& action) {
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

void LeaderDuties::Carry(const ProposeFinishAction& action) {
  proto::ControlCommand command;
  command.mutable_finish_recovery()->set_dead_node_id(action.dead.value());
  proposer_.ProposeOnce("finish_recovery:" + action.dead.ToString(), command);
}

void LeaderDuties::TellAbsentNodes() {
  proto::TakeCoordinatorsRequest request;
  for (const LogMember& member : context_.log.members()) {
    *request.add_coordinators() = ToProto(member.endpoint);
  }
  for (const AbsentNodes::Place& place :
       absent_nodes_.Due(context_.state, context_.doubtful, context_.environment.Now())) {
    CallPeer<proto::TakeCoordinatorsResponse>(
        context_.environment, place.endpoint, TakeCoordinatorsMethod(place.role), request,
        context_.options.call_deadline, [](const Result<proto::TakeCoordinatorsResponse>&) {});
  }
}

void LeaderDuties::SweepBackups() {
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
            TakeReplicaList(backup, endpoint, *answer);
          } else {
            sweeper_.OnFailed(backup);
          }
        });
  }
}

void LeaderDuties::TakeReplicaList(NodeId backup, const Endpoint& endpoint,
                                   const proto::ListSegmentsResponse& replicas) {
  sweeper_.OnListed(backup, replicas);
  if (!context_.MayAnswer()) {
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
