#pragma once
/// @file
/// The replicated routing configuration: transactions on it, their results, their history and the
/// updates that bring a node from one version to the current one. Part of `ControlState`;
/// deterministic. The configuration starts empty at version 1; a node without one has version 0.
///
/// History and deltas are bounded by `kMaximumHistoryRecords` records and `kMaximumHistoryBytes`
/// bytes; a node further behind is sent the full configuration.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/status.h"
#include "control_state/configuration_objects.h"
#include "control_state/operation_records.h"
#include "proto/configuration.pb.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

class ConfigurationStore {
 public:
  static constexpr std::size_t kMaximumHistoryRecords = 1'000;
  static constexpr std::size_t kMaximumHistoryBytes = 16U << 20U;
  /// Versions whose deltas are cached.
  static constexpr std::size_t kMaximumCachedDeltas = 64;

  ConfigurationStore();

  /// Applies the transaction or refuses it as a unit, and records the result under its operation
  /// id. A repeated operation id returns the first result; one reused for another content is
  /// refused and the record stays. Dry runs and inquiries change nothing.
  /// @param wall_ms time of application, milliseconds since 1970.
  proto::TransactionResult Apply(const proto::ConfigurationTransaction& transaction,
                                 std::int64_t wall_ms);
  /// @return the result that `Apply` would return now (dry run).
  proto::TransactionResult Validate(const proto::ConfigurationTransaction& transaction) const;
  /// Records that no gateway can serve a version below `version` any more.
  /// @return kInvalidArgument if the version is not applied yet.
  Status RecordInForce(ConfigurationVersion version, std::int64_t wall_ms);

  ConfigurationVersion version() const { return version_; }
  ConfigurationVersion in_force_version() const { return in_force_; }
  /// The operator's own number of the current configuration; 0 if none was given.
  std::uint64_t label() const { return label_; }
  const proto::OperationRecord* FindOperation(const std::string& operation_id) const {
    return operations_.Find(operation_id);
  }
  const ConfigurationObjects& objects() const { return objects_; }

  /// @return the full configuration, document included.
  const proto::RoutingConfiguration& FullConfiguration() const;
  /// @return the update for a node at version `known`: the changes since, or the full configuration
  /// if that is smaller or the history does not reach back. The source of the operator's document
  /// is left out: nodes use only what was parsed from it.
  const proto::ConfigurationUpdate& UpdateFrom(ConfigurationVersion known) const;
  /// @return the newest `count` history records, oldest first.
  std::vector<proto::HistoryRecord> History(std::size_t count) const;

  void Save(proto::ControlStateSnapshot* snapshot) const;
  void Load(const proto::ControlStateSnapshot& snapshot);

 private:
  /// @return the answer to give for an operation id that was used before; none for a new one.
  std::optional<proto::TransactionResult> FindRecordedResult(
      const proto::ConfigurationTransaction& transaction, std::uint64_t checksum) const;
  void RecordResult(const proto::TransactionResult& result, std::uint64_t checksum);
  proto::TransactionResult Evaluate(const proto::ConfigurationTransaction& transaction) const;
  proto::TransactionResult MakeRefusal(const proto::ConfigurationTransaction& transaction,
                                       proto::TransactionOutcome outcome,
                                       std::vector<std::string> problems) const;
  /// @return the refusal if the operator's labels do not fit the current one; else none.
  std::optional<proto::TransactionResult> EvaluateLabels(
      const proto::ConfigurationTransaction& transaction) const;
  void Commit(const proto::ConfigurationTransaction& transaction, std::int64_t wall_ms);
  /// @return the transaction with only the changes that have an effect; for one that replaces the
  /// traffic configuration, with the removals that follow from it.
  proto::ConfigurationTransaction Normalize(
      const proto::ConfigurationTransaction& transaction) const;
  /// Adds to `transaction` the removal of each route and backend that is not `named`.
  void RemoveUnnamedTraffic(const std::set<ConfigurationObjectKey>& named,
                            proto::ConfigurationTransaction* transaction) const;
  bool ChangesNothing(const proto::ConfigurationChange& change) const;
  void AddHistory(proto::HistoryRecord record);
  /// @return none if the history does not reach back or the full configuration is no larger.
  std::optional<proto::ConfigurationUpdate> MakeDelta(ConfigurationVersion known) const;
  bool HistoryReachesBackTo(ConfigurationVersion known) const;
  /// @return false if the changes are no smaller than the full configuration.
  bool AddChangesSince(ConfigurationVersion known, proto::ConfigurationUpdate* update) const;
  const proto::ConfigurationUpdate& FullUpdate() const;

  ConfigurationVersion version_{1};
  ConfigurationVersion in_force_{1};
  std::uint64_t label_ = 0;
  ConfigurationObjects objects_;
  OperationRecords operations_;
  std::deque<proto::HistoryRecord> history_;  // Oldest first, versions without gaps.
  std::size_t history_bytes_ = 0;

  // Caches derived from the above, dropped at each change.
  mutable std::optional<proto::RoutingConfiguration> full_configuration_;
  mutable std::optional<proto::ConfigurationUpdate> full_update_;
  mutable std::map<ConfigurationVersion, std::optional<proto::ConfigurationUpdate>> deltas_;
};

}  // namespace cloverbank
