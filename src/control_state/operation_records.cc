#include "control_state/operation_records.h"

#include <utility>

namespace cloverbank {

const proto::OperationRecord* OperationRecords::Find(const std::string& operation_id) const {
  const auto entry = records_.find(operation_id);
  return entry == records_.end() ? nullptr : &entry->second;
}

void OperationRecords::Add(proto::OperationRecord record) {
  const std::string id = record.operation_id();
  const proto::TransactionResult& result = record.result();
  if (result.outcome() == proto::TRANSACTION_OUTCOME_APPLIED && result.in_force_at_ms() == 0) {
    pending_in_force_.push_back({ConfigurationVersion(result.version()), id});
  }
  bytes_ += record.ByteSizeLong();
  records_[id] = std::move(record);
  order_.push_back(id);
  Trim();
}

void OperationRecords::Trim() {
  while (order_.size() > kMaximumRecords || (bytes_ > kMaximumRecordBytes && order_.size() > 1)) {
    const auto oldest = records_.find(order_.front());
    bytes_ -= oldest->second.ByteSizeLong();
    records_.erase(oldest);
    order_.pop_front();
  }
}

void OperationRecords::RecordInForce(ConfigurationVersion version, std::int64_t wall_ms) {
  while (!pending_in_force_.empty() && pending_in_force_.front().version <= version) {
    const auto entry = records_.find(pending_in_force_.front().operation_id);
    pending_in_force_.pop_front();
    if (entry == records_.end()) {
      continue;
    }
    bytes_ -= entry->second.ByteSizeLong();
    entry->second.mutable_result()->set_in_force_at_ms(wall_ms);
    bytes_ += entry->second.ByteSizeLong();
  }
}

void OperationRecords::Save(proto::ControlStateSnapshot* snapshot) const {
  for (const std::string& id : order_) {
    *snapshot->add_operations() = records_.at(id);
  }
}

void OperationRecords::Load(const proto::ControlStateSnapshot& snapshot) {
  *this = OperationRecords();
  for (const proto::OperationRecord& record : snapshot.operations()) {
    Add(record);
  }
}

}  // namespace cloverbank
