#include "control_client/node_agent.h"

#include <algorithm>
#include <deque>
#include <utility>

#include "base/logging.h"
#include "control_client/coordinator_directory.h"
#include "control_client/leader_call.h"
#include "control_client/node_session.h"
#include "runtime/node_methods.h"

namespace cloverbank {
namespace {

/// Heartbeats follow each other no faster than this, unless one carries a confirmation.
constexpr Duration kMinimumInterval = milliseconds(50);
/// Patience beyond the hold before another coordinator is asked beside a silent one.
constexpr Duration kHeartbeatGrace = milliseconds(300);
/// How long one search for the leader goes on before it starts afresh.
constexpr Duration kSearchDeadline = seconds(10);
/// The longest an attempt of another call may stay unanswered: an acknowledgement of a transaction
/// waits for up to one node lease.
constexpr Duration kCallAttemptDeadline = seconds(5);
constexpr Duration kCallResponseTimeout = seconds(1);
/// Shorter times without a lease are only counted.
constexpr Duration kLeaseGapToLog = milliseconds(500);

/// A deque, since an observer may add another while it runs.
using Observers = std::deque<std::function<void()>>;

void RunAll(const Observers& observers) {
  const std::size_t count = observers.size();
  for (std::size_t index = 0; index < count; ++index) {
    observers[index]();
  }
}

void SetEndpoint(const Endpoint& endpoint, proto::Endpoint* message) {
  message->set_host(endpoint.host);
  message->set_port(endpoint.port);
}

Incarnation DrawIncarnation(Environment& environment) {
  const std::uint64_t drawn = environment.Random();
  return Incarnation(drawn == 0 ? 1 : drawn);
}

/// Whether the coordinators do not take the sender's node id for alive.
bool RefusesNodeId(StatusCode code) {
  return code == StatusCode::kFenced || code == StatusCode::kNotFound;
}

}  // namespace

struct NodeAgent::State {
  State(Environment& world, NodeAgentOptions settings)
      : environment(world),
        options(std::move(settings)),
        session(DrawIncarnation(world)),
        directory(std::make_shared<CoordinatorDirectory>(options.coordinators)) {}

  void Register();
  void ApplyRegistration(const PeerReply& reply);
  proto::RegisterServerRequest MakeRegistration() const;
  void Heartbeat();
  void HeartbeatBesideHeldOne();
  void SendHeartbeat(Duration hold, std::function<void(bool took_configuration)> next);
  bool ApplyHeartbeat(const proto::HeartbeatRequest& request, const LeaderReply& reply);
  void TakeCoordinators(const google::protobuf::RepeatedPtrField<proto::Endpoint>& coordinators);
  /// Lets the leader tell where the coordinators are: seeds may name none.
  void ServeCoordinators();
  void RecordOutcome(std::string_view what, UpdateOutcome outcome);
  /// Tells that there was no lease for a while, and how far the configuration had fallen behind.
  void RecordLeaseGap(Duration gap, std::uint64_t version_before);
  void EndIncarnation(std::string_view reason);
  void Schedule(Duration delay, void (State::*action)());
  /// Calls the leader on behalf of this life: the answer is dropped once it has ended.
  void CallInThisIncarnation(LeaderCallOptions call, std::function<void(const LeaderReply&)> done);

