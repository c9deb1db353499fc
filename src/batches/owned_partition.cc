#include "batches/owned_partition.h"

#include <algorithm>

#include "base/logging.h"
#include "control_client/batch_partitions.h"

namespace cloverbank {

proto::LogEntry MakePartitionWatermark(PartitionId partition, PartitionSequence next,
                                       bool discard_earlier) {
  proto::LogEntry entry;
  entry.set_partition_tag(PartitionTag(partition));
  entry.mutable_partition_watermark()->set_next_sequence(next.value());
  entry.mutable_partition_watermark()->set_discard_earlier(discard_earlier);
  return entry;
}

Status MakeNotOwnerStatus(PartitionId partition) {
  return {StatusCode::kConflict, "partition " + partition.ToString() + " is not owned by this node",
          std::string(kNotOwnerDetail)};
}

OwnedPartition::OwnedPartition(PartitionId id, std::unique_ptr<BatchStore> store, SegmentLog& log)
    : id_(id), store_(std::move(store)), log_(log), next_sequence_(store_->next_sequence()) {}

void OwnedPartition::AppendEntries(std::vector<proto::LogEntry> entries, Done done) {
  for (proto::LogEntry& entry : entries) {
    entry.set_partition_tag(PartitionTag(id_));
    entry.set_sequence(next_sequence_.value());
    next_sequence_ = next_sequence_.Next();
  }
  auto logged_entries = std::make_shared<std::vector<proto::LogEntry>>(entries);
  log_.Append(std::move(entries), [weak = weak_from_this(), logged_entries,
                                   done = std::move(done)](const Status& status) {
    const auto self = weak.lock();
    if (self == nullptr || !self->active_) {
      done(Status(StatusCode::kUnknownOutcome,
                  "this node lost the partition while the entries were being logged"));
      return;
    }
    for (std::size_t i = 0; status.ok() && i < logged_entries->size(); ++i) {
      Status result = self->store_->Apply(std::move((*logged_entries)[i]));
      if (!result.ok()) {
        Log(LogLevel::kError, "entry_apply_failed", {{"status", result.ToString()}});
      }
    }
    done(status);
  });
}

void OwnedPartition::ReserveItems(const std::string& tenant, std::uint64_t count) {
  reserved_items_[tenant] += count;
}

void OwnedPartition::ReleaseItems(const std::string& tenant, std::uint64_t count) {
  const auto found = reserved_items_.find(tenant);
  found->second -= count;
  if (found->second == 0) {
    reserved_items_.erase(found);
  }
}

std::uint64_t OwnedPartition::CountOpenItems(const std::string& tenant) const {
  const auto reserved = reserved_items_.find(tenant);
  return store_->CountOpenItems(tenant) +
         (reserved == reserved_items_.end() ? 0 : reserved->second);
}

void OwnedPartition::ReserveTokens(const std::string& tenant, const std::string& route,
                                   std::uint64_t count) {
  if (count > 0) {
    reserved_tokens_[{tenant, route}] += count;
  }
}

void OwnedPartition::ReleaseTokens(const std::string& tenant, const std::string& route,
                                   std::uint64_t count) {
  const auto found = reserved_tokens_.find({tenant, route});
  if (found == reserved_tokens_.end()) {
    return;
  }
  found->second -= std::min(found->second, count);
  if (found->second == 0) {
    reserved_tokens_.erase(found);
  }
}

std::uint64_t OwnedPartition::CountOpenTokens(const std::string& tenant,
                                              const std::string& route) const {
  const auto reserved = reserved_tokens_.find({tenant, route});
  const std::uint64_t reserved_count = reserved == reserved_tokens_.end() ? 0 : reserved->second;
  return store_->CountOpenTokens(tenant, route) + reserved_count;
}

proto::LogEntry OwnedPartition::MakeWatermark() const {
  return MakePartitionWatermark(id_, next_sequence_, false);
}

}  // namespace cloverbank
