#pragma once
/// @file
/// Results of operations, kept so that a resent transaction returns its first result (exactly-once
/// semantics). Part of `ControlState`; deterministic. Bounded: beyond `kMaximumRecords` records or
/// `kMaximumRecordBytes` bytes the oldest are dropped. A resend after that is a new transaction,
/// which its expected version refuses if the first one was applied.

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

  /// @return the record of the operation, or nullptr.
  const proto::OperationRecord* Find(const std::string& operation_id) const;
  /// Adds the result of a new operation.
  void Add(proto::OperationRecord record);
  /// Sets the time at which versions up to `version` came into force in their records.
  void RecordInForce(ConfigurationVersion version, std::int64_t wall_ms);
  std::size_t size() const { return order_.size(); }

  void Save(proto::ControlStateSnapshot* snapshot) const;
  void Load(const proto::ControlStateSnapshot& snapshot);

 private:
  struct PendingInForce {
    ConfigurationVersion version;
    std::string operation_id;
  };

  void Trim();

  std::unordered_map<std::string, proto::OperationRecord> records_;
  std::deque<std::string> order_;                // Oldest first.
  std::deque<PendingInForce> pending_in_force_;  // Applied, not yet in force; by rising version.
  std::size_t bytes_ = 0;
};

}  // namespace cloverbank
