#include "batch_work/work_item_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include "routes/route_reference.h"

namespace cloverbank {
namespace {

std::size_t CountBytes(const proto::WorkReport& report) {
  return report.output().size() + report.error().size();
}

}  // namespace

bool WasRejected(const BackendOutcome& outcome) {
  return outcome.executed == proto::EXECUTED_NO && outcome.error.code() == kReplicaRejectedCode;
}

bool WorkItemTable::Add(const proto::WorkGrant& grant, NodeId gateway, TimePoint sent,
                        TimePoint now) {
  Item item;
  item.grant = grant;
  item.gateway = gateway;
  item.start_by = sent + milliseconds(grant.start_within_ms());
  item.arrived = now;
  return items_.emplace(WorkLeaseId(grant.lease_id()), std::move(item)).second;
}

StartRefusal WorkItemTable::CanStart(WorkLeaseId lease, const StartConditions& conditions) const {
  const Item* item = Find(lease);
  if (item == nullptr || IsDone(*item) || item->lease_ended) {
    return StartRefusal::kLeaseEnded;
  }
  if (conditions.now >= item->start_by) {
    return StartRefusal::kWindowExpired;
  }
  if (!conditions.node_lease_valid) {
    return StartRefusal::kNoNodeLease;
  }
  if (conditions.configuration->batch().paused()) {
    return StartRefusal::kPaused;
  }
  const proto::Route* route = FindRoute(lease, *conditions.configuration);
  if (route == nullptr) {
    return StartRefusal::kNoRoute;
  }
  const bool no_longer_idempotent = item->grant.idempotent() && !route->idempotent();
  return no_longer_idempotent ? StartRefusal::kMustNotRepeat : StartRefusal::kNone;
}

void WorkItemTable::RecordRunning(WorkLeaseId lease, const std::string& backend) {
  Item* item = Find(lease);
  if (item != nullptr && item->phase == Phase::kWaiting) {
    item->phase = Phase::kRunning;
    item->backend = backend;
  }
}

void WorkItemTable::RecordDispatched(WorkLeaseId lease) {
  Item* item = Find(lease);
  if (item != nullptr && item->phase == Phase::kRunning) {
    item->phase = Phase::kDispatched;
  }
}

void WorkItemTable::ReturnUnstarted(WorkLeaseId lease) {
  Item* item = Find(lease);
  if (item != nullptr && item->phase == Phase::kWaiting) {
    CompleteNotRun(*item, "");
  }
}

void WorkItemTable::Finish(WorkLeaseId lease, const BackendOutcome& outcome, bool keep_if_not_run) {
  Item* item = Find(lease);
  if (item == nullptr || IsDone(*item)) {
    return;
  }
  item->report.set_failed_runs(outcome.failed_runs);
  if (outcome.succeeded) {
    Complete(*item, proto::WORK_DISPOSITION_FINISHED, proto::ITEM_OUTCOME_SUCCEEDED,
             outcome.answer.text(), "");
    return;
  }
  const std::string& message = outcome.error.message();
  if (WasRejected(outcome)) {
    CompleteFailed(*item, message);
    return;
  }
  switch (outcome.executed) {
    case proto::EXECUTED_YES:
      CompleteFailed(*item, message);
      return;
    case proto::EXECUTED_NO:
      if (keep_if_not_run && !item->lease_ended) {
        item->phase = Phase::kWaiting;
        return;
      }
      CompleteNotRun(*item, message);
      return;
    default:
      Complete(*item, proto::WORK_DISPOSITION_UNKNOWN, proto::ITEM_OUTCOME_UNKNOWN, "", message);
  }
}

EndedLeaseAction WorkItemTable::RecordLeaseEnded(WorkLeaseId lease) {
  Item* item = Find(lease);
  if (item == nullptr || IsDone(*item) || item->lease_ended) {
    return EndedLeaseAction::kNothing;
  }
  item->lease_ended = true;
  if (item->phase == Phase::kWaiting) {
    ReturnUnstarted(lease);
    return EndedLeaseAction::kNothing;
  }
  return item->phase == Phase::kDispatched ? EndedLeaseAction::kContinue
                                           : EndedLeaseAction::kCancel;
}

void WorkItemTable::FinishCancelled(WorkLeaseId lease) {
  Item* item = Find(lease);
  if (item == nullptr || IsDone(*item)) {
    return;
  }
  const bool dispatched = item->phase == Phase::kDispatched;
  Complete(*item, dispatched ? proto::WORK_DISPOSITION_UNKNOWN : proto::WORK_DISPOSITION_NOT_RUN,
           proto::ITEM_OUTCOME_UNSPECIFIED, "",
           "the gateway cancelled the call because the item's work lease ended");
}

std::vector<WorkLeaseId> WorkItemTable::Waiting() const {
  std::vector<WorkLeaseId> waiting;
  for (const auto& [lease, item] : items_) {
    if (item.phase == Phase::kWaiting) {
      waiting.push_back(lease);
    }
  }
  return waiting;
}

TimePoint WorkItemTable::ArrivedAt(WorkLeaseId lease) const {
  const Item* item = Find(lease);
  return item == nullptr ? TimePoint() : item->arrived;
}

const proto::WorkGrant* WorkItemTable::FindGrant(WorkLeaseId lease) const {
  const Item* item = Find(lease);
  return item == nullptr ? nullptr : &item->grant;
}

const proto::Route* WorkItemTable::FindRoute(
    WorkLeaseId lease, const proto::RoutingConfiguration& configuration) const {
  const Item* item = Find(lease);
  return item == nullptr ? nullptr : ResolveBatchRoute(configuration, ReferenceOf(item->grant));
}

std::map<std::string, std::uint32_t> WorkItemTable::NotDispatchedByBackend() const {
  std::map<std::string, std::uint32_t> counts;
  for (const auto& [lease, item] : items_) {
    if (item.phase == Phase::kRunning) {
      ++counts[item.backend];
    }
  }
  return counts;
}

std::vector<ReportAddress> WorkItemTable::FindReportAddresses(const OwnerLookup& owner_of,
                                                              bool include_running) const {
  std::set<ReportAddress> addresses;
  for (const auto& [lease, item] : items_) {
    const bool included = item.phase == Phase::kDone || (include_running && !IsDone(item));
    if (!included) {
      continue;
    }
    const NodeId owner = owner_of(PartitionId(item.grant.partition_id()));
    if (owner.valid()) {
      addresses.insert({owner, item.gateway});
    }
  }
  return {addresses.begin(), addresses.end()};
}

proto::ReportWorkRequest WorkItemTable::TakeReports(const ReportAddress& address,
                                                    const OwnerLookup& owner_of) {
  proto::ReportWorkRequest request;
  request.set_gateway_node_id(address.gateway.value());
  std::size_t bytes = 0;
  for (auto& [lease, item] : items_) {
    const bool fits = static_cast<std::size_t>(request.reports_size()) < limits_.reports_per_call &&
                      bytes < limits_.report_bytes_per_call;
    const bool reported_now = item.phase == Phase::kDone && fits;
    if ((!reported_now && IsDone(item)) || item.gateway != address.gateway ||
        owner_of(PartitionId(item.grant.partition_id())) != address.owner) {
      continue;
    }
    if (!reported_now) {
      request.add_running_lease_ids(lease.value());
      continue;
    }
    item.phase = Phase::kReporting;
    bytes += CountBytes(item.report);
    *request.add_reports() = item.report;
  }
  return request;
}

void WorkItemTable::RecordConfirmed(const proto::ReportWorkRequest& request) {
  for (const proto::WorkReport& report : request.reports()) {
    const auto found = items_.find(WorkLeaseId(report.lease_id()));
    if (found == items_.end() || found->second.phase != Phase::kReporting) {
      continue;
    }
    unreported_bytes_ -= CountBytes(found->second.report);
    --unreported_;
    items_.erase(found);
  }
}

void WorkItemTable::RecordReportFailed(const proto::ReportWorkRequest& request) {
  for (const proto::WorkReport& report : request.reports()) {
    Item* item = Find(WorkLeaseId(report.lease_id()));
    if (item != nullptr && item->phase == Phase::kReporting) {
      item->phase = Phase::kDone;
    }
  }
}

bool WorkItemTable::IsFull() const {
  return items_.size() >= limits_.maximum_items ||
         unreported_bytes_ >= limits_.maximum_unreported_bytes;
}

WorkItemTable::Item* WorkItemTable::Find(WorkLeaseId lease) {
  const auto found = items_.find(lease);
  return found == items_.end() ? nullptr : &found->second;
}

const WorkItemTable::Item* WorkItemTable::Find(WorkLeaseId lease) const {
  const auto found = items_.find(lease);
  return found == items_.end() ? nullptr : &found->second;
}

void WorkItemTable::CompleteNotRun(Item& item, const std::string& reason) {
  Complete(item, proto::WORK_DISPOSITION_NOT_RUN, proto::ITEM_OUTCOME_UNSPECIFIED, "", reason);
}

void WorkItemTable::CompleteFailed(Item& item, const std::string& error) {
  Complete(item, proto::WORK_DISPOSITION_FINISHED, proto::ITEM_OUTCOME_FAILED, "", error);
}

void WorkItemTable::Complete(Item& item, proto::WorkDisposition disposition,
                             proto::ItemOutcome outcome, const std::string& output,
                             const std::string& error) {
  item.phase = Phase::kDone;
  item.report.set_lease_id(item.grant.lease_id());
  item.report.set_partition_id(item.grant.partition_id());
  item.report.set_batch_id(item.grant.batch_id());
  item.report.set_item_index(item.grant.item_index());
  item.report.set_disposition(disposition);
  item.report.set_outcome(outcome);
  item.report.set_output(output);
  item.report.set_error(error);
  ++unreported_;
  unreported_bytes_ += CountBytes(item.report);
}

}  // namespace cloverbank
