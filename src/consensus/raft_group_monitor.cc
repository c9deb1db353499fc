#include "consensus/raft_group_monitor.h"

#include <algorithm>
#include <utility>

#include "base/logging.h"
#include "consensus/endpoint_proto.h"

namespace cloverbank {
namespace {

/// Longer than an election or an ordinary replacement of a member takes.
constexpr Duration kReportAfter = seconds(4);
constexpr Duration kReportInterval = seconds(10);

}  // namespace

std::string_view GroupProblemName(GroupProblem problem) {
  switch (problem) {
    case GroupProblem::kNone:
      return "none";
    case GroupProblem::kNoGroup:
      return "no_group";
    case GroupProblem::kNotAMember:
      return "not_a_member";
    case GroupProblem::kNoLeader:
      return "no_leader";
    case GroupProblem::kVotersMissing:
      return "voters_missing";
  }
  return "none";
}

void RaftGroupMonitor::RecordDiscovery(const Endpoint& endpoint, const Status& status) {
  discoveries_.insert_or_assign(endpoint, status);
}

GroupProblem RaftGroupMonitor::FindProblem(bool spare) const {
  const RaftCore& core = *context_.core;
  if (core.role() == RaftRole::kLeader) {
    const std::size_t responsive = core.CountResponsiveVoters(context_.environment.Now());
    return responsive < core.wanted_voters() ? GroupProblem::kVotersMissing : GroupProblem::kNone;
  }
  if (spare) {
    return GroupProblem::kNone;
  }
  if (core.IsEmpty()) {
    return GroupProblem::kNoGroup;
  }
  if (!core.IsMember()) {
    return GroupProblem::kNotAMember;
  }
  return core.leader_id() == 0 ? GroupProblem::kNoLeader : GroupProblem::kNone;
}

void RaftGroupMonitor::Review(bool spare) {
  SetGauges();
  const TimePoint now = context_.environment.Now();
  const GroupProblem found = FindProblem(spare);
  if (found != problem_) {
    if (found == GroupProblem::kNone && std::exchange(reported_, false)) {
      Log(LogLevel::kWarning, "raft_group_whole", {{"was", GroupProblemName(problem_)}});
    }
    problem_since_ = problem_ == GroupProblem::kNone ? now : problem_since_;
    problem_ = found;
  }
  if (problem_ != GroupProblem::kNone && now >= problem_since_ + kReportAfter &&
      now >= next_report_) {
    next_report_ = now + kReportInterval;
    reported_ = true;
    LogProblem();
  }
}

void RaftGroupMonitor::SetGauges() {
  const RaftCore& core = *context_.core;
  const bool leads = core.role() == RaftRole::kLeader;
  const std::size_t responsive =
      leads ? core.CountResponsiveVoters(context_.environment.Now()) : std::size_t{0};
  const std::vector<LogMember> members = context_.Members();
  const auto learners = std::count_if(members.begin(), members.end(),
                                      [](const LogMember& member) { return member.learner; });
  Metrics& metrics = context_.environment.metrics();
  metrics.SetGauge("raft_voters",
                   static_cast<double>(members.size()) - static_cast<double>(learners));
  metrics.SetGauge("raft_learners", static_cast<double>(learners));
  metrics.SetGauge("raft_responsive_voters", static_cast<double>(responsive));
}

void RaftGroupMonitor::LogProblem() const {
  const RaftCore& core = *context_.core;
  Log(LogLevel::kWarning, "raft_group_incomplete",
      {{"reason", GroupProblemName(problem_)},
       {"member_id", core.member_id()},
       {"term", core.term()},
       {"last_index", core.log().last_index()},
       {"commit_index", core.commit_index()},
       {"configuration_index", core.log().configuration_index()},
       {"members", DescribeMembers()},
       {"discovery", DescribeDiscoveries()}});
}

std::string RaftGroupMonitor::DescribeMembers() const {
  const RaftCore& core = *context_.core;
  const TimePoint now = context_.environment.Now();
  std::string text;
  for (const proto::RaftMember& member : core.configuration().members()) {
    text += text.empty() ? "" : ",";
    text += ToEndpoint(member.endpoint()).ToString();
    text += member.learner() ? ":learner" : ":voter";
    if (core.role() == RaftRole::kLeader) {
      text += core.IsResponsive(now, member.member_id()) ? ":responsive" : ":silent";
    }
  }
  return text;
}

std::string RaftGroupMonitor::DescribeDiscoveries() const {
  std::string text;
  for (const auto& [endpoint, status] : discoveries_) {
    text += (text.empty() ? "" : "; ") + endpoint.ToString() + " " +
            (status.ok() ? std::string("answered") : status.ToString());
  }
  return text;
}

}  // namespace cloverbank
