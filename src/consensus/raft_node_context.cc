#include "consensus/raft_node_context.h"

#include "consensus/endpoint_proto.h"

namespace cloverbank {

bool RaftNodeContext::IsReadyLeader() const {
  return !stopped && core && core->IsReadyLeader() && applied_index >= core->term_start_index();
}

std::uint64_t RaftNodeContext::LeadingTerm() const {
  return !stopped && core->role() == RaftRole::kLeader ? core->term() : 0;
}

Endpoint RaftNodeContext::LeaderEndpoint() const {
  for (const LogMember& member : Members()) {
    if (core->leader_id() != 0 && member.member_id == core->leader_id()) {
      return member.endpoint;
    }
  }
  return {};
}

std::vector<LogMember> RaftNodeContext::Members() const {
  std::vector<LogMember> members;
  if (core) {
    for (const proto::RaftMember& member : core->configuration().members()) {
      members.push_back({member.member_id(), ToEndpoint(member.endpoint()), member.learner()});
    }
  }
  return members;
}

void RaftNodeContext::RecordRefusal(RaftRefusal reason) const {
  environment.metrics().Increment("raft_refusals_total", {{"reason", RaftRefusalName(reason)}});
}

}  // namespace cloverbank
