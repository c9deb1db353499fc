#pragma once
/// @file
/// The replicated membership: the registered servers, their node ids and whether they are dead.
/// Part of `ControlState`; deterministic. See the RAMCloud page, "Normal Operation Walkthrough"
/// (serverAlive, getServerList).
///
/// Gateways are registered too, although `FleetUpdate` does not list them, so that a new leader
/// knows which gateways may have a lease and a gateway keeps its node id across a leader change. A
/// dead gateway is erased.

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

/// @return whether the registered server has not been declared dead.
inline bool IsLive(const proto::Server& server) {
  return server.state() != proto::SERVER_STATE_DEAD;
}

/// @return whether the backup is live, on a store machine (not a spare backup) and not being
/// retired.
inline bool IsActiveStoreBackup(const proto::Server& backup) {
  return !backup.spare() && backup.state() == proto::SERVER_STATE_UP;
}

class ServerRegistry {
 public:
  /// Maximum number of dead servers to keep, apart from those that log heads refer to. Deltas
  /// report them to nodes that lag, and log heads may refer to backups that have restarted since.
  static constexpr std::size_t kMaximumDeadServers = 256;

  /// Result of a registration.
  struct Registration {
    NodeId node_id;
    std::vector<NodeId> superseded;  ///< Live earlier incarnations that this one replaces.
    bool repeated = false;           ///< This incarnation was already registered.
  };

  /// Registers `server` under a new node id, unless the same incarnation has one (a repeated
  /// message). The caller must declare the superseded incarnations dead.
  /// @param previous node id that the server had before and gives up; invalid if none.
  Registration Register(const proto::Server& server, NodeId previous);

  /// Marks a queue node or backup dead; erases a gateway.
  /// @return whether the node was live until now.
  bool DeclareDead(NodeId node);
  /// Marks the present and future servers of the machine as retiring.
  /// @param cancel ends the retirement instead.
  void RetireMachine(const std::string& machine, bool cancel);
  /// Drops the oldest dead servers beyond `kMaximumDeadServers`, except those in `needed`.
  void PruneDead(const std::set<NodeId>& needed);

  /// @return the server, dead or live, or nullptr if the node id is unknown.
  const proto::Server* Find(NodeId node) const;
  /// @return the server if it is live and of `role`, else nullptr.
  const proto::Server* FindLive(NodeId node, proto::Role role) const;
  const std::map<NodeId, proto::Server>& servers() const { return servers_; }
  /// @return live servers of `role`, by node id.
  std::vector<const proto::Server*> FindLiveServers(proto::Role role) const;
  /// @return the live queue node with the same machine name as the queue node `server` and a higher
  /// node id, or an invalid id. If there is one, `server` is an earlier incarnation and the machine
  /// came back at another address.
  NodeId FindLaterIncarnation(const proto::Server& server) const;
  /// @return whether `left` and `right` are the same server or backups with the same disk.
  bool HaveSameDisk(NodeId left, NodeId right) const;
  /// @return whether a queue node or backup of that machine, dead or live, is known or the machine
  /// is being retired.
  bool HasStoreMachine(const std::string& machine) const;
  const std::set<std::string>& retired_machines() const { return retired_machines_; }
  NodeId next_node_id() const { return next_node_id_; }

  /// @return the queue nodes and backups changed since the last call.
  std::set<NodeId> TakeChanged() { return std::exchange(changed_, {}); }

  void Save(proto::ControlStateSnapshot* snapshot) const;
  void Load(const proto::ControlStateSnapshot& snapshot);

 private:
  /// Adds the server to `changed_`, unless it is a gateway.
  void RecordChange(const proto::Server& server);
  /// @return the live server, other than `previous`, that `server` repeats the registration of, or
  /// an invalid id.
  NodeId FindSameIncarnation(const proto::Server& server, NodeId previous) const;
  /// @return the live servers whose processes must have ended, because `server` registers:
  /// `previous` and those with the role and the endpoint or disk of `server`.
  std::vector<NodeId> FindSuperseded(const proto::Server& server, NodeId previous) const;

  NodeId next_node_id_{1};
  std::map<NodeId, proto::Server> servers_;
  std::set<std::string> retired_machines_;
  std::set<NodeId> changed_;
};

}  // namespace cloverbank
