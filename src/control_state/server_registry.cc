#include "control_state/server_registry.h"

#include <algorithm>

namespace cloverbank {
namespace {

bool HaveSameEndpoint(const proto::Endpoint& left, const proto::Endpoint& right) {
  return left.host() == right.host() && left.port() == right.port();
}

/// @return whether `later` has the role of `earlier` and its endpoint or disk, which means that the
/// process of `earlier` has ended.
bool Supersedes(const proto::Server& later, const proto::Server& earlier) {
  if (later.role() != earlier.role()) {
    return false;
  }
  const bool same_disk = !later.disk_id().empty() && later.disk_id() == earlier.disk_id();
  return same_disk || HaveSameEndpoint(later.peer_endpoint(), earlier.peer_endpoint());
}

}  // namespace

ServerRegistry::Registration ServerRegistry::Register(const proto::Server& server,
                                                      NodeId previous) {
  Registration registration;
  registration.node_id = FindSameIncarnation(server, previous);
  if (registration.node_id.valid()) {
    registration.repeated = true;
    return registration;
  }
  registration.superseded = FindSuperseded(server, previous);
  registration.node_id = next_node_id_;
  next_node_id_ = next_node_id_.Next();
  proto::Server& entry = servers_[registration.node_id];
  entry = server;
  entry.set_node_id(registration.node_id.value());
  entry.set_state(retired_machines_.contains(server.machine()) ? proto::SERVER_STATE_RETIRING
                                                               : proto::SERVER_STATE_UP);
  RecordChange(entry);
  return registration;
}

void ServerRegistry::RecordChange(const proto::Server& server) {
  if (server.role() != proto::ROLE_GATEWAY) {
    changed_.insert(NodeId(server.node_id()));
  }
}

NodeId ServerRegistry::FindSameIncarnation(const proto::Server& server, NodeId previous) const {
  for (const auto& [id, entry] : servers_) {
    const bool same = IsLive(entry) && id != previous && entry.role() == server.role() &&
                      entry.incarnation() == server.incarnation() &&
                      HaveSameEndpoint(entry.peer_endpoint(), server.peer_endpoint());
    if (same) {
      return id;
    }
  }
  return {};
}

std::vector<NodeId> ServerRegistry::FindSuperseded(const proto::Server& server,
                                                   NodeId previous) const {
  std::vector<NodeId> superseded;
  for (const auto& [id, entry] : servers_) {
    const bool is_previous =
        id == previous && entry.role() == server.role() && entry.machine() == server.machine();
    if (IsLive(entry) && (is_previous || Supersedes(server, entry))) {
      superseded.push_back(id);
    }
  }
  return superseded;
}

bool ServerRegistry::DeclareDead(NodeId node) {
  const auto entry = servers_.find(node);
  if (entry == servers_.end() || !IsLive(entry->second)) {
    return false;
  }
  if (entry->second.role() == proto::ROLE_GATEWAY) {
    servers_.erase(entry);
    return true;
  }
  entry->second.set_state(proto::SERVER_STATE_DEAD);
  RecordChange(entry->second);
  return true;
}

void ServerRegistry::RetireMachine(const std::string& machine, bool cancel) {
  if (cancel) {
    retired_machines_.erase(machine);
  } else {
    retired_machines_.insert(machine);
  }
  for (auto& [id, server] : servers_) {
    if (server.machine() == machine && IsLive(server)) {
      server.set_state(cancel ? proto::SERVER_STATE_UP : proto::SERVER_STATE_RETIRING);
      RecordChange(server);
    }
  }
}

void ServerRegistry::PruneDead(const std::set<NodeId>& needed) {
  std::vector<NodeId> dead;
  for (const auto& [id, server] : servers_) {
    if (!IsLive(server)) {
      dead.push_back(id);
    }
  }
  for (std::size_t index = 0; index + kMaximumDeadServers < dead.size(); ++index) {
    if (!needed.contains(dead[index])) {
      servers_.erase(dead[index]);
    }
  }
}

const proto::Server* ServerRegistry::Find(NodeId node) const {
  const auto entry = servers_.find(node);
  return entry == servers_.end() ? nullptr : &entry->second;
}

const proto::Server* ServerRegistry::FindLive(NodeId node, proto::Role role) const {
  const proto::Server* server = Find(node);
  const bool matches = server != nullptr && IsLive(*server) && server->role() == role;
  return matches ? server : nullptr;
}

std::vector<const proto::Server*> ServerRegistry::FindLiveServers(proto::Role role) const {
  std::vector<const proto::Server*> live;
  for (const auto& [id, server] : servers_) {
    if (server.role() == role && IsLive(server)) {
      live.push_back(&server);
    }
  }
  return live;
}

NodeId ServerRegistry::FindLaterIncarnation(const proto::Server& server) const {
  if (server.role() != proto::ROLE_QUEUE || server.machine().empty()) {
    return {};
  }
  for (auto entry = servers_.upper_bound(NodeId(server.node_id())); entry != servers_.end();
       ++entry) {
    const proto::Server& other = entry->second;
    const bool later = IsLive(other) && other.role() == server.role() &&
                       other.machine() == server.machine() &&
                       other.incarnation() != server.incarnation();
    if (later) {
      return entry->first;
    }
  }
  return {};
}

bool ServerRegistry::HaveSameDisk(NodeId left, NodeId right) const {
  if (left == right) {
    return true;
  }
  const proto::Server* first = Find(left);
  const proto::Server* second = Find(right);
  return first != nullptr && second != nullptr && !first->disk_id().empty() &&
         first->disk_id() == second->disk_id();
}

bool ServerRegistry::HasStoreMachine(const std::string& machine) const {
  return retired_machines_.contains(machine) ||
         std::any_of(servers_.begin(), servers_.end(), [&machine](const auto& entry) {
           return entry.second.machine() == machine && entry.second.role() != proto::ROLE_GATEWAY;
         });
}

void ServerRegistry::Save(proto::ControlStateSnapshot* snapshot) const {
  snapshot->set_next_node_id(next_node_id_.value());
  for (const auto& [id, server] : servers_) {
    *snapshot->add_servers() = server;
  }
  for (const std::string& machine : retired_machines_) {
    snapshot->add_retired_machines(machine);
  }
}

void ServerRegistry::Load(const proto::ControlStateSnapshot& snapshot) {
  *this = ServerRegistry();
  next_node_id_ = NodeId(snapshot.next_node_id());
  for (const proto::Server& server : snapshot.servers()) {
    servers_[NodeId(server.node_id())] = server;
  }
  retired_machines_ = {snapshot.retired_machines().begin(), snapshot.retired_machines().end()};
}

}  // namespace cloverbank
