#include "batches/partition_replay.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>

#include "log_writer/segment_usage.h"

namespace cloverbank {
namespace {

struct ItemKey {
  std::string batch_id;
  std::uint64_t index = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the defaulted comparison.
  auto operator<=>(const ItemKey&) const = default;
};

}  // namespace

void PartitionReplay::Add(proto::LogEntry entry) {
  if (entry.has_partition_watermark()) {
    const proto::PartitionWatermark& watermark = entry.partition_watermark();
    if (watermark.discard_earlier()) {
      entries_.clear();
      next_sequence_ = PartitionSequence(1);
    }
    next_sequence_ = std::max(next_sequence_, PartitionSequence(watermark.next_sequence()));
    return;
  }
  const PartitionSequence sequence(entry.sequence());
  next_sequence_ = std::max(next_sequence_, sequence.Next());
  entries_.emplace(sequence, std::move(entry));
}

std::vector<proto::LogEntry> PartitionReplay::TakeEntries() {
  std::unordered_set<std::string> accepted;
  for (const auto& [sequence, entry] : entries_) {
    if (entry.has_batch_accepted()) {
      accepted.insert(entry.batch_accepted().batch_id());
    }
  }
  for (const auto& [sequence, entry] : entries_) {
    if (entry.has_batch_removed()) {
      accepted.erase(entry.batch_removed().batch_id());
    }
  }
  ClearRequestsOfFinishedItems();
  std::vector<proto::LogEntry> live;
  for (auto& [sequence, entry] : entries_) {
    if (accepted.contains(BatchIdOf(entry))) {
      live.push_back(std::move(entry));
    }
  }
  entries_.clear();
  return live;
}

void PartitionReplay::ClearRequestsOfFinishedItems() {
  std::set<ItemKey> finished;
  for (const auto& [sequence, entry] : entries_) {
    if (entry.has_item_finished()) {
      finished.insert({entry.item_finished().batch_id(), entry.item_finished().item_index()});
    }
  }
  for (auto& [sequence, entry] : entries_) {
    if (!entry.has_batch_items()) {
      continue;
    }
    proto::BatchItems& items = *entry.mutable_batch_items();
    std::uint64_t index = items.first_index();
    for (proto::BatchItem& item : *items.mutable_items()) {
      if (finished.contains({items.batch_id(), index})) {
        item.clear_forwarded();
      }
      ++index;
    }
  }
}

}  // namespace cloverbank
