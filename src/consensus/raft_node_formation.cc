// Finding, founding and joining the group.
#include <utility>

#include "base/logging.h"
#include "consensus/raft_node.h"
#include "runtime/typed_peer.h"

namespace cloverbank {
namespace {

constexpr std::string_view kDiscover = "raft.Discover";
constexpr std::string_view kJoin = "raft.Join";

/// Rounds of questions while there is no group: one each election timeout. A member that has a
/// group asks only when it has heard no leader, and less often.
constexpr int kSlowRoundElectionTimeouts = 4;

}  // namespace

void RaftNode::ServeFormation() {
  ServePeer<proto::DiscoverRequest, proto::DiscoverResponse>(
      environment_, kDiscover,
      [this](const proto::DiscoverRequest& request, const std::string&,
             const std::function<void(Result<proto::DiscoverResponse>)>& reply) {
        reply(Describe(request));
      });
  ServePeer<proto::JoinRequest, proto::JoinResponse>(
      environment_, kJoin,
      [this](const proto::JoinRequest& request, const std::string&,
             const std::function<void(Result<proto::JoinResponse>)>& reply) {
        HandleJoin(request, reply);
      });
}

Result<proto::DiscoverResponse> RaftNode::Describe(const proto::DiscoverRequest& request) {
  if (stopped_ || !identity_durable_) {
    // An id that is not synced yet could be forgotten again.
    return Status(StatusCode::kUnavailable, "this member does not take part");
  }
  if (request.member_id() != 0) {
    directory_.RecordMember(ToEndpoint(request.endpoint()), request.member_id());
  }
  proto::DiscoverResponse response;
  response.set_member_id(core_->member_id());
  response.set_empty(core_->IsEmpty());
  response.set_cluster_id(core_->cluster_id());
  *response.mutable_configuration() = core_->configuration();
  *response.mutable_leader() = ToProto(leader_endpoint());
  *response.mutable_endpoint() = ToProto(environment_.peer_endpoint());
  return response;
}

void RaftNode::HandleJoin(const proto::JoinRequest& request,
                          const std::function<void(Result<proto::JoinResponse>)>& reply) {
  if (stopped_ || core_->role() != RaftRole::kLeader) {
    const Endpoint leader = leader_endpoint();
    reply(Status(StatusCode::kNotLeader, "this member does not lead the group",
                 leader.valid() ? leader.ToString() : std::string()));
    return;
  }
  // The request may be a late one of a life whose disk is gone: ask who is there now.
  CallPeer<proto::DiscoverResponse>(
      environment_, ToEndpoint(request.member().endpoint()), kDiscover, OwnIdentity(),
      options_.election_timeout,
      [this, alive = std::weak_ptr<bool>(alive_), request,
       reply](const Result<proto::DiscoverResponse>& present) {
        if (alive.expired()) {
          return;
        }
        if (!present.ok() || present->member_id() != request.member().member_id()) {
          RecordRefusal(RaftRefusal::kJoinUnconfirmed);
          reply(Status(StatusCode::kUnavailable, "no such member answers at its endpoint"));
          return;
        }
        reply(AdmitJoining(request.member(), request.replaces()));
      });
}

Result<proto::JoinResponse> RaftNode::AdmitJoining(const proto::RaftMember& member,
                                                   std::uint64_t replaces) {
  if (stopped_) {
    return Status(StatusCode::kNotLeader, "this member has stopped");
  }
  const Endpoint endpoint = ToEndpoint(member.endpoint());
  const bool seeds_tell = options_.replace_unresponsive_after <= Duration::zero();
  const std::uint64_t outside = seeds_tell ? MemberOutsideSeeds(endpoint) : 0;
  Status status =
      core_->AdmitMember(environment_.Now(), member, replaces != 0 ? replaces : outside);
  Drain();
  if (!status.ok()) {
    return status;
  }
  Log(LogLevel::kInfo, "raft_member_joining",
      {{"member_id", member.member_id()}, {"endpoint", endpoint.ToString()}});
  proto::JoinResponse response;
  response.set_cluster_id(core_->cluster_id());
  *response.mutable_configuration() = core_->configuration();
  return response;
}

std::uint64_t RaftNode::MemberOutsideSeeds(const Endpoint& joining) const {
  const std::set<Endpoint> seeds(options_.seeds.begin(), options_.seeds.end());
  if (!seeds.contains(joining)) {
    return 0;
  }
  for (const LogMember& member : members()) {
    if (!seeds.contains(member.endpoint) && member.member_id != core_->member_id()) {
      return member.member_id;
    }
  }
  return 0;
}

void RaftNode::CorrectOwnEndpoint() {
  // A leader that came back at another address is not reached by anyone who asks for the leader.
  if (IsReadyLeader() && leader_endpoint() != environment_.peer_endpoint()) {
    proto::RaftMember self;
    self.set_member_id(core_->member_id());
    *self.mutable_endpoint() = ToProto(environment_.peer_endpoint());
    if (Status status = core_->AdmitMember(environment_.Now(), self, 0); !status.ok()) {
      Log(LogLevel::kInfo, "raft_join_deferred", {{"reason", status.ToString()}});
    }
    Drain();
  }
}

proto::DiscoverRequest RaftNode::OwnIdentity() const {
  proto::DiscoverRequest request;
  request.set_member_id(core_->member_id());
  *request.mutable_endpoint() = ToProto(environment_.peer_endpoint());
  return request;
}

bool RaftNode::NeedsGroup() const {
  return core_->IsEmpty() || core_->leader_id() == 0 || !core_->IsMember();
}

void RaftNode::ScheduleFormation() {
  const bool urgent = !core_->IsMember() && !join_refused_;
  const Duration interval =
      urgent ? options_.election_timeout : kSlowRoundElectionTimeouts * options_.election_timeout;
  // Spread, so that members do not ask in step.
  const Duration delay =
      interval / 2 + Duration(static_cast<Duration::rep>(
                         environment_.Random() % static_cast<std::uint64_t>(interval.count())));
  formation_timer_ = environment_.ScheduleAfter(delay, [this] {
    formation_timer_ = 0;
    CorrectOwnEndpoint();
    if (identity_durable_ && NeedsGroup()) {
      StartFormationRound();
    }
    ScheduleFormation();
  });
}

void RaftNode::StartFormationRound() {
  std::set<Endpoint> others(options_.seeds.begin(), options_.seeds.end());
  others.insert(notified_members_.begin(), notified_members_.end());
  for (const LogMember& member : members()) {
    others.insert(member.endpoint);
  }
  others.erase(environment_.peer_endpoint());
  auto round = std::make_shared<FormationRound>();
  auto missing = std::make_shared<std::size_t>(others.size());
  if (others.empty()) {
    FinishFormationRound(*round);
  }
  for (const Endpoint& other : others) {
    CallPeer<proto::DiscoverResponse>(environment_, other, kDiscover, OwnIdentity(),
                                      options_.election_timeout,
                                      [this, alive = std::weak_ptr<bool>(alive_), round, missing,
                                       other](const Result<proto::DiscoverResponse>& answer) {
                                        if (alive.expired() || stopped_) {
                                          return;
                                        }
                                        if (answer.ok()) {
                                          directory_.RecordMember(other, answer->member_id());
                                          round->answers[other] = *answer;
                                        }
                                        --*missing;
                                        if (*missing == 0) {
                                          FinishFormationRound(*round);
                                        }
                                      });
  }
}

void RaftNode::RecordNotifiedMembers(const FormationRound& answers) {
  std::set<Endpoint> notified;
  for (const auto& [endpoint, answer] : answers.answers) {
    for (const proto::RaftMember& member : answer.configuration().members()) {
      notified.insert(ToEndpoint(member.endpoint()));
    }
  }
  if (!notified.empty()) {
    notified_members_ = std::move(notified);
  }
}

void RaftNode::FinishFormationRound(const FormationRound& answers) {
  RecordNotifiedMembers(answers);
  FormationRound round = answers;
  round.member_id = core_->member_id();
  round.endpoint = environment_.peer_endpoint();
  round.empty = core_->IsEmpty();
  round.cluster_id = core_->cluster_id();
  round.seeds = options_.seeds;
  round.may_found = options_.may_found;
  const FormationDecision decision = DecideFormation(round);
  if (const auto* founding = std::get_if<FoundGroup>(&decision)) {
    Log(LogLevel::kInfo, "raft_group_formed", {{"member_id", core_->member_id()}});
    core_->Bootstrap(std::max<std::uint64_t>(1, environment_.Random()), founding->configuration);
    Drain();
  } else if (const auto* joining = std::get_if<JoinGroup>(&decision)) {
    RequestJoin(joining->leader);
  }
}

void RaftNode::RequestJoin(const Endpoint& leader) {
  proto::JoinRequest request;
  request.mutable_member()->set_member_id(core_->member_id());
  *request.mutable_member()->mutable_endpoint() = ToProto(environment_.peer_endpoint());
  CallPeer<proto::JoinResponse>(
      environment_, leader, kJoin, request, 2 * options_.election_timeout,
      [this, alive = std::weak_ptr<bool>(alive_)](const Result<proto::JoinResponse>& response) {
        if (alive.expired()) {
          return;
        }
        join_refused_ = response.status().code() == StatusCode::kConflict;
        if (!response.ok()) {
          Log(LogLevel::kInfo, "raft_join_refused", {{"reason", response.status().ToString()}});
        }
      });
}

}  // namespace cloverbank
