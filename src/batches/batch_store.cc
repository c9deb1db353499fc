#include "batches/batch_store.h"

#include <algorithm>

#include "batches/list_cursor.h"
#include "routes/route_reference.h"

namespace cloverbank {
namespace {

Status MakeCorruptStatus(const std::string& problem, const std::string& batch_id) {
  return {StatusCode::kCorrupt, problem + " (batch " + batch_id + ")"};
}

std::size_t PageLimit(std::uint32_t requested) {
  return requested == 0 ? kDefaultPageEntries : std::min(requested, kMaxPageEntries);
}

/// Whether the batch has a path but, from an older build, no quota key.
bool CountsByPath(const StoredBatch& batch) {
  return batch.accepted.quota_key().empty() && IsByPath(batch.route);
}

/// @param position the result's position in the list, from 1.
proto::ItemResult MakeListedResult(const StoredBatch& batch, const StoredResult& result,
                                   std::uint64_t position) {
  proto::ItemResult listed;
  listed.set_position(position);
  listed.set_custom_id(batch.items[result.item_index].custom_id());
  listed.set_item_index(result.item_index);
  listed.set_outcome(result.outcome);
  listed.set_output(result.output);
  listed.set_error(result.error);
  return listed;
}

}  // namespace

Status BatchStore::Apply(proto::LogEntry entry) {
  if (entry.has_partition_watermark()) {
    next_sequence_ =
        std::max(next_sequence_, PartitionSequence(entry.partition_watermark().next_sequence()));
    return Status::Ok();
  }
  const PartitionSequence sequence(entry.sequence());
  if (sequence < next_sequence_) {
    return Status::Ok();
  }
  Status status = ApplyPayload(entry);
  if (status.ok()) {
    next_sequence_ = sequence.Next();
  }
  return status;
}

Status BatchStore::ApplyPayload(proto::LogEntry& entry) {
  switch (entry.payload_case()) {
    case proto::LogEntry::kBatchItems:
      return ApplyItems(*entry.mutable_batch_items());
    case proto::LogEntry::kBatchAccepted:
      return ApplyAccepted(*entry.mutable_batch_accepted(), PartitionSequence(entry.sequence()));
    case proto::LogEntry::kItemStarted:
      return ApplyStarted(entry.item_started());
    case proto::LogEntry::kItemFinished:
      return ApplyFinished(*entry.mutable_item_finished());
    case proto::LogEntry::kBatchCancelled:
      ApplyCancelled(entry.batch_cancelled());
      return Status::Ok();
    case proto::LogEntry::kBatchCancellationCompleted:
      ApplyCancellationCompleted(entry.batch_cancellation_completed());
      return Status::Ok();
    case proto::LogEntry::kBatchRemoved:
      ApplyRemoved(entry.batch_removed().batch_id());
      return Status::Ok();
    default:
      return MakeCorruptStatus("an entry with payload type " +
                                   std::to_string(static_cast<int>(entry.payload_case())) +
                                   " does not belong to a partition",
                               "");
  }
}

Status BatchStore::ApplyItems(proto::BatchItems& items) {
  std::vector<proto::BatchItem>& logged_items = unaccepted_[items.batch_id()];
  if (items.first_index() != logged_items.size()) {
    return MakeCorruptStatus("items begin at index " + std::to_string(items.first_index()) +
                                 ", expected " + std::to_string(logged_items.size()),
                             items.batch_id());
  }
  for (proto::BatchItem& item : *items.mutable_items()) {
    logged_items.push_back(std::move(item));
  }
  return Status::Ok();
}

Status BatchStore::ApplyAccepted(proto::BatchAccepted& accepted, PartitionSequence sequence) {
  const auto logged_items = unaccepted_.find(accepted.batch_id());
  const std::size_t item_count =
      logged_items == unaccepted_.end() ? 0 : logged_items->second.size();
  if (item_count != accepted.item_count() || by_id_.contains(accepted.batch_id())) {
    return MakeCorruptStatus("batch is accepted with " + std::to_string(accepted.item_count()) +
                                 " items, but " + std::to_string(item_count) +
                                 " are logged, or it was accepted before",
                             accepted.batch_id());
  }
  Insert(MakeBatch(accepted, sequence));
  return Status::Ok();
}

std::unique_ptr<StoredBatch> BatchStore::MakeBatch(proto::BatchAccepted& accepted,
                                                   PartitionSequence sequence) {
  auto batch = std::make_unique<StoredBatch>();
  batch->accepted = std::move(accepted);
  batch->position = sequence;
  const auto logged_items = unaccepted_.find(batch->accepted.batch_id());
  if (logged_items != unaccepted_.end()) {
    batch->items = std::move(logged_items->second);
    unaccepted_.erase(logged_items);
  }
  batch->items.shrink_to_fit();
  batch->route = batch->accepted.has_route_reference()
                     ? batch->accepted.route_reference()
                     : DeriveReference(batch->accepted.tenant(), batch->accepted.route(),
                                       batch->items.empty() ? nullptr : batch->items.data());
  batch->phases.assign(batch->items.size(), ItemPhase::kWaiting);
  for (const proto::BatchItem& item : batch->items) {
    batch->open_tokens += item.tokens();
  }
  return batch;
}

void BatchStore::Insert(std::unique_ptr<StoredBatch> batch) {
  Tenant& tenant = tenants_[batch->accepted.tenant()];
  tenant.by_position.emplace(batch->position, batch.get());
  if (!batch->accepted.idempotency_key().empty()) {
    tenant.by_key.emplace(batch->accepted.idempotency_key(), batch.get());
  }
  if (!batch->accepted.client_batch_id().empty()) {
    tenant.by_client_id.emplace(batch->accepted.client_batch_id(), batch.get());
  }
  tenant.open_items += batch->items.size();
  tenant.open_tokens[batch->quota_key()] += batch->open_tokens;
  if (CountsByPath(*batch)) {
    tenant.open_tokens_by_path[batch->route.path()] += batch->open_tokens;
  }
  open_items_ += batch->items.size();
  by_id_.emplace(batch->accepted.batch_id(), batch.get());
  const PartitionSequence position = batch->position;
  batches_.emplace(position, std::move(batch));
}

Status BatchStore::ApplyStarted(const proto::ItemStarted& started) {
  StoredBatch* batch = FindMutable(started.batch_id());
  if (batch == nullptr || started.item_index() >= batch->items.size()) {
    return MakeCorruptStatus(
        "started item " + std::to_string(started.item_index()) + " does not exist",
        started.batch_id());
  }
  ItemPhase& phase = batch->phases[started.item_index()];
  if (phase == ItemPhase::kWaiting) {
    phase = ItemPhase::kStarted;
  }
  return Status::Ok();
}

Status BatchStore::ApplyFinished(proto::ItemFinished& finished) {
  StoredBatch* batch = FindMutable(finished.batch_id());
  if (batch == nullptr || finished.item_index() >= batch->items.size()) {
    return MakeCorruptStatus(
        "finished item " + std::to_string(finished.item_index()) + " does not exist",
        finished.batch_id());
  }
  if (batch->phases[finished.item_index()] == ItemPhase::kFinished) {
    return Status::Ok();  // The first result wins.
  }
  StoredResult result;
  result.item_index = static_cast<std::uint32_t>(finished.item_index());
  result.outcome = finished.outcome();
  result.output = std::move(*finished.mutable_output());
  result.error = std::move(*finished.mutable_error());
  AddResult(*batch, std::move(result), finished.finished_at_ms());
  return Status::Ok();
}

void BatchStore::AddResult(StoredBatch& batch, StoredResult result, std::int64_t finished_at_ms) {
  batch.phases[result.item_index] = ItemPhase::kFinished;
  switch (result.outcome) {
    case proto::ITEM_OUTCOME_SUCCEEDED:
      ++batch.succeeded;
      break;
    case proto::ITEM_OUTCOME_FAILED:
      ++batch.failed;
      break;
    case proto::ITEM_OUTCOME_CANCELLED:
      ++batch.cancelled_items;
      break;
    default:
      ++batch.unknown;
  }
  proto::BatchItem& item = batch.items[result.item_index];
  ReleaseTokens(batch, item.tokens());
  item.clear_forwarded();  // Large, and not needed any more.
  batch.results.push_back(std::move(result));
  --open_items_;
  --tenants_[batch.accepted.tenant()].open_items;
  if (batch.AllFinished()) {
    batch.finished_at_ms = finished_at_ms;
  }
}

void BatchStore::ReleaseTokens(StoredBatch& batch, std::uint64_t tokens) {
  const std::uint64_t released = std::min(batch.open_tokens, tokens);
  batch.open_tokens -= released;
  Tenant& tenant = tenants_[batch.accepted.tenant()];
  tenant.open_tokens[batch.quota_key()] -= released;
  if (CountsByPath(batch)) {
    tenant.open_tokens_by_path[batch.route.path()] -= released;
  }
}

void BatchStore::ApplyCancelled(const proto::BatchCancelled& cancelled) {
  StoredBatch* batch = FindMutable(cancelled.batch_id());
  if (batch != nullptr && !batch->AllFinished()) {
    batch->cancelled = true;
    ReleaseTokens(*batch, batch->open_tokens);
  }
}

void BatchStore::ApplyCancellationCompleted(const proto::BatchCancellationCompleted& completed) {
  StoredBatch* batch = FindMutable(completed.batch_id());
  if (batch == nullptr || !batch->cancelled) {
    return;
  }
  for (std::uint32_t index = 0; index < batch->items.size(); ++index) {
    if (batch->phases[index] != ItemPhase::kFinished) {
      AddResult(*batch, {index, proto::ITEM_OUTCOME_CANCELLED, {}, {}},
                completed.completed_at_ms());
    }
  }
}

void BatchStore::ApplyRemoved(const std::string& batch_id) {
  StoredBatch* batch = FindMutable(batch_id);
  if (batch == nullptr) {
    return;
  }
  const auto found = tenants_.find(batch->accepted.tenant());
  Tenant& tenant = found->second;
  ReleaseTokens(*batch, batch->open_tokens);
  open_items_ -= batch->open_items();
  tenant.open_items -= batch->open_items();
  tenant.by_key.erase(batch->accepted.idempotency_key());
  tenant.by_client_id.erase(batch->accepted.client_batch_id());
  tenant.by_position.erase(batch->position);
  if (tenant.by_position.empty()) {
    tenants_.erase(found);
  }
  by_id_.erase(batch_id);
  batches_.erase(batch->position);
}

void BatchStore::DropUnaccepted(const std::string& batch_id) { unaccepted_.erase(batch_id); }

StoredBatch* BatchStore::FindMutable(const std::string& batch_id) {
  const auto found = by_id_.find(batch_id);
  return found == by_id_.end() ? nullptr : found->second;
}

const StoredBatch* BatchStore::Find(const std::string& batch_id) const {
  const auto found = by_id_.find(batch_id);
  return found == by_id_.end() ? nullptr : found->second;
}

const StoredBatch* BatchStore::FindOfTenant(const std::string& tenant,
                                            const std::string& id) const {
  const StoredBatch* batch = Find(id);
  if (tenant.empty() || (batch != nullptr && batch->accepted.tenant() == tenant)) {
    return batch;
  }
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end()) {
    return nullptr;
  }
  const auto named = found->second.by_client_id.find(id);
  return named == found->second.by_client_id.end() ? nullptr : named->second;
}

