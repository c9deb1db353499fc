#pragma once
/// @file
/// The replicated list of servers: who has registered, under which node id, and who is dead.
/// Part of `ControlState`; deterministic. RAMCloud page, "Normal Operation Walkthrough"
/// (serverAlive, getServerList).
///
/// Gateways are kept here too, though no other node needs them: a new leader then knows which
/// gateways may hold a lease, and one that goes on heartbeating keeps its id over a leader change
/// instead of being fenced. They are left out of `FleetUpdate` and are erased when they fall
/// silent.

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

/// Whether the server may act: registered and not declared dead.
inline bool IsLive(const proto::Server& server) {
  return server.state() != proto::SERVER_STATE_DEAD;
}

/// Whether a live backup counts as a place for replicas: on a store machine that is not retired.
inline bool IsActiveStoreBackup(const proto::Server& backup) {
  return !backup.spare() && backup.state() == proto::SERVER_STATE_UP;
}

class ServerRegistry {
 public:
  /// Dead servers kept, so that a node that lags gets them in a delta and a log's head can name the
  /// disks of backups that have restarted since.
  static constexpr std::size_t kMaximumDeadServers = 256;

  /// What a registration did.
  struct Registration {
    NodeId node_id;
    std::vector<NodeId> superseded;  ///< Live earlier lives that end with it.
    bool repeated = false;           ///< The same life had registered already.
  };

  /// Registers `server` under a fresh id, unless the same life holds one already (a repeated
  /// message). Does not mark the superseded lives dead: the caller does.
  Registration Register(const proto::Server& server, NodeId previous);

  /// Marks a queue or backup node dead; erases a gateway. @return whether anything changed.
  bool DeclareDead(NodeId node);
  /// Empties the machine's servers, present and future, or takes that back.
  void RetireMachine(const std::string& machine, bool cancel);
  /// Forgets the oldest dead servers beyond `kMaximumDeadServers`, except `needed` ones.
  void PruneDead(const std::set<NodeId>& needed);

  /// @return the server, dead or live, or nullptr.
  const proto::Server* Find(NodeId node) const;
  /// @return the server if it is live and of `role`, else nullptr.
  const proto::Server* FindLive(NodeId node, proto::Role role) const;
  const std::map<NodeId, proto::Server>& servers() const { return servers_; }
  /// @return live servers of `role`, by node id.
  std::vector<const proto::Server*> FindLiveServers(proto::Role role) const;
  /// @return the live queue node that holds the same machine name with a higher id, if any: the
  /// sign that `node` is an earlier life whose machine came back at another address.
  NodeId FindLaterIncarnation(const proto::Server& server) const;
  /// Whether `left` and `right` are backups that keep, or kept, their replicas on the same disk.
  bool HaveSameDisk(NodeId left, NodeId right) const;
  /// Whether a queue or backup node, dead or live, of that machine is kept, or it is retired.
  bool HasStoreMachine(const std::string& machine) const;
  const std::set<std::string>& retired_machines() const { return retired_machines_; }
  NodeId next_node_id() const { return next_node_id_; }

  /// @return the queue and backup nodes changed since the last call, and forgets them.
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
