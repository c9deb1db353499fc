/// @file
/// The part of `SegmentStore` that applies changes to its state and looks up replicas.

#include <utility>

#include "backup/segment_store.h"

namespace cloverbank {

void SegmentStore::Apply(const ReplicaKey& key, const ReplicaChange& change, TimePoint now) {
  opening_capacities_.erase(key);
  if (change.remove) {
    const auto found = replicas_.find(key);
    if (found != replicas_.end() && !found->second.corrupt) {
      freed_segments_[key] = {found->second.header.epoch, now};
    }
    replicas_.erase(key);
  }
  if (!change.create && !replicas_.contains(key)) {
    return;
  }
  Replica& replica = replicas_[key];
  if (change.header || change.header_before) {
    replica.header = change.header ? *change.header : *change.header_before;
    replica.replacement_epoch = HeadEpoch();
  }
  if (change.replacement_epoch.valid()) {
    replica.replacement_epoch = change.replacement_epoch;
  }
  replica.staging.append(change.data);
  replica.length += change.data.size();
  if (!replica.IsOpen()) {
    replica.length = replica.header.length;
    std::string().swap(replica.staging);
  }
}

void SegmentStore::Abandon(const ReplicaKey& key, const ReplicaChange& change) {
  opening_capacities_.erase(key);
  const auto found = replicas_.find(key);
  if (found == replicas_.end()) {
    return;
  }
  found->second.failed = true;
  if (change.remove) {
    found->second.corrupt = true;
  }
}

void SegmentStore::Restore(Replica replica) {
  const ReplicaKey key = replica.header.key;
  replicas_[key] = std::move(replica);
}

void SegmentStore::SetCorrupt(const ReplicaKey& key) {
  const auto found = replicas_.find(key);
  if (found != replicas_.end()) {
    found->second.corrupt = true;
    std::string().swap(found->second.staging);
  }
}

void SegmentStore::RecordChecked(const ReplicaKey& key, std::vector<std::uint64_t> digest) {
  const auto found = replicas_.find(key);
  if (found != replicas_.end()) {
    found->second.checked = true;
    found->second.digest = std::move(digest);
  }
}

const Replica* SegmentStore::Find(const ReplicaKey& key) const {
  const auto found = replicas_.find(key);
  return found == replicas_.end() ? nullptr : &found->second;
}

std::vector<ReplicaKey> SegmentStore::FindKeys(NodeId node) const {
  std::vector<ReplicaKey> keys;
  for (auto it = replicas_.lower_bound({node, SegmentId()});
       it != replicas_.end() && it->first.node == node; ++it) {
    keys.push_back(it->first);
  }
  return keys;
}

std::uint64_t SegmentStore::staging_bytes() const {
  std::uint64_t total = 0;
  for (const auto& [key, replica] : replicas_) {
    total += replica.IsOpen() && !replica.corrupt ? replica.header.capacity : 0;
  }
  for (const auto& [key, capacity] : opening_capacities_) {
    total += capacity;
  }
  return total;
}

bool SegmentStore::WasFreedRecently(const ReplicaKey& key, HeadEpoch epoch, TimePoint now) {
  std::erase_if(freed_segments_, [&](const auto& entry) {
    return now - entry.second.time >= options_.freed_segment_retention;
  });
  const auto found = freed_segments_.find(key);
  return found != freed_segments_.end() && epoch <= found->second.epoch;
}

}  // namespace cloverbank
