#include "log_writer/backup_selector.h"

#include <algorithm>
#include <map>
#include <string>

namespace cloverbank {
namespace {

struct Candidates {
  std::vector<const proto::Server*> regular;
  std::vector<const proto::Server*> spare;
};

void Shuffle(std::vector<const proto::Server*>& servers,
             const std::function<std::uint64_t()>& random) {
  for (std::size_t remaining = servers.size(); remaining > 1; --remaining) {
    std::swap(servers[remaining - 1], servers[random() % remaining]);
  }
}

Candidates FindCandidates(const FleetView& fleet, const BackupRequest& request) {
  Candidates candidates;
  for (const auto& [id, server] : fleet.servers) {
    if (!AcceptsNewSegments(server) || request.locations.contains(id) ||
        request.avoid.contains(id)) {
      continue;
    }
    (server.spare() ? candidates.spare : candidates.regular).push_back(&server);
  }
  return candidates;
}

/// Chooses up to `count` of `servers`, in their shuffled order, each time from the least used zone.
void ChooseAcrossZones(std::vector<const proto::Server*> servers, std::size_t count,
                       std::map<std::string, int>& replicas_by_zone, std::vector<NodeId>* chosen) {
  for (; count > 0 && !servers.empty(); --count) {
    const auto best = std::min_element(
        servers.begin(), servers.end(), [&](const proto::Server* left, const proto::Server* right) {
          return replicas_by_zone[left->zone()] < replicas_by_zone[right->zone()];
        });
    ++replicas_by_zone[(*best)->zone()];
    chosen->push_back(NodeId((*best)->node_id()));
    servers.erase(best);
  }
}

}  // namespace

bool AcceptsNewSegments(const proto::Server& server) {
  return server.role() == proto::ROLE_BACKUP && server.state() == proto::SERVER_STATE_UP;
}

std::vector<NodeId> SelectBackups(const FleetView& fleet, const BackupRequest& request,
                                  const std::function<std::uint64_t()>& random) {
  Candidates candidates = FindCandidates(fleet, request);
  Shuffle(candidates.regular, random);
  Shuffle(candidates.spare, random);
  std::map<std::string, int> replicas_by_zone;
  for (const NodeId location : request.locations) {
    const auto server = fleet.servers.find(location);
    if (server != fleet.servers.end()) {
      ++replicas_by_zone[server->second.zone()];
    }
  }
  std::vector<NodeId> chosen;
  ChooseAcrossZones(candidates.regular, request.count, replicas_by_zone, &chosen);
  const std::size_t replicas = request.locations.size() + chosen.size();
  const std::size_t missing_replicas =
      request.replicas > replicas ? request.replicas - replicas : 0;
  const std::size_t spares = std::min(request.count - chosen.size(), missing_replicas);
  ChooseAcrossZones(candidates.spare, spares, replicas_by_zone, &chosen);
  return chosen;
}

}  // namespace cloverbank