const StoredBatch* BatchStore::FindByKey(const std::string& tenant,
                                         const std::string& idempotency_key) const {
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end()) {
    return nullptr;
  }
  const auto batch = found->second.by_key.find(idempotency_key);
  return batch == found->second.by_key.end() ? nullptr : batch->second;
}

Result<proto::BatchList> BatchStore::ListBatches(const std::string& tenant,
                                                 const std::string& cursor,
                                                 std::uint32_t limit) const {
  Result<std::uint64_t> after = ParseCursor(cursor);
  if (!after.ok()) {
    return after.status();
  }
  proto::BatchList list;
  list.set_next_cursor(FormatCursor(*after));
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end()) {
    return list;
  }
  const auto& by_position = found->second.by_position;
  auto next = by_position.upper_bound(PartitionSequence(*after));
  for (std::size_t remaining = PageLimit(limit); remaining > 0 && next != by_position.end();
       --remaining, ++next) {
    *list.add_batches() = next->second->ToStatus();
    list.set_next_cursor(FormatCursor(next->first.value()));
  }
  list.set_more(next != by_position.end());
  return list;
}

Result<proto::ResultList> BatchStore::ListResults(const std::string& batch_id,
                                                  const std::string& cursor,
                                                  std::uint32_t limit) const {
  const StoredBatch* batch = Find(batch_id);
  if (batch == nullptr) {
    return Status(StatusCode::kNotFound, "there is no batch \"" + batch_id + "\"");
  }
  Result<std::uint64_t> after = ParseCursor(cursor);
  if (!after.ok()) {
    return after.status();
  }
  proto::ResultList list;
  list.set_state(batch->state());
  list.set_total(batch->items.size());
  std::uint64_t position = *after;
  std::size_t bytes = 0;
  for (std::size_t remaining = PageLimit(limit);
       remaining > 0 && position < batch->results.size() && bytes < kMaxPageBytes; --remaining) {
    const StoredResult& result = batch->results[position];
    ++position;
    *list.add_results() = MakeListedResult(*batch, result, position);
    bytes += result.output.size() + result.error.size();
  }
  list.set_next_cursor(FormatCursor(position));
  list.set_more(position < batch->results.size());
  return list;
}

