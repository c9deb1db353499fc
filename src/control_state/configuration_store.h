#pragma once
/// @file
/// The replicated routing configuration: applies transactions to it, records their results and
/// their history, and makes the updates that bring a node from its version to the current one. Part
/// of `ControlState`; deterministic. The configuration starts empty at version 1; a node without a
/// configuration has version 0.
///
/// The history, from which deltas are made, is bounded by `kMaximumHistoryRecords` records and
/// `kMaximumHistoryBytes` bytes; a node that is further behind is sent the full configuration.

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
  /// Maximum number of known versions for which deltas to the current version are cached.
  static constexpr std::size_t kMaximumCachedDeltas = 64;

  ConfigurationStore();

  /// Applies or refuses all changes of the transaction together, and records the result under its
  /// operation id. A transaction with a recorded operation id gets the recorded result if it has
  /// the same content (with a label: the same label); otherwise it is refused and the record stays.
  /// A dry run changes nothing. Neither does an inquiry whose expected label is the current one;
  /// the refusal of any other inquiry is recorded, so that a later transaction with its id is
  /// refused.
  /// @param wall_ms time of application, milliseconds since 1970.
  proto::TransactionResult Apply(const proto::ConfigurationTransaction& transaction,
                                 std::int64_t wall_ms);
  /// @return the result of a dry run: that of applying the transaction now as a new operation. The
  /// operation id is not checked.
  proto::TransactionResult Validate(const proto::ConfigurationTransaction& transaction) const;
  /// Records that `version` is in force: no gateway can use an older version any more.
  /// @param wall_ms time of that, milliseconds since 1970.
  /// @return kInvalidArgument if `version` has not been applied yet.
  Status RecordInForce(ConfigurationVersion version, std::int64_t wall_ms);

  ConfigurationVersion version() const { return version_; }
  ConfigurationVersion in_force_version() const { return in_force_; }
  /// @return the number that the operator gave the current configuration; 0 if none was given.
  std::uint64_t label() const { return label_; }
  /// @return the record of the operation, or nullptr. Valid until the next change.
  const proto::OperationRecord* FindOperation(const std::string& operation_id) const {
    return operations_.Find(operation_id);
  }
  const ConfigurationObjects& objects() const { return objects_; }

  /// @return the full configuration, including the source of the operator's document. Valid until
  /// the next change.
  const proto::RoutingConfiguration& FullConfiguration() const;
  /// @return the update for a node at version `known`: the changes since that version, or the full
  /// configuration if that is smaller or the history does not reach back to `known`. The source of
  /// the operator's document is left out, because nodes use only what was parsed from it. Valid
  /// until the next change or call.
  const proto::ConfigurationUpdate& UpdateFrom(ConfigurationVersion known) const;
  /// @return the newest `count` history records, oldest first.
  std::vector<proto::HistoryRecord> History(std::size_t count) const;

  void Save(proto::ControlStateSnapshot* snapshot) const;
  void Load(const proto::ControlStateSnapshot& snapshot);

 private:
  /// @return the recorded result if the operation id has a record, or the refusal of a transaction
  /// that reuses the id for another content; none for a new operation id.
  std::optional<proto::TransactionResult> FindRecordedResult(
      const proto::ConfigurationTransaction& transaction, std::uint64_t checksum) const;
  void RecordResult(const proto::TransactionResult& result, std::uint64_t checksum);
  /// @return the result of applying the transaction now, without applying it.
  proto::TransactionResult Evaluate(const proto::ConfigurationTransaction& transaction) const;
  proto::TransactionResult MakeRefusal(const proto::ConfigurationTransaction& transaction,
                                       proto::TransactionOutcome outcome,
                                       std::vector<std::string> problems) const;
  /// @return the refusal if the transaction has a label and its expected label is not the current
  /// one or its label is not above the current one; otherwise none.
  std::optional<proto::TransactionResult> EvaluateLabels(
      const proto::ConfigurationTransaction& transaction) const;
  /// Applies a valid transaction as the next version and adds it to the history.
  void Commit(const proto::ConfigurationTransaction& transaction, std::int64_t wall_ms);
  /// @return a transaction that replaces the traffic configuration, without the changes that have
  /// no effect and with the removals that follow from it; any other transaction unchanged.
  proto::ConfigurationTransaction Normalize(
      const proto::ConfigurationTransaction& transaction) const;
  /// Adds to `transaction` the removal of each route and back end that is not in `named`.
  void RemoveUnnamedTraffic(const std::set<ConfigurationObjectKey>& named,
                            proto::ConfigurationTransaction* transaction) const;
  /// @return whether a change of a route, back end or ensured zone would leave it as it is; false
  /// for every other kind of change.
  bool ChangesNothing(const proto::ConfigurationChange& change) const;
  /// Adds the newest record and drops the oldest ones beyond the bounds.
  void AddHistory(proto::HistoryRecord record);
  /// @return the changes since `known`; none if the history does not reach back to it or the full
  /// configuration is no larger.
  std::optional<proto::ConfigurationUpdate> MakeDelta(ConfigurationVersion known) const;
  bool HistoryReachesBackTo(ConfigurationVersion known) const;
  /// Adds the last change of each object since version `known`.
  /// @return false if the changes are no smaller than the full configuration.
  bool AddChangesSince(ConfigurationVersion known, proto::ConfigurationUpdate* update) const;
  const proto::ConfigurationUpdate& FullUpdate() const;

  ConfigurationVersion version_{1};
  ConfigurationVersion in_force_{1};
  std::uint64_t label_ = 0;
  ConfigurationObjects objects_;
  OperationRecords operations_;
  std::deque<proto::HistoryRecord> history_;  // Oldest first; consecutive versions.
  std::size_t history_bytes_ = 0;

  // Caches derived from the members above; each change clears them.
  mutable std::optional<proto::RoutingConfiguration> full_configuration_;
  mutable std::optional<proto::ConfigurationUpdate> full_update_;
  mutable std::map<ConfigurationVersion, std::optional<proto::ConfigurationUpdate>> deltas_;
};

}  // namespace cloverbank
