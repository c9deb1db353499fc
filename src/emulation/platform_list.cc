#include "emulation/platform_list.h"

namespace cloverbank {

void PlatformList::Set(TimePoint now, const proto::Replica& replica) {
  changes_.push_back({now + lag_, replica.id(), false, replica});
}

void PlatformList::Remove(TimePoint now, const std::string& id) {
  changes_.push_back({now + lag_, id, true, {}});
}

const proto::ReplicaList& PlatformList::Shown(TimePoint now) {
  bool changed = false;
  while (!changes_.empty() && changes_.front().due <= now) {
    Change& change = changes_.front();
    if (change.removed) {
      replicas_.erase(change.id);
    } else {
      replicas_[change.id] = change.replica;
    }
    changes_.pop_front();
    changed = true;
  }
  if (changed) {
    const std::uint64_t version = shown_.version() + 1;
    shown_.Clear();
    shown_.set_version(version);
    for (const auto& [id, replica] : replicas_) {
      *shown_.add_replicas() = replica;
    }
  }
  return shown_;
}

}  // namespace cloverbank