std::uint64_t BatchStore::CountOpenItems(const std::string& tenant) const {
  const auto found = tenants_.find(tenant);
  return found == tenants_.end() ? 0 : found->second.open_items;
}

std::uint64_t BatchStore::CountOpenTokens(const std::string& tenant,
                                          const std::string& quota_key) const {
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end()) {
    return 0;
  }
  const auto counted = found->second.open_tokens.find(quota_key);
  std::uint64_t tokens = counted == found->second.open_tokens.end() ? 0 : counted->second;
  if (quota_key.starts_with('/')) {
    for (const auto& [path, open] : found->second.open_tokens_by_path) {
      tokens += path.starts_with(quota_key) ? open : 0;
    }
  }
  return tokens;
}

Result<proto::BatchItem> BatchStore::FindOpenItem(const std::string& batch_id,
                                                  const std::string& custom_id) const {
  const StoredBatch* batch = Find(batch_id);
  for (std::size_t index = 0; batch != nullptr && index < batch->items.size(); ++index) {
    if (batch->items[index].custom_id() == custom_id &&
        batch->phases[index] != ItemPhase::kFinished) {
      return batch->items[index];
    }
  }
  return Status(StatusCode::kNotFound,
                "batch \"" + batch_id + "\" has no item \"" + custom_id + "\" without a result");
}

std::vector<std::string> BatchStore::FindBatchesFinishedBy(std::int64_t wall_ms) const {
  std::vector<std::string> ids;
  for (const auto& [position, batch] : batches_) {
    if (batch->AllFinished() && batch->finished_at_ms <= wall_ms) {
      ids.push_back(batch->accepted.batch_id());
    }
  }
  return ids;
}

void BatchStore::ForEach(const std::function<void(const StoredBatch&)>& visit) const {
  for (const auto& [position, batch] : batches_) {
    visit(*batch);
  }
}

}  // namespace cloverbank
