#include "queue/backup_directory.h"

namespace cloverbank {
namespace {

bool IsLiveBackup(const proto::Server& server) {
  return server.role() == proto::ROLE_BACKUP && server.state() != proto::SERVER_STATE_DEAD;
}

Endpoint ToEndpoint(const proto::Endpoint& endpoint) {
  return {endpoint.host(), static_cast<std::uint16_t>(endpoint.port())};
}

}  // namespace

const proto::Server* BackupDirectory::Current(const SegmentHolder& holder) const {
  const auto& servers = agent_.fleet().servers;
  const auto same = servers.find(holder.node);
  if (same != servers.end() && IsLiveBackup(same->second)) {
    return &same->second;
  }
  if (holder.disk_id.empty()) {
    return nullptr;
  }
  for (const auto& [id, server] : servers) {
    if (IsLiveBackup(server) && server.disk_id() == holder.disk_id) {
      return &server;
    }
  }
  return nullptr;
}

Endpoint BackupDirectory::EndpointOf(const SegmentHolder& holder) const {
  const proto::Server* server = Current(holder);
  return server == nullptr ? holder.endpoint : ToEndpoint(server->peer_endpoint());
}

SegmentHolder BackupDirectory::HolderOf(NodeId node) const {
  const proto::Server& server = agent_.fleet().servers.at(node);
  return {node, server.disk_id(), ToEndpoint(server.peer_endpoint())};
}

void BackupDirectory::NoteFailure(NodeId node) {
  failed_at_[node] = environment_.Now();
  agent_.ReportSuspect(node);
}

std::set<NodeId> BackupDirectory::RecentlyFailed() {
  const TimePoint now = environment_.Now();
  std::erase_if(failed_at_,
                [&](const auto& failure) { return now - failure.second >= failure_memory_; });
  std::set<NodeId> nodes;
  for (const auto& [node, time] : failed_at_) {
    nodes.insert(node);
  }
  return nodes;
}

std::vector<NodeId> BackupDirectory::Select(std::size_t count, std::size_t copies,
                                            const std::vector<SegmentHolder>& holders,
                                            const std::vector<SegmentHolder>& excluded) {
  BackupRequest request;
  request.count = count;
  request.copies = copies;
  request.avoid = RecentlyFailed();
  for (const SegmentHolder& holder : holders) {
    const proto::Server* server = Current(holder);
    request.holders.insert(server == nullptr ? holder.node : NodeId(server->node_id()));
  }
  for (const SegmentHolder& holder : excluded) {
    const proto::Server* server = Current(holder);
    request.avoid.insert(server == nullptr ? holder.node : NodeId(server->node_id()));
  }
  return SelectBackups(agent_.fleet(), request, [this] { return environment_.Random(); });
}

}  // namespace cloverbank
