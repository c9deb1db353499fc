#pragma once
/// @file
/// A partition that this queue node owns, with its batches. They change in one way only:
/// `AppendEntries` logs entries under the partition's next sequences, and applies them once they
/// are durable.
///
/// Threads: the owner's event loop only. Created by `std::make_shared`.

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "batches/batch_store.h"
#include "log_writer/segment_log.h"

namespace cloverbank {

/// A tenant and one of the routes that it uses.
struct TenantRoute {
  std::string tenant;
  std::string route;
  // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the defaulted comparison.
  auto operator<=>(const TenantRoute&) const = default;
};

class OwnedPartition : public std::enable_shared_from_this<OwnedPartition> {
 public:
  using Done = std::function<void(Status)>;

  OwnedPartition(PartitionId id, std::unique_ptr<BatchStore> store, SegmentLog& log);

  PartitionId id() const { return id_; }
  const BatchStore& store() const { return *store_; }

  /// Logs the entries together. `done` runs once, later: with OK after they were applied, with the
  /// errors of `SegmentLog::Append`, and with kUnknownOutcome also if the partition was deactivated
  /// meanwhile.
  void AppendEntries(std::vector<proto::LogEntry> entries, Done done);

  /// Drops the logged items of a batch that was rejected afterwards.
  void DropUnaccepted(const std::string& batch_id) { store_->DropUnaccepted(batch_id); }

  /// Reserve and release items of submissions that are being logged. Reserved items count towards
  /// the tenant's limit, so `CountOpenItems` includes them.
  void ReserveItems(const std::string& tenant, std::uint64_t count);
  void ReleaseItems(const std::string& tenant, std::uint64_t count);
  std::uint64_t CountOpenItems(const std::string& tenant) const;
  /// The same for tokens, which count towards the limit of a route.
  void ReserveTokens(const std::string& tenant, const std::string& route, std::uint64_t count);
  void ReleaseTokens(const std::string& tenant, const std::string& route, std::uint64_t count);
  std::uint64_t CountOpenTokens(const std::string& tenant, const std::string& route) const;

  /// Records that this node no longer owns the partition: pending `AppendEntries` calls fail with
  /// kUnknownOutcome.
  void Deactivate() { active_ = false; }

  /// @return the PartitionWatermark entry with the partition's next sequence, for the start of a
  /// segment.
  proto::LogEntry MakeWatermark() const;

 private:
  PartitionId id_;
  std::unique_ptr<BatchStore> store_;
  SegmentLog& log_;
  PartitionSequence next_sequence_;  ///< Of the next entry; earlier ones may not be durable yet.
  std::map<std::string, std::uint64_t> reserved_items_;
  std::map<TenantRoute, std::uint64_t> reserved_tokens_;
  bool active_ = true;
};

/// @return the `partition_tag` of the partition's log entries. 0 stands for no partition.
inline std::uint64_t PartitionTag(PartitionId partition) { return partition.value() + 1; }

/// @return the error for a request for a partition that this node does not own: kConflict with the
/// detail `kNotOwnerDetail`.
Status MakeNotOwnerStatus(PartitionId partition);

/// @return a PartitionWatermark entry.
/// @param next every later entry of the partition has at least this sequence.
/// @param discard_earlier whether the partition's entries before it in the log are void.
proto::LogEntry MakePartitionWatermark(PartitionId partition, PartitionSequence next,
                                       bool discard_earlier);

}  // namespace cloverbank
