#include "work_dispatch/work_leases.h"

#include <limits>

namespace cloverbank {

const WorkLease& WorkLeases::Grant(const WorkItemKey& item, std::uint64_t gateway_node_id,
                                   Incarnation incarnation, bool idempotent, TimePoint now) {
  const WorkLeaseId id = next_id_;
  next_id_ = next_id_.Next();
  by_item_[item] = id;
  WorkLease& lease = by_id_[id];
  lease = {id, item, gateway_node_id, incarnation, idempotent, now, false};
  return lease;
}

const WorkLease* WorkLeases::Renew(WorkLeaseId id, std::uint64_t gateway_node_id,
                                   Incarnation incarnation, TimePoint now) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end() || found->second.gateway_node_id != gateway_node_id ||
      found->second.incarnation != incarnation) {
    return nullptr;
  }
  found->second.last_heard = now;
  return &found->second;
}

const WorkLease* WorkLeases::Find(const WorkItemKey& item) const {
  const auto found = by_item_.find(item);
  return found == by_item_.end() ? nullptr : &by_id_.at(found->second);
}

ReportAction WorkLeases::EvaluateReport(const proto::WorkReport& report, const WorkItemKey& item,
                                        bool has_result) const {
  const WorkLease* lease = Find(item);
  if (has_result) {
    return ReportAction::kDrop;
  }
  if (lease != nullptr && lease->result_being_logged) {
    return ReportAction::kWait;
  }
  if (report.disposition() == proto::WORK_DISPOSITION_FINISHED) {
    // Accepted even if the lease has ended: the item did run, and the first logged result wins.
    return ReportAction::kLogResult;
  }
  const bool current = lease != nullptr && lease->id == WorkLeaseId(report.lease_id());
  if (!current) {
    return ReportAction::kDrop;
  }
  if (report.disposition() == proto::WORK_DISPOSITION_NOT_RUN || lease->idempotent) {
    return ReportAction::kReturnItem;
  }
  return ReportAction::kLogUnknown;
}

void WorkLeases::SetResultBeingLogged(const WorkItemKey& item, bool being_logged, TimePoint now) {
  const auto found = by_item_.find(item);
  if (found == by_item_.end()) {
    return;
  }
  WorkLease& lease = by_id_.at(found->second);
  lease.result_being_logged = being_logged;
  lease.last_heard = now;
}

void WorkLeases::End(const WorkItemKey& item) {
  const auto found = by_item_.find(item);
  if (found == by_item_.end()) {
    return;
  }
  by_id_.erase(found->second);
  by_item_.erase(found);
}

std::vector<WorkLease> WorkLeases::EndExpired(TimePoint now) {
  std::vector<WorkLease> ended;
  for (const auto& [id, lease] : by_id_) {
    if (!lease.result_being_logged && now - lease.last_heard >= kWorkLeaseTimeout) {
      ended.push_back(lease);
    }
  }
  for (const WorkLease& lease : ended) {
    End(lease.item);
  }
  return ended;
}

void WorkLeases::EndPartition(PartitionId partition) {
  auto item = by_item_.lower_bound({partition, "", 0});
  while (item != by_item_.end() && item->first.partition == partition) {
    by_id_.erase(item->second);
    item = by_item_.erase(item);
  }
}

std::size_t WorkLeases::CountLeases(PartitionId partition, const std::string& batch_id) const {
  std::size_t count = 0;
  for (auto item = by_item_.lower_bound({partition, batch_id, 0});
       item != by_item_.end() && item->first.partition == partition &&
       item->first.batch_id == batch_id;
       ++item) {
    ++count;
  }
  return count;
}

}  // namespace cloverbank
