#include "calls/active_replicas.h"

#include <algorithm>
#include <utility>

#include "routing/router.h"

namespace cloverbank {
namespace {

bool IsInOpenZone(const ReplicaRecord& record, const proto::RoutingConfiguration& configuration) {
  const proto::Zone* zone = FindZone(configuration, record.zone);
  return zone != nullptr && zone->state() == proto::ZONE_STATE_OPEN;
}

}  // namespace

ActiveReplicas::Change ActiveReplicas::Update(const ReplicaDirectory& directory,
                                              const proto::RoutingConfiguration& configuration,
                                              const std::vector<std::string>& restarted) {
  Change change;
  change.initial = !activated_;
  std::set<std::string> active;
  for (const auto& [id, record] : directory.records()) {
    if (!record.ready || !IsInOpenZone(record, configuration)) {
      continue;
    }
    active.insert(id);
    const bool is_restarted = std::find(restarted.begin(), restarted.end(), id) != restarted.end();
    if (is_restarted || !ids_.contains(id)) {
      change.added.push_back(id);
    }
  }
  for (const std::string& id : ids_) {
    if (!active.contains(id)) {
      change.removed.push_back(id);
      preexisting_.erase(id);
    }
  }
  ids_ = std::move(active);
  for (const std::string& id : change.added) {
    if (change.initial) {
      preexisting_.insert(id);
    } else {
      preexisting_.erase(id);
    }
  }
  activated_ = activated_ || !ids_.empty();
  return change;
}

}  // namespace cloverbank
