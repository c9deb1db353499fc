#include "control_state/configuration_store.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/checksum.h"
#include "control_state/transaction_validator.h"

namespace cloverbank {
namespace {

/// Most bytes that the tag and length of a change take within an update.
constexpr std::size_t kChangeFramingBytes = 4;

/// @return a number that is the same when a transaction is sent again under its operation id.
std::uint64_t ComputeChecksum(const proto::ConfigurationTransaction& transaction) {
  if (transaction.label() != 0) {
    // The operation id is derived from the operator's document and thus identifies the content. The
    // changes that a gateway derives from the document depend on the configuration that the gateway
    // had, so they may differ when the transaction is sent again.
    return transaction.label();
  }
  return Checksum(transaction.SerializeAsString());
}

template <typename Map, typename Object>
bool ContainsEqual(const Map& objects, const Object& object) {
  const auto found = objects.find(object.name());
  return found != objects.end() && found->second.SerializeAsString() == object.SerializeAsString();
}

/// The history keeps the changes but not the text of the operator's document.
void ClearDocumentSource(proto::ConfigurationTransaction* transaction) {
  for (proto::ConfigurationChange& change : *transaction->mutable_changes()) {
    if (change.has_set_document()) {
      change.mutable_set_document()->clear_source();
    }
  }
}

}  // namespace

ConfigurationStore::ConfigurationStore() = default;

proto::TransactionResult ConfigurationStore::Apply(
    const proto::ConfigurationTransaction& transaction, std::int64_t wall_ms) {
  if (transaction.dry_run()) {
    return Validate(transaction);
  }
  if (std::vector<std::string> problems = CheckOperationId(transaction); !problems.empty()) {
    return MakeRefusal(transaction, proto::TRANSACTION_OUTCOME_INVALID, std::move(problems));
  }
  const std::uint64_t checksum = ComputeChecksum(transaction);
  if (auto recorded = FindRecordedResult(transaction, checksum)) {
    return *std::move(recorded);
  }
  if (transaction.inquiry() && transaction.expected_label() == label_) {
    return MakeRefusal(transaction, proto::TRANSACTION_OUTCOME_MAY_BE_SENT, {});
  }
  proto::TransactionResult result = Evaluate(transaction);
  if (result.outcome() == proto::TRANSACTION_OUTCOME_APPLIED) {
    Commit(transaction, wall_ms);
  }
  RecordResult(result, checksum);
  return result;
}

std::optional<proto::TransactionResult> ConfigurationStore::FindRecordedResult(
    const proto::ConfigurationTransaction& transaction, std::uint64_t checksum) const {
  const proto::OperationRecord* recorded = operations_.Find(transaction.operation_id());
  if (recorded == nullptr) {
    return std::nullopt;
  }
  if (recorded->request_checksum() == checksum) {
    return recorded->result();
  }
  return MakeRefusal(transaction, proto::TRANSACTION_OUTCOME_INVALID,
                     {"operation_id \"" + transaction.operation_id() +
                      "\" was used for another transaction; choose a new one"});
}

void ConfigurationStore::RecordResult(const proto::TransactionResult& result,
                                      std::uint64_t checksum) {
  proto::OperationRecord record;
  record.set_operation_id(result.operation_id());
  *record.mutable_result() = result;
  record.set_request_checksum(checksum);
  operations_.Add(std::move(record));
}

proto::TransactionResult ConfigurationStore::Validate(
    const proto::ConfigurationTransaction& transaction) const {
  return Evaluate(transaction);
}

proto::TransactionResult ConfigurationStore::Evaluate(
    const proto::ConfigurationTransaction& transaction) const {
  if (auto refusal = EvaluateLabels(transaction)) {
    return *refusal;
  }
  std::vector<std::string> problems = CheckEnvelope(transaction);
  const ConfigurationVersion expected(transaction.expected_version());
  const bool requires_version = transaction.label() == 0 && !transaction.any_version();
  if (requires_version && problems.empty() && expected != version_) {
    return MakeRefusal(
        transaction, proto::TRANSACTION_OUTCOME_VERSION_CONFLICT,
        {"expected_version is " + expected.ToString() + ", the current version is " +
         version_.ToString() +
         "; read the configuration, redo the changes on it and send them under a new "
         "operation_id"});
  }
  std::vector<std::string> change_problems = CheckChanges(objects_, transaction);
  problems.insert(problems.end(), std::make_move_iterator(change_problems.begin()),
                  std::make_move_iterator(change_problems.end()));
  if (!problems.empty()) {
    return MakeRefusal(transaction, proto::TRANSACTION_OUTCOME_INVALID, std::move(problems));
  }
  proto::TransactionResult result;
  result.set_outcome(proto::TRANSACTION_OUTCOME_APPLIED);
  result.set_version(version_.Next().value());
  result.set_operation_id(transaction.operation_id());
  return result;
}

proto::TransactionResult ConfigurationStore::MakeRefusal(
    const proto::ConfigurationTransaction& transaction, proto::TransactionOutcome outcome,
    std::vector<std::string> problems) const {
  proto::TransactionResult result;
  result.set_outcome(outcome);
  result.set_version(version_.value());
  result.set_operation_id(transaction.operation_id());
  for (std::string& problem : problems) {
    result.add_problems(std::move(problem));
  }
  return result;
}

std::optional<proto::TransactionResult> ConfigurationStore::EvaluateLabels(
    const proto::ConfigurationTransaction& transaction) const {
  if (transaction.label() == 0) {
    return std::nullopt;
  }
  if (transaction.expected_label() != label_) {
    return MakeRefusal(transaction, proto::TRANSACTION_OUTCOME_VERSION_CONFLICT,
                       {"expected_label is " + std::to_string(transaction.expected_label()) +
                        ", the current one is " + std::to_string(label_) +
                        "; read the configuration and redo the changes on it"});
  }
  if (transaction.label() <= label_) {
    return MakeRefusal(transaction, proto::TRANSACTION_OUTCOME_INVALID,
                       {"label " + std::to_string(transaction.label()) +
                        " is not above the current one, " + std::to_string(label_)});
  }
  return std::nullopt;
}

bool ConfigurationStore::ChangesNothing(const proto::ConfigurationChange& change) const {
  switch (change.change_case()) {
    case proto::ConfigurationChange::kSetRoute:
      return ContainsEqual(objects_.routes, change.set_route());
    case proto::ConfigurationChange::kSetBackend:
      return ContainsEqual(objects_.backends, change.set_backend());
    case proto::ConfigurationChange::kEnsureZone:
      return objects_.zones.contains(change.ensure_zone().name());
    default:
      return false;
  }
}

proto::ConfigurationTransaction ConfigurationStore::Normalize(
    const proto::ConfigurationTransaction& transaction) const {
  if (!transaction.replaces_traffic()) {
    return transaction;
  }
  proto::ConfigurationTransaction normalized = transaction;
  normalized.clear_changes();
  std::set<ConfigurationObjectKey> named;
  for (const proto::ConfigurationChange& change : transaction.changes()) {
    named.insert(ObjectKeyFor(change));
    if (!ChangesNothing(change)) {
      *normalized.add_changes() = change;
    }
  }
  RemoveUnnamedTraffic(named, &normalized);
  return normalized;
}

void ConfigurationStore::RemoveUnnamedTraffic(const std::set<ConfigurationObjectKey>& named,
                                              proto::ConfigurationTransaction* transaction) const {
  for (const auto& [name, route] : objects_.routes) {
    if (!named.contains({ConfigurationObjectKind::kRoute, name})) {
      transaction->add_changes()->set_remove_route(name);
    }
  }
  for (const auto& [name, backend] : objects_.backends) {
    if (!named.contains({ConfigurationObjectKind::kBackend, name})) {
      transaction->add_changes()->set_remove_backend(name);
    }
  }
}

void ConfigurationStore::Commit(const proto::ConfigurationTransaction& transaction,
                                std::int64_t wall_ms) {
  const proto::ConfigurationTransaction normalized = Normalize(transaction);
  for (const proto::ConfigurationChange& change : normalized.changes()) {
    objects_.Apply(change);
  }
  label_ = normalized.label() != 0 ? normalized.label() : label_;
  version_ = version_.Next();
  full_configuration_.reset();
  full_update_.reset();
  deltas_.clear();
  proto::HistoryRecord record;
  record.set_version(version_.value());
  *record.mutable_transaction() = normalized;
  ClearDocumentSource(record.mutable_transaction());
  record.set_applied_at_ms(wall_ms);
  AddHistory(std::move(record));
}

void ConfigurationStore::AddHistory(proto::HistoryRecord record) {
  history_bytes_ += record.ByteSizeLong();
  history_.push_back(std::move(record));
  while (history_.size() > kMaximumHistoryRecords || history_bytes_ > kMaximumHistoryBytes) {
    history_bytes_ -= history_.front().ByteSizeLong();
    history_.pop_front();
  }
}

Status ConfigurationStore::RecordInForce(ConfigurationVersion version, std::int64_t wall_ms) {
  if (version > version_) {
    return {StatusCode::kInvalidArgument, "version " + version.ToString() +
                                              " is not applied yet; the current version is " +
                                              version_.ToString()};
  }
  if (version <= in_force_) {
    return Status::Ok();
  }
  for (proto::HistoryRecord& record : history_) {
    const ConfigurationVersion applied(record.version());
    if (applied > in_force_ && applied <= version) {
      history_bytes_ -= record.ByteSizeLong();
      record.set_in_force_at_ms(wall_ms);
      history_bytes_ += record.ByteSizeLong();
    }
  }
  in_force_ = version;
  operations_.RecordInForce(version, wall_ms);
  return Status::Ok();
}

const proto::RoutingConfiguration& ConfigurationStore::FullConfiguration() const {
  if (!full_configuration_.has_value()) {
    full_configuration_ = objects_.ToProto();
    full_configuration_->set_version(version_.value());
    full_configuration_->set_label(label_);
  }
  return *full_configuration_;
}

const proto::ConfigurationUpdate& ConfigurationStore::UpdateFrom(ConfigurationVersion known) const {
  auto entry = deltas_.find(known);
  if (entry == deltas_.end()) {
    if (deltas_.size() >= kMaximumCachedDeltas) {
      deltas_.clear();
    }
    entry = deltas_.emplace(known, MakeDelta(known)).first;
  }
  return entry->second.has_value() ? *entry->second : FullUpdate();
}

const proto::ConfigurationUpdate& ConfigurationStore::FullUpdate() const {
  if (!full_update_.has_value()) {
    full_update_.emplace();
    full_update_->set_to_version(version_.value());
    *full_update_->mutable_full() = FullConfiguration();
    if (objects_.document.ByteSizeLong() > 0) {
      full_update_->mutable_full()->mutable_document()->clear_source();
    }
  }
  return *full_update_;
}

bool ConfigurationStore::HistoryReachesBackTo(ConfigurationVersion known) const {
  return known.valid() && known < version_ && !history_.empty() &&
         known.Next() >= ConfigurationVersion(history_.front().version());
}

std::optional<proto::ConfigurationUpdate> ConfigurationStore::MakeDelta(
    ConfigurationVersion known) const {
  if (!HistoryReachesBackTo(known)) {
    return std::nullopt;
  }
  proto::ConfigurationUpdate update;
  update.set_from_version(known.value());
  update.set_to_version(version_.value());
  update.set_label(label_);
  return AddChangesSince(known, &update) ? std::optional(std::move(update)) : std::nullopt;
}

bool ConfigurationStore::AddChangesSince(ConfigurationVersion known,
                                         proto::ConfigurationUpdate* update) const {
  // Uses `objects_.bytes`, which is updated with each change, because serializing the full
  // configuration for each version would take time linear in the number of tenants.
  const std::size_t limit = objects_.bytes - objects_.document.source().size();
  std::size_t bytes = 0;
  std::set<ConfigurationObjectKey> seen;  // Of each object, only the last change is sent.
  for (auto record = history_.rbegin(); record != history_.rend(); ++record) {
    if (ConfigurationVersion(record->version()) <= known) {
      break;
    }
    for (const proto::ConfigurationChange& change : record->transaction().changes()) {
      if (!seen.insert(ObjectKeyFor(change)).second) {
        continue;
      }
      proto::ConfigurationChange* added = update->add_changes();
      *added = change;
      bytes += added->ByteSizeLong() + kChangeFramingBytes;
      if (bytes >= limit) {
        return false;
      }
    }
  }
  return true;
}

std::vector<proto::HistoryRecord> ConfigurationStore::History(std::size_t count) const {
  const std::size_t available = std::min(count, history_.size());
  return {history_.end() - static_cast<std::ptrdiff_t>(available), history_.end()};
}

void ConfigurationStore::Save(proto::ControlStateSnapshot* snapshot) const {
  *snapshot->mutable_configuration() = FullConfiguration();
  snapshot->set_in_force_version(in_force_.value());
  operations_.Save(snapshot);
  for (const proto::HistoryRecord& record : history_) {
    *snapshot->add_history() = record;
  }
}

void ConfigurationStore::Load(const proto::ControlStateSnapshot& snapshot) {
  *this = ConfigurationStore();
  version_ = ConfigurationVersion(snapshot.configuration().version());
  in_force_ = ConfigurationVersion(snapshot.in_force_version());
  label_ = snapshot.configuration().label();
  objects_.Load(snapshot.configuration());
  operations_.Load(snapshot);
  for (const proto::HistoryRecord& record : snapshot.history()) {
    AddHistory(record);
  }
}

}  // namespace cloverbank
