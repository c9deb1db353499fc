#pragma once
/// @file
/// The replicated membership: registered servers, their node ids and whether they are dead. Part of
/// `ControlState`; deterministic. RAMCloud page, "Normal Operation Walkthrough" (serverAlive,
/// getServerList).
///
/// Gateways are registered too, though nodes do not see them in `FleetUpdate`: a new leader then
/// knows which gateways may have a lease, and a gateway keeps its id over a leader change. A dead
/// gateway is erased.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/status.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

/// @return whether the server is registered and not declared dead.
inline bool IsLive(const proto::Server& server) {
  return server.state() != proto::SERVER_STATE_DEAD;
}

/// @return whether a live backup is on a store machine that is not being retired.
inline bool IsActiveStoreBackup(const proto::Server& backup) {
  return !backup.spare() && backup.state() == proto::SERVER_STATE_UP;
}

class ServerRegistry {
 public:
  /// Dead servers kept: nodes that lag receive them in deltas, and log heads refer to backups that
  /// have restarted since.
  static constexpr std::size_t kMaximumDeadServers = 256;

  /// Result of a registration.
  struct Registration {
    NodeId node_id;
    std::vector<NodeId> superseded;  ///< Live earlier incarnations that end with it.
    bool repeated = false;           ///< This incarnation was registered already.
  };

  /// Registers `server` under a new id, unless the same incarnation has one (a repeated message).
  /// The caller must declare the superseded incarnations dead.
  /// @param previous id that the server had before and gives up; invalid if none.
  Registration Register(const proto::Server& server, NodeId previous);

  /// Marks a queue or backup node dead; erases a gateway. @return whether anything changed.
  bool DeclareDead(NodeId node);
  /// Marks the present and future servers of the machine as retiring, or cancels that.
  void RetireMachine(const std::string& machine, bool cancel);
  /// Drops the oldest dead servers beyond `kMaximumDeadServers`, except `needed` ones.
  void PruneDead(const std::set<NodeId>& needed);

  /// @return the server, dead or live, or nullptr.
  const proto::Server* Find(NodeId node) const;
  /// @return the server if it is live and of `role`, else nullptr.
  const proto::Server* FindLive(NodeId node, proto::Role role) const;
  const std::map<NodeId, proto::Server>& servers() const { return servers_; }
  /// @return live servers of `role`, by node id.
  std::vector<const proto::Server*> FindLiveServers(proto::Role role) const;
  /// @return the live queue node with the same machine name and a higher id, or an invalid id. If
  /// there is one, `server` is an earlier incarnation whose machine came back at another address.
  NodeId FindLaterIncarnation(const proto::Server& server) const;
  /// @return whether `left` and `right` are the same server or incarnations of one disk.
  bool HaveSameDisk(NodeId left, NodeId right) const;
  /// @return whether a queue node or backup of that machine, dead or live, is known, or the machine
  /// is being retired.
  bool HasStoreMachine(const std::string& machine) const;
  const std::set<std::string>& retired_machines() const { return retired_machines_; }
  NodeId next_node_id() const { return next_node_id_; }

  /// @return the queue nodes and backups changed since the last call.
  std::set<NodeId> TakeChanged() { return std::exchange(changed_, {}); }

  void Save(proto::ControlStateSnapshot* snapshot) const;
  void Load(const proto::ControlStateSnapshot& snapshot);

 private:
  void RecordChange(const proto::Server& server);
  NodeId FindSameIncarnation(const proto::Server& server, NodeId previous) const;
  std::vector<NodeId> FindSuperseded(const proto::Server& server, NodeId previous) const;

  NodeId next_node_id_{1};
  std::map<NodeId, proto::Server> servers_;
  std::set<std::string> retired_machines_;
  std::set<NodeId> changed_;
};

}  // namespace cloverbank
