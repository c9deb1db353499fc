#include "coordinator/heartbeat_handler.h"

#include <algorithm>
#include <string>
#include <utility>

#include "control_state/proto_endpoint.h"
#include "coordinator/gateway_neighbours.h"
#include "leader/partition_placement.h"

namespace cloverbank {
namespace {

/// @return the predicate of a sentence about the node.
std::string Describe(HeartbeatRefusal refusal) {
  switch (refusal) {
    case HeartbeatRefusal::kUnknown:
      return "is not registered";
    case HeartbeatRefusal::kDead:
      return "was declared dead";
    case HeartbeatRefusal::kOtherIncarnation:
      return "belongs to another incarnation of the process";
    case HeartbeatRefusal::kSuperseded:
      return "is superseded by a later incarnation on its machine";
    case HeartbeatRefusal::kRetiring:
      return "is being retired and must hand over its partitions";
    case HeartbeatRefusal::kNotLeader:
      break;
  }
  return "was refused";
}

}  // namespace

std::string_view HeartbeatRefusalName(HeartbeatRefusal refusal) {
  switch (refusal) {
    case HeartbeatRefusal::kNotLeader:
      return "not_leader";
    case HeartbeatRefusal::kUnknown:
      return "unknown";
    case HeartbeatRefusal::kDead:
      return "dead";
    case HeartbeatRefusal::kOtherIncarnation:
      return "incarnation";
    case HeartbeatRefusal::kSuperseded:
      return "superseded";
    case HeartbeatRefusal::kRetiring:
      return "retiring";
  }
  return "invalid";
}

void HeartbeatHandler::Handle(const proto::HeartbeatRequest& request, Reply reply) {
  if (!context_.CanAnswerRequests()) {
    CountRefusal(HeartbeatRefusal::kNotLeader);
    reply(context_.MakeNotLeaderStatus());
    return;
  }
  if (const auto refusal = FindRefusal(request); refusal.has_value()) {
    Fence(request, *refusal, reply);
    return;
  }
  RecordReport(request);
  const TimePoint now = context_.environment.Now();
  const Duration wait =
      std::min<Duration>(milliseconds(request.hold_ms()), context_.options.maximum_heartbeat_wait);
  PendingHeartbeat pending{request, now, now + wait, std::move(reply)};
  if (!AnswerIfDue(pending)) {
    pending_.push_back(std::move(pending));
  }
}

std::optional<HeartbeatRefusal> HeartbeatHandler::FindRefusal(
    const proto::HeartbeatRequest& request) const {
  const proto::Server* server = context_.state.servers().Find(NodeId(request.node_id()));
  if (server == nullptr) {
    return HeartbeatRefusal::kUnknown;
  }
  if (!IsLive(*server)) {
    return HeartbeatRefusal::kDead;
  }
  if (server->incarnation() != request.incarnation()) {
    return HeartbeatRefusal::kOtherIncarnation;
  }
  if (context_.state.servers().FindLaterIncarnation(*server).valid()) {
    return HeartbeatRefusal::kSuperseded;
  }
  if (MustHandOverPartitions(context_.state, *server, context_.unresponsive)) {
    return HeartbeatRefusal::kRetiring;
  }
  return std::nullopt;
}

void HeartbeatHandler::Fence(const proto::HeartbeatRequest& request, HeartbeatRefusal refusal,
                             const Reply& reply) {
  CountRefusal(refusal);
  reply(Status(StatusCode::kFenced, "node " + std::to_string(request.node_id()) + " " +
                                        Describe(refusal) +
                                        "; stop using the id and register again"));
}

void HeartbeatHandler::CountRefusal(HeartbeatRefusal refusal) {
  context_.environment.metrics().Increment("coordinator_heartbeat_refused_total",
                                           {{"reason", HeartbeatRefusalName(refusal)}});
}

void HeartbeatHandler::RecordReport(const proto::HeartbeatRequest& request) {
  const NodeId node(request.node_id());
  const TimePoint now = context_.environment.Now();
  context_.detector.RecordHeartbeat(node, now);
  context_.unresponsive.erase(node);
  context_.leases.RecordConfirmation(node, ConfigurationVersion(request.configuration_version()));
  context_.loads[node] = {request.free_bytes(), request.open_items(), request.degraded()};
  for (const std::uint64_t suspect : request.suspected_node_ids()) {
    context_.detector.RecordSuspicion(NodeId(suspect), now);
  }
}

bool HeartbeatHandler::AnswerIfDue(PendingHeartbeat& pending) {
  const NodeId node(pending.request.node_id());
  if (const auto refusal = FindRefusal(pending.request); refusal.has_value()) {
    Fence(pending.request, *refusal, pending.reply);
    return true;
  }
  if (context_.pending_deaths.contains(node)) {
    return false;  // A node whose death has been proposed must not get a lease.
  }
  const bool update =
      NeedsConfiguration(pending.request) ||
      FleetVersion(pending.request.fleet_version()) < context_.state.fleet_version();
  if (!update && context_.environment.Now() < pending.deadline) {
    return false;
  }
  pending.reply(GrantLease(pending));
  return true;
}

bool HeartbeatHandler::NeedsConfiguration(const proto::HeartbeatRequest& request) const {
  const proto::Server* server = context_.state.servers().Find(NodeId(request.node_id()));
  const bool uses_configuration = server != nullptr && server->role() != proto::ROLE_BACKUP;
  return uses_configuration && ConfigurationVersion(request.configuration_version()) <
                                   context_.state.configuration().version();
}

proto::HeartbeatResponse HeartbeatHandler::GrantLease(const PendingHeartbeat& pending) {
  const ConfigurationStore& configuration = context_.state.configuration();
  proto::HeartbeatResponse response;
  response.set_lease_ms(static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(context_.leases.lease()).count()));
  if (NeedsConfiguration(pending.request)) {
    *response.mutable_configuration() =
        configuration.UpdateFrom(ConfigurationVersion(pending.request.configuration_version()));
  }
  const FleetVersion known_fleet(pending.request.fleet_version());
  if (known_fleet < context_.state.fleet_version()) {
    *response.mutable_fleet() = context_.state.FleetUpdateFrom(known_fleet);
  }
  for (const LogMember& member : context_.log.members()) {
    *response.add_coordinators() = ToProto(member.endpoint);
  }
  AddGatewayNeighbours(context_.state, NodeId(pending.request.node_id()), &response);
  context_.leases.RecordGrant(NodeId(pending.request.node_id()), configuration.version(),
                              pending.arrival);
  return response;
}

void HeartbeatHandler::Review() {
  if (!context_.CanAnswerRequests()) {
    RefuseAll();
    return;
  }
  // An answer may cause the sender's next heartbeat immediately, which changes `pending_`.
  std::list<PendingHeartbeat> reviewed = std::exchange(pending_, {});
  for (auto entry = reviewed.begin(); entry != reviewed.end();) {
    entry = AnswerIfDue(*entry) ? reviewed.erase(entry) : std::next(entry);
  }
  pending_.splice(pending_.begin(), reviewed);
}

void HeartbeatHandler::RefuseAll() {
  for (PendingHeartbeat& pending : std::exchange(pending_, {})) {
    pending.reply(context_.MakeNotLeaderStatus());
  }
}

}  // namespace cloverbank
