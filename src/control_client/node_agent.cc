#include "control_client/node_agent.h"

#include <utility>

#include "base/logging.h"
#include "control_client/heartbeat_sender.h"
#include "control_client/node_context.h"
#include "control_client/node_registration.h"
#include "control_client/observer_list.h"
#include "runtime/node_methods.h"

namespace cloverbank {
namespace {

/// Longer than a node lease, because the leader may have to wait for one to expire before it
/// acknowledges a transaction.
constexpr Duration kCallAttemptDeadline = seconds(5);
constexpr Duration kCallResponseTimeout = seconds(1);

}  // namespace

struct NodeAgent::State final : HeartbeatListener {
  State(Environment& environment, NodeAgentOptions options);

  void OnRegistered();
  void OnNodeIdRefused(const Status& status) override;
  void OnHeartbeatApplied(const HeartbeatEffects& effects) override;
  /// Serves the method by which the leader sends the list of coordinators. A node needs it if none
  /// of its seeds is a coordinator any more.
  void ServeUpdateCoordinators();
  /// Invalidates the node id, schedules a new registration and runs the `OnFenced` observers. Does
  /// nothing without a valid node id.
  void InvalidateNodeId(std::string_view reason);

  NodeContext context;
  NodeRegistration registration;
  HeartbeatSender heartbeats;
  bool started = false;
  ObserverList configuration_observers;
  ObserverList fleet_observers;
  ObserverList gateway_rank_observers;
  ObserverList registered_observers;
  ObserverList fenced_observers;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

NodeAgent::State::State(Environment& environment, NodeAgentOptions options)
    : context(environment, std::move(options)),
      registration(context, [this] { OnRegistered(); }),
      heartbeats(context, *this) {}

void NodeAgent::State::OnRegistered() {
  const std::weak_ptr<void> registration_token = context.registration_token();
  registered_observers.NotifyAll();
  if (!registration_token.expired()) {
    heartbeats.Start();
  }
}

void NodeAgent::State::OnNodeIdRefused(const Status& status) { InvalidateNodeId(status.message()); }

void NodeAgent::State::OnHeartbeatApplied(const HeartbeatEffects& effects) {
  if (effects.rank_changed) {
    gateway_rank_observers.NotifyAll();
  }
  if (effects.configuration == UpdateOutcome::kApplied) {
    configuration_observers.NotifyAll();
  }
  if (effects.fleet == UpdateOutcome::kApplied) {
    fleet_observers.NotifyAll();
  }
}

void NodeAgent::State::ServeUpdateCoordinators() {
  ServePeer<proto::UpdateCoordinatorsRequest, proto::UpdateCoordinatorsResponse>(
      context.environment, UpdateCoordinatorsMethod(context.options.role),
      [this, agent_alive = std::weak_ptr<bool>(alive)](
          const proto::UpdateCoordinatorsRequest& request, const std::string&,
          const std::function<void(Result<proto::UpdateCoordinatorsResponse>)>& reply) {
        if (!agent_alive.expired()) {
          context.directory->UpdateMembers(ToEndpoints(request.coordinators()));
        }
        reply(proto::UpdateCoordinatorsResponse());
      });
}

void NodeAgent::State::InvalidateNodeId(std::string_view reason) {
  const NodeId node_id = context.session.node_id();
  if (!node_id.valid()) {
    return;
  }
  Log(LogLevel::kWarning, "node_id_ended",
      {{"machine", context.options.machine}, {"node_id", node_id.value()}, {"reason", reason}});
  context.environment.metrics().Increment("node_fenced_total");
  context.InvalidateNodeId();
  heartbeats.Stop();
  registration.StartAfterFence();
  fenced_observers.NotifyAll();
}

NodeAgent::NodeAgent(Environment& environment, NodeAgentOptions options)
    : state_(std::make_unique<State>(environment, std::move(options))) {
  state_->ServeUpdateCoordinators();
}

NodeAgent::~NodeAgent() = default;

void NodeAgent::Start() {
  if (!state_->started) {
    state_->started = true;
    state_->registration.Start();
  }
}

NodeId NodeAgent::node_id() const { return state_->context.session.node_id(); }

Incarnation NodeAgent::incarnation() const { return state_->context.session.incarnation(); }

const std::string& NodeAgent::zone() const { return state_->context.options.zone; }

std::uint32_t NodeAgent::partition_count() const {
  return state_->context.session.partition_count();
}

const GatewayRank& NodeAgent::gateway_rank() const {
  return state_->context.session.gateway_rank();
}

const std::vector<Endpoint>& NodeAgent::neighbours() const {
  return state_->context.session.neighbours();
}

const std::optional<std::vector<ListSource>>& NodeAgent::list_sources() const {
  return state_->context.session.list_sources();
}

bool NodeAgent::HasValidLease() const {
  return state_->context.session.HasValidLease(state_->context.environment.Now());
}

TimePoint NodeAgent::lease_end() const { return state_->context.session.lease_end(); }

const proto::RoutingConfiguration& NodeAgent::configuration() const {
  return state_->context.session.configuration();
}

const FleetView& NodeAgent::fleet() const { return state_->context.session.fleet(); }

std::vector<Endpoint> NodeAgent::coordinators() const {
  return state_->context.directory->ListCandidates();
}

void NodeAgent::OnConfiguration(std::function<void()> observer) {
  state_->configuration_observers.Add(std::move(observer));
}

void NodeAgent::OnFleet(std::function<void()> observer) {
  state_->fleet_observers.Add(std::move(observer));
}

void NodeAgent::OnGatewayRank(std::function<void()> observer) {
  state_->gateway_rank_observers.Add(std::move(observer));
}

void NodeAgent::OnRegistered(std::function<void()> observer) {
  state_->registered_observers.Add(std::move(observer));
}

void NodeAgent::OnFenced(std::function<void()> observer) {
  state_->fenced_observers.Add(std::move(observer));
}

void NodeAgent::ReportSuspect(NodeId peer) {
  if (state_->context.session.AddSuspect(peer)) {
    state_->heartbeats.SendUrgent();
  }
}

void NodeAgent::SetLoad(std::uint64_t free_bytes, std::uint64_t open_items, bool degraded) {
  state_->context.session.SetLoad(free_bytes, open_items, degraded);
}

void NodeAgent::AbandonNodeId(std::string_view reason) { state_->InvalidateNodeId(reason); }

void NodeAgent::CallLeaderRaw(std::string_view method, std::string body, Duration deadline,
                              PeerReplyCallback done) {
  LeaderCallOptions call;
  call.method = std::string(method);
  call.make_body = [body = std::move(body)](std::uint32_t /*attempt*/) { return body; };
  call.deadline = deadline;
  call.attempt_deadline = kCallAttemptDeadline;
  call.response_timeout = kCallResponseTimeout;
  call.retry_delay = state_->context.options.retry_delay;
  LeaderCall::Start(state_->context.environment, state_->context.directory, state_->alive,
                    std::move(call),
                    [done = std::move(done)](LeaderReply reply) { done(std::move(reply.reply)); });
}

}  // namespace cloverbank
