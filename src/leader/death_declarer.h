#pragma once
/// @file
/// Declares nodes dead that have sent no heartbeat for too long, or whose machine has registered
/// again as a later incarnation; never before the node's lease has expired (docs/DESIGN.md
/// section 2). Threads: the owner's event loop only.

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "leader/command_proposer.h"
#include "leader/leader_context.h"

namespace cloverbank {

/// Why a node is declared dead.
enum class DeathReason : std::uint8_t {
  /// No heartbeat for `CoordinatorOptions::death_after`, or a shorter time if a peer reports
  /// failing calls to the node (`FailureDetector::RecordSuspicion`).
  kUnresponsive,
  kSuperseded,  ///< A later incarnation of its machine is registered.
};

/// @return the name of `reason` in commands, logs and metrics.
std::string_view DeathReasonName(DeathReason reason);

class DeathDeclarer {
 public:
  DeathDeclarer(LeaderContext& context, CommandProposer& proposer)
      : context_(context), proposer_(proposer) {}

  /// Drops expired leases, updates `LeaderContext::unresponsive`, forgets nodes that are not live
  /// and proposes to declare dead each node that is due. Requires `context.CanAnswerRequests()`.
  void Step();

 private:
  struct DueDeath {
    proto::Server server;
    DeathReason reason;
  };

  std::set<NodeId> FindLiveNodes() const;
  void UpdateUnresponsive(const std::set<NodeId>& live);
  /// @return the nodes of `live` to be declared dead now whose death is not yet proposed.
  std::vector<DueDeath> FindDueDeaths(const std::set<NodeId>& live) const;
  /// @return why `server` is to be declared dead now; no value if it is not.
  std::optional<DeathReason> FindDeathReason(const proto::Server& server) const;
  void ProposeDeath(const DueDeath& death);
  /// Handles the result of the command that declares `node` dead.
  void HandleDeathResult(NodeId node, const Result<proto::ControlCommandResult>& result);

  LeaderContext& context_;
  CommandProposer& proposer_;
};

}  // namespace cloverbank
