#include "coordinator/heartbeat_handler.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "control_state/proto_endpoint.h"
#include "leader/partition_placement.h"

namespace cloverbank {
namespace {

/// Gateways of its zone that a gateway is told of.
constexpr std::size_t kMostNeighbours = 32;
/// Gateways that a gateway may ask for the list of replicas.
constexpr std::size_t kMostListSources = 3;

Status Fenced(std::uint64_t node_id, const std::string& reason) {
  return {StatusCode::kFenced, "node " + std::to_string(node_id) + " " + reason +
                                   "; stop using the id and register again"};
}

}  // namespace

void HeartbeatHandler::Handle(const proto::HeartbeatRequest& request, Reply reply) {
  if (!context_.CanAnswer()) {
    context_.environment.metrics().Increment("coordinator_heartbeat_refused_total",
                                             {{"reason", "not_leader"}});
    reply(context_.NotLeader());
    return;
  }
  const Status sender = CheckSender(request);
  if (!sender.ok()) {
    reply(sender);
    return;
  }
  HandleReport(request);
  const TimePoint now = context_.environment.Now();
  const Duration hold =
      std::min<Duration>(milliseconds(request.hold_ms()), context_.options.heartbeat_hold);
  PendingHeartbeat pending{request, now, now + hold, std::move(reply)};
  if (!AnswerIfDue(pending)) {
    pending_.push_back(std::move(pending));
  }
}

Status HeartbeatHandler::CheckSender(const proto::HeartbeatRequest& request) const {
  const auto refuse = [this, &request](std::string_view reason, const std::string& words) {
    context_.environment.metrics().Increment("coordinator_heartbeat_refused_total",
                                             {{"reason", reason}});
    return Fenced(request.node_id(), words);
  };
  const proto::Server* server = context_.state.servers().Find(NodeId(request.node_id()));
  if (server == nullptr) {
    return refuse("unknown", "is not registered");
  }
  if (!IsLive(*server)) {
    return refuse("dead", "was declared dead");
  }
  if (server->incarnation() != request.incarnation()) {
    return refuse("incarnation", "belongs to another process life");
  }
  if (context_.state.servers().FindLaterIncarnation(*server).valid()) {
    return refuse("superseded", "is superseded by a later life of its machine");
  }
  if (MustHandOver(context_.state, *server, context_.doubtful)) {
    return refuse("retiring", "is being retired and hands its partitions over");
  }
  return Status::Ok();
}

void HeartbeatHandler::HandleReport(const proto::HeartbeatRequest& request) {
  const NodeId node(request.node_id());
  const TimePoint now = context_.environment.Now();
  context_.detector.Heard(node, now);
  context_.doubtful.erase(node);
  context_.leases.Confirm(node, ConfigurationVersion(request.configuration_version()));
  context_.loads[node] = {request.free_bytes(), request.open_items(), request.degraded()};
  for (const std::uint64_t suspect : request.suspected_node_ids()) {
    context_.detector.Suspect(NodeId(suspect), now);
  }
}

bool HeartbeatHandler::AnswerIfDue(PendingHeartbeat& pending) {
  const NodeId node(pending.request.node_id());
  const Status sender = CheckSender(pending.request);
  if (!sender.ok()) {
    pending.reply(sender);
    return true;
  }
  if (context_.condemned.contains(node)) {
    return false;  // Its death is being decided: no lease may be granted meanwhile.
  }
  const bool update =
      NeedsConfiguration(pending.request) ||
      FleetVersion(pending.request.fleet_version()) < context_.state.fleet_version();
  if (!update && context_.environment.Now() < pending.release) {
    return false;
  }
  pending.reply(Grant(pending));
  return true;
}

bool HeartbeatHandler::NeedsConfiguration(const proto::HeartbeatRequest& request) const {
  const proto::Server* server = context_.state.servers().Find(NodeId(request.node_id()));
  const bool acts_by_it = server != nullptr && server->role() != proto::ROLE_BACKUP;
  return acts_by_it && ConfigurationVersion(request.configuration_version()) <
                           context_.state.configuration().version();
}

proto::HeartbeatResponse HeartbeatHandler::Grant(const PendingHeartbeat& pending) {
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
  AddGateways(NodeId(pending.request.node_id()), &response);
  context_.leases.Grant(NodeId(pending.request.node_id()), configuration.version(),
                        pending.arrival);
  return response;
}

void HeartbeatHandler::AddGateways(NodeId node, proto::HeartbeatResponse* response) const {
  const proto::Server* self = context_.state.servers().FindLive(node, proto::ROLE_GATEWAY);
  if (self == nullptr) {
    return;
  }
  const std::vector<const proto::Server*> all = context_.state.servers().Live(proto::ROLE_GATEWAY);
  std::vector<const proto::Server*> zone = all;
  std::erase_if(zone, [self](const proto::Server* other) { return other->zone() != self->zone(); });
  const auto own =
      static_cast<std::size_t>(std::find(zone.begin(), zone.end(), self) - zone.begin());
  response->set_zone_gateway_count(static_cast<std::uint32_t>(zone.size()));
  response->set_zone_gateway_index(static_cast<std::uint32_t>(own));
  // Those that follow in the ring of ids: with many gateways each knows a few, and all are known.
  const std::size_t neighbours = std::min(kMostNeighbours, zone.size() - 1);
  for (std::size_t step = 1; step <= neighbours; ++step) {
    *response->add_neighbours() = zone[(own + step) % zone.size()]->peer_endpoint();
  }
  for (std::size_t rank = 0; rank < std::min(kMostListSources, own); ++rank) {
    *response->add_list_sources() = zone[rank]->peer_endpoint();
  }
  if (own == 0) {
    AddRemoteListSources(all, *self, response);
  }
}

void HeartbeatHandler::AddRemoteListSources(const std::vector<const proto::Server*>& gateways,
                                            const proto::Server& self,
                                            proto::HeartbeatResponse* response) {
  std::set<std::string_view> zones;
  for (const proto::Server* gateway : gateways) {
    const bool enough =
        static_cast<std::size_t>(response->remote_list_sources_size()) >= kMostListSources;
    if (gateway == &self || enough) {
      return;
    }
    if (zones.insert(gateway->zone()).second) {
      *response->add_remote_list_sources() = gateway->peer_endpoint();
    }
  }
}

void HeartbeatHandler::Review() {
  if (!context_.CanAnswer()) {
    RefuseAll();
    return;
  }
  // An answer may bring in the next heartbeat at once: walk over a list of our own.
  std::list<PendingHeartbeat> reviewed = std::exchange(pending_, {});
  for (auto entry = reviewed.begin(); entry != reviewed.end();) {
    entry = AnswerIfDue(*entry) ? reviewed.erase(entry) : std::next(entry);
  }
  pending_.splice(pending_.begin(), reviewed);
}

void HeartbeatHandler::RefuseAll() {
  for (PendingHeartbeat& pending : std::exchange(pending_, {})) {
    pending.reply(context_.NotLeader());
  }
}

}  // namespace cloverbank
