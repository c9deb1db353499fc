#pragma once
/// @file
/// The batches of one partition: a pure state machine over the partition's log entries. Batches
/// change only by `Apply`, which depends on nothing but the entries, so the same entries always
/// give the same state, also after a recovery. Only durable entries are applied, in order of
/// sequence; therefore a list never shows what could still be lost, and its positions never change.
///
/// Threads: none of its own.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/status.h"
#include "batches/stored_batch.h"
#include "proto/batch.pb.h"
#include "proto/log.pb.h"

namespace cloverbank {

/// Number of entries in a page if the request sets no limit, and the largest number.
inline constexpr std::uint32_t kDefaultPageEntries = 100;
inline constexpr std::uint32_t kMaxPageEntries = 1000;
/// A page takes no further results once their outputs and errors have this many bytes together.
inline constexpr std::size_t kMaxPageBytes = 1U << 20U;

class BatchStore {
 public:
  /// Applies one durable entry. Skips entries whose sequence was applied before, and second results
  /// of an item. @return kCorrupt for an entry that no correct log contains (state unchanged).
  Status Apply(proto::LogEntry entry);

  /// Drops the items of a batch whose BatchAccepted entry was never logged.
  void DropUnaccepted(const std::string& batch_id);

  /// @return nullptr if there is no such batch.
  const StoredBatch* Find(const std::string& batch_id) const;
  /// @return the batch that the tenant's client knows by `id`, or nullptr. An empty tenant: `Find`.
  const StoredBatch* FindOfTenant(const std::string& tenant, const std::string& id) const;
  /// @return the batch that was accepted under this idempotency key, or nullptr.
  const StoredBatch* FindByKey(const std::string& tenant, const std::string& idempotency_key) const;

  /// @return a page of the tenant's batches after `cursor` (empty: from the start), in the order in
  /// which they were accepted. A cursor at the end gives an empty page and can be used again later.
  /// kInvalidArgument for a cursor that no list returned.
  /// @param limit the number of batches; 0: `kDefaultPageEntries`; at most `kMaxPageEntries`.
  Result<proto::BatchList> ListBatches(const std::string& tenant, const std::string& cursor,
                                       std::uint32_t limit) const;
  /// @return a page of a batch's results after `cursor`, in the order in which they were logged.
  /// kNotFound if there is no such batch; kInvalidArgument and `limit` as for `ListBatches`.
  Result<proto::ResultList> ListResults(const std::string& batch_id, const std::string& cursor,
                                        std::uint32_t limit) const;

  /// @return the number of items without a result, of one tenant or (`open_items`) of all.
  std::uint64_t CountOpenItems(const std::string& tenant) const;
  std::uint64_t open_items() const { return open_items_; }
  /// @return the tokens of the tenant's items under one quota key that have no result. Items of
  /// cancelled batches do not count. A path prefix as the key also counts the batches without a
  /// quota key, from older builds, whose path it begins.
  std::uint64_t CountOpenTokens(const std::string& tenant, const std::string& quota_key) const;
  /// @return the item of the batch with this custom id; kNotFound if there is none without a
  /// result.
  Result<proto::BatchItem> FindOpenItem(const std::string& batch_id,
                                        const std::string& custom_id) const;
  /// @return the ids of batches that finished at or before `wall_ms` (wall clock, in milliseconds),
  /// in order of acceptance.
  std::vector<std::string> FindBatchesFinishedBy(std::int64_t wall_ms) const;
  /// Calls `visit` for every batch, in order of acceptance.
  void ForEach(const std::function<void(const StoredBatch&)>& visit) const;

  /// One more than the highest sequence applied or reserved by a PartitionWatermark.
  PartitionSequence next_sequence() const { return next_sequence_; }

 private:
  struct Tenant {
    std::map<PartitionSequence, StoredBatch*> by_position;
    std::unordered_map<std::string, StoredBatch*> by_key;
    /// Batches whose id is not the one that their client chose, by the latter.
    std::unordered_map<std::string, StoredBatch*> by_client_id;
    std::uint64_t open_items = 0;
    std::unordered_map<std::string, std::uint64_t> open_tokens;  ///< By quota key.
    /// The same tokens of batches from older builds, by the path of the batch.
    std::unordered_map<std::string, std::uint64_t> open_tokens_by_path;
  };

  Status ApplyPayload(proto::LogEntry& entry);
  Status ApplyItems(proto::BatchItems& items);
  Status ApplyAccepted(proto::BatchAccepted& accepted, PartitionSequence sequence);
  /// @return the batch with the items that were logged before it.
  std::unique_ptr<StoredBatch> MakeBatch(proto::BatchAccepted& accepted,
                                         PartitionSequence sequence);
  /// Adds the batch to all indexes and counts.
  void Insert(std::unique_ptr<StoredBatch> batch);
  Status ApplyStarted(const proto::ItemStarted& started);
  Status ApplyFinished(proto::ItemFinished& finished);
  void ApplyCancelled(const proto::BatchCancelled& cancelled);
  void ApplyCancellationCompleted(const proto::BatchCancellationCompleted& completed);
  void ApplyRemoved(const std::string& batch_id);
  /// Subtracts up to `tokens` from the open tokens of the batch and of its tenant.
  void ReleaseTokens(StoredBatch& batch, std::uint64_t tokens);
  void AddResult(StoredBatch& batch, StoredResult result, std::int64_t finished_at_ms);
  StoredBatch* FindMutable(const std::string& batch_id);

  std::map<PartitionSequence, std::unique_ptr<StoredBatch>> batches_;
  std::unordered_map<std::string, StoredBatch*> by_id_;
  std::unordered_map<std::string, Tenant> tenants_;
  /// Logged items of batches without a BatchAccepted entry so far, by batch id.
  std::unordered_map<std::string, std::vector<proto::BatchItem>> unaccepted_;
  std::uint64_t open_items_ = 0;
  PartitionSequence next_sequence_{1};
};

}  // namespace cloverbank
