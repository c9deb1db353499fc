#include "log_writer/backup_directory.h"

namespace cloverbank {
namespace {

bool IsLiveBackup(const proto::Server& server) {
  return server.role() == proto::ROLE_BACKUP && server.state() != proto::SERVER_STATE_DEAD;
}

Endpoint ToEndpoint(const proto::Endpoint& endpoint) {
  return {endpoint.host(), static_cast<std::uint16_t>(endpoint.port())};
}

}  // namespace

const proto::Server* BackupDirectory::FindBackup(const ReplicaLocation& location) const {
  const auto& servers = agent_.fleet().servers;
  const auto same_node = servers.find(location.node);
  if (same_node != servers.end() && IsLiveBackup(same_node->second)) {
    return &same_node->second;
  }
  if (location.disk_id.empty()) {
    return nullptr;
  }
  for (const auto& [id, server] : servers) {
    if (IsLiveBackup(server) && server.disk_id() == location.disk_id) {
      return &server;
    }
  }
  return nullptr;
}

NodeId BackupDirectory::GetCurrentNode(const ReplicaLocation& location) const {
  const proto::Server* server = FindBackup(location);
  return server == nullptr ? location.node : NodeId(server->node_id());
}

ReplicaCount BackupDirectory::CountByKind(const std::vector<ReplicaLocation>& locations) const {
  ReplicaCount count;
  for (const ReplicaLocation& location : locations) {
    const proto::Server* server = FindBackup(location);
    if (server == nullptr) {
      continue;
    }
    if (!AcceptsNewSegments(*server)) {
      ++count.retiring;
    } else if (server->spare()) {
      ++count.spare;
    } else {
      ++count.regular;
    }
  }
  return count;
}

bool BackupDirectory::HasBetterBackups(const std::vector<ReplicaLocation>& locations) const {
  std::set<NodeId> members;
  for (const ReplicaLocation& location : locations) {
    if (FindBackup(location) != nullptr) {
      members.insert(GetCurrentNode(location));
    }
  }
  std::size_t other_regular = 0;
  std::size_t others = 0;
  for (const auto& [id, server] : agent_.fleet().servers) {
    if (AcceptsNewSegments(server) && !members.contains(id)) {
      ++others;
      other_regular += server.spare() ? 0 : 1;
    }
  }
  const ReplicaCount count = CountByKind(locations);
  return (count.spare > 0 && other_regular > 0) || (count.retiring > 0 && others > 0);
}

Endpoint BackupDirectory::GetEndpoint(const ReplicaLocation& location) const {
  const proto::Server* server = FindBackup(location);
  return server == nullptr ? location.endpoint : ToEndpoint(server->peer_endpoint());
}

ReplicaLocation BackupDirectory::GetLocation(NodeId node) const {
  const proto::Server& server = agent_.fleet().servers.at(node);
  return {node, server.disk_id(), ToEndpoint(server.peer_endpoint())};
}

void BackupDirectory::RecordFailure(NodeId node) {
  failed_at_[node] = environment_.Now();
  agent_.ReportSuspect(node);
}

std::set<NodeId> BackupDirectory::GetRecentlyFailed() {
  const TimePoint now = environment_.Now();
  std::erase_if(failed_at_,
                [&](const auto& failure) { return now - failure.second >= failure_cooldown_; });
  std::set<NodeId> nodes;
  for (const auto& [node, time] : failed_at_) {
    nodes.insert(node);
  }
  return nodes;
}

std::vector<NodeId> BackupDirectory::Select(std::size_t count, std::size_t replicas,
                                            const std::vector<ReplicaLocation>& locations,
                                            const std::vector<ReplicaLocation>& excluded) {
  BackupRequest request;
  request.count = count;
  request.replicas = replicas;
  request.avoid = GetRecentlyFailed();
  for (const ReplicaLocation& location : locations) {
    request.locations.insert(GetCurrentNode(location));
  }
  for (const ReplicaLocation& location : excluded) {
    request.avoid.insert(GetCurrentNode(location));
  }
  return SelectBackups(agent_.fleet(), request, [this] { return environment_.Random(); });
}

}  // namespace cloverbank
