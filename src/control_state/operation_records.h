#pragma once
/// @file
/// Keeps the results of operations, so that a transaction that is sent again gets its first result
/// (exactly-once semantics). Part of `ControlState`; deterministic. Beyond `kMaximumRecords`
/// records or `kMaximumRecordBytes` bytes the oldest records are dropped. A transaction that is
/// sent again after that counts as a new one; if it was applied the first time, it is refused
/// because its expected version is no longer the current one.

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "base/ids.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

class OperationRecords {
 public:
  static constexpr std::size_t kMaximumRecords = 10'000;
  static constexpr std::size_t kMaximumRecordBytes = 32U << 20U;

  /// @return the record of the operation, or nullptr. Valid until the next change.
  const proto::OperationRecord* Find(const std::string& operation_id) const;
  /// Adds the result of an operation that has no record yet.
  void Add(proto::OperationRecord record);
  /// Sets `wall_ms` (milliseconds since 1970) as the in-force time in the records of the applied
  /// versions up to `version` that have none yet.
  void RecordInForce(ConfigurationVersion version, std::int64_t wall_ms);
  std::size_t size() const { return order_.size(); }

  void Save(proto::ControlStateSnapshot* snapshot) const;
  void Load(const proto::ControlStateSnapshot& snapshot);

 private:
  struct PendingInForce {
    ConfigurationVersion version;
    std::string operation_id;
  };

  /// Drops the oldest records beyond the bounds, but never the newest one.
  void Trim();

  std::unordered_map<std::string, proto::OperationRecord> records_;
  std::deque<std::string> order_;                // Oldest first.
  std::deque<PendingInForce> pending_in_force_;  // Applied, not yet in force; ascending versions.
  std::size_t bytes_ = 0;
};

}  // namespace cloverbank
