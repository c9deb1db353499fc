#include "replicas/replica_directory.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "base/checksum.h"

namespace cloverbank {
namespace {

constexpr std::uint32_t kMaximumPort = 65535;
constexpr std::string_view kLongPromptsKey = "long prompts";
constexpr std::size_t kReplicasPerLongPromptReplica = 3;

bool WellFormed(const proto::Replica& replica) {
  const bool has_endpoint = !replica.endpoint().host().empty() && replica.endpoint().port() != 0 &&
                            replica.endpoint().port() <= kMaximumPort;
  return has_endpoint && !replica.id().empty() && !replica.backend().empty() &&
         replica.kind() != proto::BACKEND_KIND_UNSPECIFIED;
}

ReplicaRecord ToRecord(const proto::Replica& replica) {
  ReplicaRecord record;
  record.id = replica.id();
  record.endpoint.host = replica.endpoint().host();
  record.endpoint.port = static_cast<std::uint16_t>(replica.endpoint().port());
  record.zone = replica.zone();
  record.kind = replica.kind();
  record.backend = replica.backend();
  record.capacity = std::max(1U, replica.capacity());
  record.instance_id = replica.instance_id();
  record.slow_start_remaining = milliseconds(replica.cold_left_ms());
  record.ready = replica.state() == proto::REPLICA_STATE_READY;
  return record;
}

bool IsSameIncarnation(const ReplicaRecord& left, const ReplicaRecord& right) {
  return left.instance_id == right.instance_id && left.endpoint == right.endpoint;
}

}  // namespace

Result<DirectoryChange> ReplicaDirectory::Apply(const proto::ReplicaList& list) {
  if (list.version() == 0) {
    return Status(StatusCode::kInvalidArgument,
                  "the replica list has version 0; expected at least 1");
  }
  DirectoryChange change;
  std::map<std::string, ReplicaRecord, std::less<>> records;
  for (const proto::Replica& replica : list.replicas()) {
    if (!WellFormed(replica) || records.contains(replica.id())) {
      ++change.skipped;
      continue;
    }
    records.emplace(replica.id(), ToRecord(replica));
  }
  for (const auto& [id, record] : records) {
    const ReplicaRecord* previous = Find(id);
    const bool was_ready = previous != nullptr && previous->ready;
    if (record.ready && (!was_ready || !IsSameIncarnation(*previous, record))) {
      change.warming_up.push_back(id);
    }
    if (!record.ready && was_ready) {
      change.stopped.push_back(id);
    }
  }
  for (const auto& [id, record] : records_) {
    if (!records.contains(id)) {
      change.removed.push_back(id);
    }
  }
  records_ = std::move(records);
  version_ = list.version();
  loaded_ = true;
  RebuildIndex();
  return change;
}

const ReplicaRecord* ReplicaDirectory::Find(std::string_view id) const {
  const auto found = records_.find(id);
  return found == records_.end() ? nullptr : &found->second;
}

const std::vector<const ReplicaRecord*>& ReplicaDirectory::Ready(proto::BackendKind kind,
                                                                 const std::string& backend) const {
  static const std::vector<const ReplicaRecord*> none;
  const auto found = ready_.find(BackendKey(kind, backend));
  return found == ready_.end() ? none : found->second;
}

void ReplicaDirectory::SelectLongPromptReplicas(const std::vector<const ReplicaRecord*>& ready) {
  std::map<std::string_view, std::vector<std::pair<std::uint64_t, const ReplicaRecord*>>> zones;
  for (const ReplicaRecord* replica : ready) {
    const std::uint64_t weight = Checksum(kLongPromptsKey, Checksum(replica->id));
    zones[replica->zone].emplace_back(weight, replica);
  }
  for (auto& [zone, replicas] : zones) {
    std::sort(replicas.begin(), replicas.end(), std::greater<>());
    replicas.resize(std::max<std::size_t>(1, replicas.size() / kReplicasPerLongPromptReplica));
    for (const auto& [weight, replica] : replicas) {
      long_prompt_replicas_.insert(replica->id);
    }
  }
}

void ReplicaDirectory::RebuildIndex() {
  ready_.clear();
  long_prompt_replicas_.clear();
  for (const auto& [id, record] : records_) {
    if (record.ready) {
      ready_[BackendKey(record.kind, record.backend)].push_back(&record);
    }
  }
  for (const auto& [backend, ready] : ready_) {
    SelectLongPromptReplicas(ready);
  }
}

}  // namespace cloverbank
