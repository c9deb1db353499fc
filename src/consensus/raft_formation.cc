#include "consensus/raft_formation.h"

#include <algorithm>

namespace cloverbank {
namespace {

/// Whether `configuration` contains this member with its current endpoint.
bool ContainsMemberAtEndpoint(const proto::RaftConfiguration& configuration,
                              const FormationRound& round) {
  const auto& members = configuration.members();
  return std::any_of(members.begin(), members.end(), [&round](const proto::RaftMember& member) {
    return member.member_id() == round.member_id && ToEndpoint(member.endpoint()) == round.endpoint;
  });
}

/// @return `JoinGroup` if a response names the leader of a group that this member has to join, else
/// `KeepWaiting`.
FormationDecision DecideJoin(const FormationRound& round) {
  for (const auto& [endpoint, response] : round.responses) {
    const bool other_cluster = !round.empty && response.cluster_id() != round.cluster_id;
    const Endpoint leader = ToEndpoint(response.leader());
    if (response.empty() || other_cluster || !leader.valid() || leader == round.endpoint) {
      continue;
    }
    if (!ContainsMemberAtEndpoint(response.configuration(), round)) {
      return JoinGroup{leader};
    }
  }
  return KeepWaiting{};
}

FormationDecision DecideBootstrap(const FormationRound& round) {
  std::vector<Endpoint> seeds = round.seeds;
  std::sort(seeds.begin(), seeds.end());
  seeds.erase(std::unique(seeds.begin(), seeds.end()), seeds.end());
  if (seeds.empty() || seeds.front() != round.endpoint) {
    return KeepWaiting{};
  }
  BootstrapGroup bootstrap;
  for (const Endpoint& seed : seeds) {
    proto::RaftMember member;
    *member.mutable_endpoint() = ToProto(seed);
    if (seed == round.endpoint) {
      member.set_member_id(round.member_id);
    } else {
      const auto response = round.responses.find(seed);
      if (response == round.responses.end() || !response->second.empty() ||
          ToEndpoint(response->second.endpoint()) != seed) {
        return KeepWaiting{};
      }
      member.set_member_id(response->second.member_id());
    }
    *bootstrap.configuration.add_members() = std::move(member);
  }
  return bootstrap;
}

}  // namespace

FormationDecision DecideFormation(const FormationRound& round) {
  const bool group_exists =
      !round.empty || std::any_of(round.responses.begin(), round.responses.end(),
                                  [](const auto& response) { return !response.second.empty(); });
  if (group_exists) {
    return DecideJoin(round);
  }
  return round.can_bootstrap ? DecideBootstrap(round) : KeepWaiting{};
}

void MemberDirectory::RecordMember(const Endpoint& endpoint, std::uint64_t member_id) {
  if (superseded_.contains(member_id)) {
    return;
  }
  std::uint64_t& current = current_[endpoint];
  if (current != 0 && current != member_id) {
    superseded_.insert(current);
  }
  current = member_id;
}

}  // namespace cloverbank
