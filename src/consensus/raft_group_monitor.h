#pragma once
/// @file
/// Reports in logs and metrics that a member has no group or no leader, and that the group of a
/// leader lacks voters: after one more lost disk such a group may have no majority. Threads: the
/// environment's event loop only.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "consensus/raft_node_context.h"

namespace cloverbank {

enum class GroupProblem : std::uint8_t {
  kNone,
  kNoGroup,        ///< This member has never had a configuration.
  kNotAMember,     ///< The configuration does not contain this member.
  kNoLeader,       ///< This member knows no leader.
  kVotersMissing,  ///< This member leads, and fewer voters than wanted answer it.
};

std::string_view GroupProblemName(GroupProblem problem);

class RaftGroupMonitor {
 public:
  /// @param context must outlive this object.
  explicit RaftGroupMonitor(RaftNodeContext& context) : context_(context) {}

  /// Records what the last call of raft.Discover at `endpoint` met.
  void RecordDiscovery(const Endpoint& endpoint, const Status& status);
  /// Sets the gauges, and logs a problem that has lasted for some time, from then on at intervals.
  /// @param spare whether the group is full without this member.
  void Review(bool spare);

 private:
  GroupProblem FindProblem(bool spare) const;
  void SetGauges();
  void LogProblem() const;
  std::string DescribeMembers() const;
  std::string DescribeDiscoveries() const;

  RaftNodeContext& context_;
  std::map<Endpoint, Status> discoveries_;
  GroupProblem problem_ = GroupProblem::kNone;
  TimePoint problem_since_{};
  TimePoint next_report_{};
  bool reported_ = false;
};

}  // namespace cloverbank
