#include "consensus/raft_formation_driver.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "base/logging.h"
#include "runtime/typed_peer.h"

namespace cloverbank {
namespace {

constexpr std::string_view kDiscover = "raft.Discover";
constexpr std::string_view kJoin = "raft.Join";

/// Mean interval of discovery rounds, in election timeouts, for a member that is in a group or
/// whose last request to join was refused with kConflict. The interval of others is one election
/// timeout.
constexpr int kSlowRoundElectionTimeouts = 4;

}  // namespace

/// Responses of one discovery round.
struct RaftFormationDriver::Round {
  FormationRound formation;
  std::size_t pending_responses = 0;
};

void RaftFormationDriver::Serve() {
  ServePeer<proto::DiscoverRequest, proto::DiscoverResponse>(
      context_.environment, kDiscover,
      [this](const proto::DiscoverRequest& request, const std::string&,
             const std::function<void(Result<proto::DiscoverResponse>)>& reply) {
        reply(HandleDiscover(request));
      });
  ServePeer<proto::JoinRequest, proto::JoinResponse>(
      context_.environment, kJoin,
      [this](const proto::JoinRequest& request, const std::string&,
             const std::function<void(Result<proto::JoinResponse>)>& reply) {
        HandleJoin(request, reply);
      });
}

void RaftFormationDriver::Start() { ScheduleRound(); }

void RaftFormationDriver::Stop() { context_.environment.CancelTimer(round_timer_); }

Result<proto::DiscoverResponse> RaftFormationDriver::HandleDiscover(
    const proto::DiscoverRequest& request) {
  if (!context_.CanAnswerPeers()) {
    return Status(StatusCode::kUnavailable,
                  "this member has stopped, or its id is not yet synced to disk");
  }
  if (request.member_id() != 0) {
    directory_.RecordMember(ToEndpoint(request.endpoint()), request.member_id());
  }
  proto::DiscoverResponse response;
  response.set_member_id(context_.core->member_id());
  response.set_empty(context_.core->IsEmpty());
  response.set_cluster_id(context_.core->cluster_id());
  *response.mutable_configuration() = context_.core->configuration();
  *response.mutable_leader() = ToProto(context_.LeaderEndpoint());
  *response.mutable_endpoint() = ToProto(context_.environment.peer_endpoint());
  return response;
}

void RaftFormationDriver::HandleJoin(
    const proto::JoinRequest& request,
    const std::function<void(Result<proto::JoinResponse>)>& reply) {
  if (context_.LeadingTerm() == 0) {
    const Endpoint leader = context_.LeaderEndpoint();
    reply(Status(StatusCode::kNotLeader, "this member does not lead the group",
                 leader.valid() ? leader.ToString() : std::string()));
    return;
  }
  // The request may be delayed, and its sender may have lost its disk since: confirm which member
  // runs at the endpoint now.
  CallPeer<proto::DiscoverResponse>(context_.environment, ToEndpoint(request.member().endpoint()),
                                    kDiscover, MakeDiscoverRequest(),
                                    context_.options.election_timeout,
                                    [this, alive = std::weak_ptr<bool>(alive_), request,
                                     reply](const Result<proto::DiscoverResponse>& discovered) {
                                      if (!alive.expired()) {
                                        reply(CompleteJoin(request, discovered));
                                      }
                                    });
}

Result<proto::JoinResponse> RaftFormationDriver::CompleteJoin(
    const proto::JoinRequest& request, const Result<proto::DiscoverResponse>& discovered) {
  if (!discovered.ok() || discovered->member_id() != request.member().member_id()) {
    context_.RecordRefusal(RaftRefusal::kJoinUnconfirmed);
    return Status(StatusCode::kUnavailable,
                  "member " + std::to_string(request.member().member_id()) +
                      " does not answer at " + ToEndpoint(request.member().endpoint()).ToString());
  }
  return AdmitJoiningMember(request.member(), request.replaces());
}

Result<proto::JoinResponse> RaftFormationDriver::AdmitJoiningMember(const proto::RaftMember& member,
                                                                    std::uint64_t replaces) {
  if (context_.stopped) {
    return Status(StatusCode::kNotLeader, "this member has stopped");
  }
  const Endpoint endpoint = ToEndpoint(member.endpoint());
  const bool replaces_non_seeds = context_.options.replace_unresponsive_after <= Duration::zero();
  const std::uint64_t non_seed_member = replaces_non_seeds ? FindNonSeedMember(endpoint) : 0;
  Status status = context_.core->AdmitMember(context_.environment.Now(), member,
                                             replaces != 0 ? replaces : non_seed_member);
  context_.execute_effects();
  if (!status.ok()) {
    return status;
  }
  Log(LogLevel::kInfo, "raft_member_joining",
      {{"member_id", member.member_id()}, {"endpoint", endpoint.ToString()}});
  proto::JoinResponse response;
  response.set_cluster_id(context_.core->cluster_id());
  *response.mutable_configuration() = context_.core->configuration();
  return response;
}

std::uint64_t RaftFormationDriver::FindNonSeedMember(const Endpoint& joining) const {
  const std::set<Endpoint> seeds(context_.options.seeds.begin(), context_.options.seeds.end());
  if (!seeds.contains(joining)) {
    return 0;
  }
  for (const LogMember& member : context_.Members()) {
    if (!seeds.contains(member.endpoint) && member.member_id != context_.core->member_id()) {
      return member.member_id;
    }
  }
  return 0;
}

void RaftFormationDriver::UpdateOwnEndpoint() {
  // A leader that restarted at another address cannot be reached by callers that members refer to
  // its old address.
  const Endpoint own_endpoint = context_.environment.peer_endpoint();
  if (!context_.IsReadyLeader() || context_.LeaderEndpoint() == own_endpoint) {
    return;
  }
  proto::RaftMember self;
  self.set_member_id(context_.core->member_id());
  *self.mutable_endpoint() = ToProto(own_endpoint);
  if (Status status = context_.core->AdmitMember(context_.environment.Now(), self, 0);
      !status.ok()) {
    Log(LogLevel::kInfo, "raft_join_deferred", {{"reason", status.ToString()}});
  }
  context_.execute_effects();
}

proto::DiscoverRequest RaftFormationDriver::MakeDiscoverRequest() const {
  proto::DiscoverRequest request;
  request.set_member_id(context_.core->member_id());
  *request.mutable_endpoint() = ToProto(context_.environment.peer_endpoint());
  return request;
}

bool RaftFormationDriver::NeedsGroup() const {
  const RaftCore& core = *context_.core;
  return core.IsEmpty() || core.leader_id() == 0 || !core.IsMember();
}

void RaftFormationDriver::ScheduleRound() {
  const bool urgent = !context_.core->IsMember() && !join_conflict_;
  const Duration timeout = context_.options.election_timeout;
  const Duration interval = urgent ? timeout : kSlowRoundElectionTimeouts * timeout;
  // Jitter keeps the members from calling each other in lockstep.
  const Duration delay =
      interval / 2 +
      Duration(static_cast<Duration::rep>(context_.environment.Random() %
                                          static_cast<std::uint64_t>(interval.count())));
  round_timer_ = context_.environment.ScheduleAfter(delay, [this] {
    round_timer_ = 0;
    UpdateOwnEndpoint();
    monitor_.Review(/*spare=*/join_conflict_);
    if (context_.identity_durable && NeedsGroup()) {
      StartRound();
    }
    ScheduleRound();
  });
}

std::set<Endpoint> RaftFormationDriver::FindDiscoverTargets() const {
  std::set<Endpoint> targets(context_.options.seeds.begin(), context_.options.seeds.end());
  targets.insert(reported_members_.begin(), reported_members_.end());
  if (context_.options.known_coordinators) {
    for (const Endpoint& coordinator : context_.options.known_coordinators()) {
      targets.insert(coordinator);
    }
  }
  for (const LogMember& member : context_.Members()) {
    targets.insert(member.endpoint);
  }
  targets.erase(context_.environment.peer_endpoint());
  return targets;
}

void RaftFormationDriver::StartRound() {
  const std::set<Endpoint> targets = FindDiscoverTargets();
  const auto round = std::make_shared<Round>();
  round->pending_responses = targets.size();
  if (targets.empty()) {
    FinishRound(round->formation);
  }
  for (const Endpoint& target : targets) {
    CallPeer<proto::DiscoverResponse>(context_.environment, target, kDiscover,
                                      MakeDiscoverRequest(), context_.options.election_timeout,
                                      [this, alive = std::weak_ptr<bool>(alive_), round,
                                       target](const Result<proto::DiscoverResponse>& response) {
                                        if (!alive.expired() && !context_.stopped) {
                                          HandleDiscoverResponse(*round, target, response);
                                        }
                                      });
  }
}

void RaftFormationDriver::HandleDiscoverResponse(Round& round, const Endpoint& from,
                                                 const Result<proto::DiscoverResponse>& response) {
  monitor_.RecordDiscovery(from, response.status());
  if (response.ok()) {
    directory_.RecordMember(from, response->member_id());
    round.formation.responses[from] = *response;
  }
  --round.pending_responses;
  if (round.pending_responses == 0) {
    FinishRound(round.formation);
  }
}

void RaftFormationDriver::RecordReportedMembers(const FormationRound& completed) {
  std::set<Endpoint> reported;
  for (const auto& [endpoint, response] : completed.responses) {
    for (const proto::RaftMember& member : response.configuration().members()) {
      reported.insert(ToEndpoint(member.endpoint()));
    }
  }
  if (!reported.empty()) {
    reported_members_ = std::move(reported);
  }
}

void RaftFormationDriver::FinishRound(const FormationRound& completed) {
  RecordReportedMembers(completed);
  RaftCore& core = *context_.core;
  FormationRound round = completed;
  round.member_id = core.member_id();
  round.endpoint = context_.environment.peer_endpoint();
  round.empty = core.IsEmpty();
  round.cluster_id = core.cluster_id();
  round.seeds = context_.options.seeds;
  round.can_bootstrap = context_.options.can_bootstrap;
  const FormationDecision decision = DecideFormation(round);
  if (const auto* bootstrap = std::get_if<BootstrapGroup>(&decision)) {
    Log(LogLevel::kInfo, "raft_group_formed", {{"member_id", core.member_id()}});
    core.Bootstrap(std::max<std::uint64_t>(1, context_.environment.Random()),
                   bootstrap->configuration);
    context_.execute_effects();
  } else if (const auto* joining = std::get_if<JoinGroup>(&decision)) {
    RequestJoin(joining->leader);
  }
}

void RaftFormationDriver::RequestJoin(const Endpoint& leader) {
  proto::JoinRequest request;
  request.mutable_member()->set_member_id(context_.core->member_id());
  *request.mutable_member()->mutable_endpoint() = ToProto(context_.environment.peer_endpoint());
  CallPeer<proto::JoinResponse>(
      context_.environment, leader, kJoin, request, 2 * context_.options.election_timeout,
      [this, alive = std::weak_ptr<bool>(alive_)](const Result<proto::JoinResponse>& response) {
        if (!alive.expired()) {
          HandleJoinResponse(response);
        }
      });
}

void RaftFormationDriver::HandleJoinResponse(const Result<proto::JoinResponse>& response) {
  join_conflict_ = response.status().code() == StatusCode::kConflict;
  if (!response.ok()) {
    Log(LogLevel::kInfo, "raft_join_refused", {{"reason", response.status().ToString()}});
  }
}

}  // namespace cloverbank
