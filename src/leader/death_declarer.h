#pragma once
/// @file
/// Declares nodes dead: those that have not responded for too long and those whose machine has come
/// back as a later incarnation; neither before the node's lease has expired (docs/DESIGN.md
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
  kUnresponsive,  ///< No heartbeat for `CoordinatorOptions::death_after`.
  kSuperseded,    ///< A later incarnation of its machine is registered.
};

/// @return the name in commands, logs and metrics.
std::string_view DeathReasonName(DeathReason reason);

class DeathDeclarer {
 public:
  DeathDeclarer(LeaderContext& context, CommandProposer& proposer)
      : context_(context), proposer_(proposer) {}

  /// Expires leases, updates the unresponsive nodes of the context, forgets nodes that are not live
  /// and proposes the deaths that are due. Requires `context.CanAnswer()`.
  void Step();

 private:
  struct DueDeath {
    proto::Server server;
    DeathReason reason;
  };

  std::set<NodeId> FindLiveNodes() const;
  void UpdateUnresponsive(const std::set<NodeId>& live);
  std::vector<DueDeath> FindDueDeaths(const std::set<NodeId>& live) const;
  std::optional<DeathReason> FindDeathReason(const proto::Server& server) const;
  void ProposeDeath(const DueDeath& death);
  void HandleDeathResult(NodeId node, const Result<proto::ControlCommandResult>& result);

  LeaderContext& context_;
  CommandProposer& proposer_;
};

}  // namespace cloverbank
