#pragma once
/// @file
/// The replicated routing configuration: transactions on it, their answers, their history and the
/// updates that bring a node from one version to the current one. Part of `ControlState`;
/// deterministic. The configuration starts empty at version 1; 0 is "none held".
///
/// History and deltas are bounded by `kMaximumHistoryRecords` records and `kMaximumHistoryBytes`
/// bytes; a node further behind is sent the whole configuration.

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
  /// Versions whose deltas are kept ready at a time.
  static constexpr std::size_t kMaximumCachedDeltas = 64;

  ConfigurationStore();

  /// Takes the transaction whole or refuses it whole, and records the answer under its operation
  /// id. An operation id met before gets its first answer; one reused for another content is
  /// refused and the record stays. A dry run changes nothing; an inquiry never does.
  proto::TransactionResult Apply(const proto::ConfigurationTransaction& transaction,
                                 std::int64_t wall_ms);
  /// @return the answer the transaction would get now; changes nothing (dry run).
  proto::TransactionResult Validate(const proto::ConfigurationTransaction& transaction) const;
  /// Records that no gateway can serve by a version below `version` any more.
  Status RecordInForce(ConfigurationVersion version, std::int64_t wall_ms);

  ConfigurationVersion version() const { return version_; }
  ConfigurationVersion in_force_version() const { return in_force_; }
  /// The operator's own number of the current configuration; 0 if it has none.
  std::uint64_t label() const { return label_; }
  const proto::OperationRecord* FindOperation(const std::string& operation_id) const {
    return operations_.Find(operation_id);
  }
  const ConfigurationObjects& objects() const { return objects_; }

  /// @return the whole configuration.
  const proto::RoutingConfiguration& FullConfiguration() const;
  /// @return what a node that holds `held` needs: the changes since, or the whole configuration if
  /// that is smaller or the history does not reach back. The operator's document stays here: nodes
  /// act by what was read from it, and its size would be paid at every node for every change.
  const proto::ConfigurationUpdate& UpdateFrom(ConfigurationVersion known) const;
  /// @return the newest `count` history records, oldest first.
  std::vector<proto::HistoryRecord> History(std::size_t count) const;

  void Save(proto::ControlStateSnapshot* snapshot) const;
  void Load(const proto::ControlStateSnapshot& snapshot);

 private:
  /// @return the answer to give for an operation id that was used before; none for a new one.
  std::optional<proto::TransactionResult> FindRecordedAnswer(
      const proto::ConfigurationTransaction& transaction, std::uint64_t checksum) const;
  void RecordAnswer(const proto::TransactionResult& result, std::uint64_t checksum);
  proto::TransactionResult Evaluate(const proto::ConfigurationTransaction& transaction) const;
  proto::TransactionResult MakeRefusal(const proto::ConfigurationTransaction& transaction,
                                       proto::TransactionOutcome outcome,
                                       std::vector<std::string> problems) const;
  /// @return what is wrong with the operator's own numbers, if anything.
  std::optional<proto::TransactionResult> EvaluateLabels(
      const proto::ConfigurationTransaction& transaction) const;
  void Commit(const proto::ConfigurationTransaction& transaction, std::int64_t wall_ms);
  /// @return the transaction with just the changes that make a difference.
  proto::ConfigurationTransaction Normalize(
      const proto::ConfigurationTransaction& transaction) const;
  /// Adds to `transaction` the removal of each route and backend that is not `named`.
  void RemoveUnnamedTraffic(const std::set<ConfigurationObjectKey>& named,
                            proto::ConfigurationTransaction* transaction) const;
  bool ChangesNothing(const proto::ConfigurationChange& change) const;
  void AddHistory(proto::HistoryRecord record);
  /// @return nothing if the history does not reach back or the whole is no larger.
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

  // Derived from the above, dropped at each change.
  mutable std::optional<proto::RoutingConfiguration> full_configuration_;
  mutable std::optional<proto::ConfigurationUpdate> full_update_;
  mutable std::map<ConfigurationVersion, std::optional<proto::ConfigurationUpdate>> deltas_;
};

}  // namespace cloverbank