  Environment& environment;
  NodeAgentOptions options;
  NodeSession session;
  std::shared_ptr<CoordinatorDirectory> directory;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  bool started = false;
  bool beside_running = false;
  bool older_offer_logged = false;  ///< Until a newer one is taken.
  /// Replaced when a life ends.
  std::shared_ptr<bool> incarnation = std::make_shared<bool>(true);
  TimePoint last_sent{};
  TimePoint last_registered{};
  TimerId timer = 0;
  Observers on_configuration;
  Observers on_fleet;
  Observers on_gateway_rank;
  Observers on_registered;
  Observers on_fenced;
};

void NodeAgent::State::CallInThisIncarnation(LeaderCallOptions call,
                                             std::function<void(const LeaderReply&)> done) {
  LeaderCall::Start(environment, directory, incarnation, std::move(call), std::move(done));
}

void NodeAgent::State::Schedule(Duration delay, void (State::*action)()) {
  environment.CancelTimer(timer);
  timer = environment.ScheduleAfter(delay, [this, action, token = std::weak_ptr<bool>(alive)] {
    if (!token.expired()) {
      timer = 0;
      (this->*action)();
    }
  });
}

proto::RegisterServerRequest NodeAgent::State::MakeRegistration() const {
  proto::RegisterServerRequest request;
  proto::Server& server = *request.mutable_server();
  server.set_role(options.role);
  SetEndpoint(environment.peer_endpoint(), server.mutable_peer_endpoint());
  if (options.client_endpoint.valid()) {
    SetEndpoint(options.client_endpoint, server.mutable_client_endpoint());
  }
  server.set_zone(options.zone);
  server.set_machine(options.machine);
  server.set_incarnation(session.incarnation().value());
  server.set_state(proto::SERVER_STATE_UP);
  server.set_spare(options.spare);
  server.set_disk_id(options.disk_id);
  request.set_previous_node_id(session.previous_node_id().value());
  return request;
}

void NodeAgent::State::Register() {
  std::string body = MakeRegistration().SerializeAsString();
  LeaderCallOptions call;
  call.method = "coordinator.RegisterServer";
  call.make_body = [body = std::move(body)](std::uint32_t /*attempt*/) { return body; };
  call.deadline = kSearchDeadline;
  call.attempt_deadline = options.heartbeat_deadline;
  call.response_timeout = options.heartbeat_deadline / 2;
  call.retry_delay = options.retry_delay;
  CallInThisIncarnation(std::move(call),
                        [this](const LeaderReply& reply) { ApplyRegistration(reply.reply); });
}

void NodeAgent::State::ApplyRegistration(const PeerReply& reply) {
  proto::RegisterServerResponse response;
  const bool usable =
      reply.status.ok() && response.ParseFromString(reply.body) && response.node_id() != 0;
  if (!usable) {
    Log(LogLevel::kWarning, "node_registration_failed",
        {{"machine", options.machine}, {"reason", reply.status.ToString()}});
    environment.metrics().Increment("node_registration_failed_total",
                                    {{"reason", StatusCodeName(reply.status.code())}});
    Schedule(options.retry_delay, &State::Register);
    return;
  }
  session.ApplyRegistration(response);
  last_registered = environment.Now();
  Log(LogLevel::kInfo, "node_registered",
      {{"machine", options.machine}, {"node_id", response.node_id()}});
  const std::weak_ptr<bool> registered_in = incarnation;
  RunAll(on_registered);
  if (!registered_in.expired()) {
    Heartbeat();
  }
}

void NodeAgent::State::Heartbeat() {
  SendHeartbeat(options.heartbeat_hold, [this](bool took_configuration) {
    const TimePoint earliest = last_sent + kMinimumInterval;
    const Duration wait = std::max(Duration::zero(), earliest - environment.Now());
    Schedule(took_configuration ? Duration::zero() : wait, &State::Heartbeat);
  });
}

void NodeAgent::State::HeartbeatBesideHeldOne() {
  if (beside_running || !session.node_id().valid()) {
    return;
  }
  beside_running = true;
  SendHeartbeat(Duration::zero(), [this](bool /*took_configuration*/) { beside_running = false; });
}

void NodeAgent::State::SendHeartbeat(Duration hold, std::function<void(bool)> next) {
  const auto request = std::make_shared<proto::HeartbeatRequest>();
  LeaderCallOptions call;
  call.method = "coordinator.Heartbeat";
  // After a failure the lease matters more than news: later attempts are not held.
  call.make_body = [this, request, hold](std::uint32_t attempt) {
    *request = session.MakeHeartbeat(attempt == 0 ? hold : Duration::zero());
    last_sent = environment.Now();
    return request->SerializeAsString();
  };
  call.deadline = kSearchDeadline;
  call.attempt_deadline = options.heartbeat_deadline;
  call.response_timeout = hold + kHeartbeatGrace;
  call.retry_delay = options.retry_delay;
  CallInThisIncarnation(std::move(call),
                        [this, request, next = std::move(next)](const LeaderReply& reply) {
                          const std::weak_ptr<bool> answered_in = incarnation;
                          const bool took_configuration = ApplyHeartbeat(*request, reply);
                          if (!answered_in.expired()) {
                            next(took_configuration);
                          }
                        });
}

bool NodeAgent::State::ApplyHeartbeat(const proto::HeartbeatRequest& request,
                                      const LeaderReply& reply) {
  const Status& status = reply.reply.status;
  if (!status.ok()) {
    environment.metrics().Increment("node_heartbeat_failed_total",
                                    {{"reason", StatusCodeName(status.code())}});
    if (RefusesNodeId(status.code())) {
      EndIncarnation(status.message());
    }
    return false;
  }
  proto::HeartbeatResponse response;
  if (!response.ParseFromString(reply.reply.body)) {
    environment.metrics().Increment("node_heartbeat_failed_total", {{"reason", "malformed"}});
    return false;
  }
  const std::uint64_t version_before = session.configuration().version();
  const HeartbeatEffects effects =
      session.ApplyHeartbeat(request, {reply.sent, environment.Now()}, response);
  RecordLeaseGap(effects.lease_gap, version_before);
  TakeCoordinators(response.coordinators());
  RecordOutcome("configuration", effects.configuration);
  RecordOutcome("fleet", effects.fleet);
  if (effects.rank_changed) {
    RunAll(on_gateway_rank);
  }
  if (effects.configuration == UpdateOutcome::kTaken) {
    RunAll(on_configuration);
  }
  if (effects.fleet == UpdateOutcome::kTaken) {
    RunAll(on_fleet);
  }
  return effects.configuration == UpdateOutcome::kTaken;
}

void NodeAgent::State::ServeCoordinators() {
  ServePeer<proto::UpdateCoordinatorsRequest, proto::UpdateCoordinatorsResponse>(
      environment, UpdateCoordinatorsMethod(options.role),
      [this, held = std::weak_ptr<bool>(alive)](
          const proto::UpdateCoordinatorsRequest& request, const std::string&,
          const std::function<void(Result<proto::UpdateCoordinatorsResponse>)>& reply) {
        if (!held.expired()) {
          TakeCoordinators(request.coordinators());
        }
        reply(proto::UpdateCoordinatorsResponse());
      });
}

void NodeAgent::State::TakeCoordinators(
    const google::protobuf::RepeatedPtrField<proto::Endpoint>& coordinators) {
  std::vector<Endpoint> members;
  for (const proto::Endpoint& member : coordinators) {
    members.push_back({member.host(), static_cast<std::uint16_t>(member.port())});
  }
  directory->UpdateMembers(std::move(members));
}

void NodeAgent::State::RecordOutcome(std::string_view what, UpdateOutcome outcome) {
  if (outcome == UpdateOutcome::kGap) {
    environment.metrics().Increment("node_update_refused_total",
                                    {{"what", what}, {"reason", "gap"}});
  }
  if (outcome == UpdateOutcome::kOlder) {
    environment.metrics().Increment("node_update_refused_total",
                                    {{"what", what}, {"reason", "older"}});
    Log(LogLevel::kError, "older_version_rejected", {{"what", what}, {"machine", options.machine}});
  }
}

void NodeAgent::State::RecordLeaseGap(Duration gap, std::uint64_t version_before) {
  if (gap <= Duration::zero()) {
    return;
  }
  environment.metrics().ObserveSeconds("node_lease_lost_seconds",
                                       std::chrono::duration<double>(gap).count());
  if (gap < kLeaseGapToLog) {
    return;
  }
  Log(LogLevel::kWarning, "node_lease_lost",
      {{"machine", options.machine},
       {"role", proto::Role_Name(options.role)},
       {"ms", std::chrono::duration_cast<milliseconds>(gap).count()},
       {"version_before", version_before},
       {"version", session.configuration().version()}});
}

void NodeAgent::State::EndIncarnation(std::string_view reason) {
  if (!session.node_id().valid()) {
    return;
  }
  Log(LogLevel::kWarning, "node_id_ended",
      {{"machine", options.machine}, {"node_id", session.node_id().value()}, {"reason", reason}});
  environment.metrics().Increment("node_fenced_total");
  session.EndIncarnation();
  incarnation = std::make_shared<bool>(true);
  beside_running = false;
  const Duration since = environment.Now() - last_registered;
  Schedule(std::max(Duration::zero(), options.retry_delay - since), &State::Register);
  RunAll(on_fenced);
}

NodeAgent::NodeAgent(Environment& environment, NodeAgentOptions options)
    : state_(std::make_unique<State>(environment, std::move(options))) {
  state_->ServeCoordinators();
}

NodeAgent::~NodeAgent() { state_->environment.CancelTimer(state_->timer); }

void NodeAgent::Start() {
  if (!state_->started) {
    state_->started = true;
    state_->Register();
  }
}

NodeId NodeAgent::node_id() const { return state_->session.node_id(); }

Incarnation NodeAgent::incarnation() const { return state_->session.incarnation(); }

const std::string& NodeAgent::zone() const { return state_->options.zone; }

std::uint32_t NodeAgent::partition_count() const { return state_->session.partition_count(); }

GatewayRank NodeAgent::gateway_rank() const { return state_->session.gateway_rank(); }

const std::vector<Endpoint>& NodeAgent::neighbours() const { return state_->session.neighbours(); }

const std::optional<std::vector<ListSource>>& NodeAgent::list_sources() const {
  return state_->session.list_sources();
}

bool NodeAgent::LeaseValid() const { return state_->session.LeaseValid(state_->environment.Now()); }

TimePoint NodeAgent::lease_end() const { return state_->session.lease_end(); }

const proto::RoutingConfiguration& NodeAgent::configuration() const {
  return state_->session.configuration();
}

const FleetView& NodeAgent::fleet() const { return state_->session.fleet(); }

std::vector<Endpoint> NodeAgent::coordinators() const { return state_->directory->InOrder(); }

void NodeAgent::OnConfiguration(std::function<void()> observer) {
  state_->on_configuration.push_back(std::move(observer));
}

void NodeAgent::OnFleet(std::function<void()> observer) {
  state_->on_fleet.push_back(std::move(observer));
}

void NodeAgent::OnGatewayRank(std::function<void()> observer) {
  state_->on_gateway_rank.push_back(std::move(observer));
}

void NodeAgent::OnRegistered(std::function<void()> observer) {
  state_->on_registered.push_back(std::move(observer));
}

void NodeAgent::OnFenced(std::function<void()> observer) {
  state_->on_fenced.push_back(std::move(observer));
}

void NodeAgent::ReportSuspect(NodeId peer) {
  if (state_->session.AddSuspect(peer)) {
    state_->HeartbeatBesideHeldOne();
  }
}

void NodeAgent::SetLoad(std::uint64_t free_bytes, std::uint64_t open_items, bool degraded) {
  state_->session.SetLoad(free_bytes, open_items, degraded);
}

void NodeAgent::AbandonNodeId(std::string_view reason) { state_->EndIncarnation(reason); }

void NodeAgent::CallLeaderRaw(std::string_view method, std::string body, Duration deadline,
                              PeerReplyCallback done) {
  LeaderCallOptions call;
  call.method = std::string(method);
  call.make_body = [body = std::move(body)](std::uint32_t /*attempt*/) { return body; };
  call.deadline = deadline;
  call.attempt_deadline = kCallAttemptDeadline;
  call.response_timeout = kCallResponseTimeout;
  call.retry_delay = state_->options.retry_delay;
  LeaderCall::Start(state_->environment, state_->directory, state_->alive, std::move(call),
                    [done = std::move(done)](LeaderReply reply) { done(std::move(reply.reply)); });
}

}  // namespace cloverbank
