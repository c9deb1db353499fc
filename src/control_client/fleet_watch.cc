#include "control_client/fleet_watch.h"

namespace cloverbank {

const proto::Server* FleetView::OwnerOf(PartitionId partition) const {
  const auto entry = partitions.find(partition);
  if (entry == partitions.end()) {
    return nullptr;
  }
  const auto owner = servers.find(NodeId(entry->second.owner()));
  return owner == servers.end() ? nullptr : &owner->second;
}

FleetVersion FleetWatch::VersionToReport() const {
  return full_update_needed_ ? FleetVersion() : view_.version;
}

UpdateOutcome FleetWatch::Apply(const proto::FleetUpdate& update) {
  const FleetVersion new_version(update.to_version());
  const bool full = update.from_version() == 0;
  if (full) {
    // Even an update that was not requested is the leader's complete state.
    full_update_needed_ = false;
  }
  if (new_version < view_.version) {
    return UpdateOutcome::kOlder;
  }
  if (new_version == view_.version) {
    return UpdateOutcome::kUnchanged;
  }
  if (!full && FleetVersion(update.from_version()) != view_.version) {
    full_update_needed_ = true;
    return UpdateOutcome::kGap;
  }
  if (full) {
    view_ = FleetView();
  }
  Merge(update);
  view_.version = new_version;
  full_update_needed_ = false;
  return UpdateOutcome::kApplied;
}

void FleetWatch::Merge(const proto::FleetUpdate& update) {
  for (const proto::Server& server : update.servers()) {
    const NodeId id(server.node_id());
    if (server.state() == proto::SERVER_STATE_DEAD) {
      view_.servers.erase(id);
    } else {
      view_.servers[id] = server;
    }
  }
  for (const proto::Partition& partition : update.partitions()) {
    view_.partitions[PartitionId(partition.partition_id())] = partition;
  }
}

}  // namespace cloverbank
