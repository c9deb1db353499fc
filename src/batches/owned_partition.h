#pragma once
/// @file
/// A partition that this queue node owns: its batches, and the one way to change them, which is to
/// log entries under the partition's next sequences and to apply them once they are durable.
///
/// Threads: the owner's event loop only. Made by `std::make_shared`.

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

/// A route as used by one tenant.
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

  /// Logs the entries together. `done` runs later: OK after they were applied, errors of
  /// `SegmentLog::Append`, kUnknownOutcome also if the partition was deactivated meanwhile.
  void Log(std::vector<proto::LogEntry> entries, Done done);

  /// Drops the logged items of a batch that was then rejected.
  void DropUnaccepted(const std::string& batch_id) { store_->DropUnaccepted(batch_id); }

  /// Items of submissions that are being logged; they count for the tenant's limit.
  void ReserveItems(const std::string& tenant, std::uint64_t count);
  void ReleaseItems(const std::string& tenant, std::uint64_t count);
  std::uint64_t CountOpenItems(const std::string& tenant) const;
  /// The same for tokens, which count for the limit of a route.
  void ReserveTokens(const std::string& tenant, const std::string& route, std::uint64_t count);
  void ReleaseTokens(const std::string& tenant, const std::string& route, std::uint64_t count);
  std::uint64_t CountOpenTokens(const std::string& tenant, const std::string& route) const;

  /// The node no longer owns it: pending `Log` calls fail with kUnknownOutcome.
  void Deactivate() { active_ = false; }

  /// @return the watermark of the partition, for the start of a segment.
  proto::LogEntry Watermark() const;

 private:
  PartitionId id_;
  std::unique_ptr<BatchStore> store_;
  SegmentLog& log_;
  PartitionSequence next_sequence_;  ///< Of the next entry; earlier ones may still be being logged.
  std::map<std::string, std::uint64_t> reserved_items_;
  std::map<TenantRoute, std::uint64_t> reserved_tokens_;
  bool active_ = true;
};

/// Stored in an entry's `partition_tag`.
inline std::uint64_t PartitionTag(PartitionId partition) { return partition.value() + 1; }

/// @return the kConflict (detail `kNotOwnerDetail`) of a request for a partition that this node
/// does not own.
Status MakeNotOwnerStatus(PartitionId partition);

/// @return a PartitionWatermark entry.
/// @param discard_earlier whether entries before it in the log are void.
proto::LogEntry MakePartitionWatermark(PartitionId partition, PartitionSequence next,
                                       bool discard_earlier);

}  // namespace cloverbank
