// Results: reports of gateways, renewals, silent leases and outcomes that stay unknown.

#include "base/logging.h"
#include "work_dispatch/work_dispatcher.h"

namespace cloverbank {
namespace {

WorkItemKey KeyOf(const proto::WorkReport& report) {
  return {PartitionId(report.partition_id()), report.batch_id(),
          static_cast<std::uint32_t>(report.item_index())};
}

/// Longest output and error kept; a longer result could not be logged.
constexpr std::size_t kLargestOutputBytes = 512U << 10U;
/// Items finished as unknown in one go.
constexpr std::size_t kUnknownPerTick = 1000;

}  // namespace

Status WorkDispatcher::CheckReports(const proto::ReportWorkRequest& request) const {
  for (const proto::WorkReport& report : request.reports()) {
    if (!partitions_.contains(PartitionId(report.partition_id()))) {
      return MakeNotOwnerStatus(PartitionId(report.partition_id()));
    }
  }
  return Status::Ok();
}

void WorkDispatcher::Renew(const proto::ReportWorkRequest& request,
                           proto::ReportWorkResponse* response) {
  for (const std::uint64_t id : request.running_lease_ids()) {
    const WorkLease* lease = leases_.Renew(WorkLeaseId(id), request.gateway_node_id(),
                                           Incarnation(request.incarnation()), environment_.Now());
    const StoredBatch* batch = lease == nullptr ? nullptr : FindBatch(lease->item);
    if (batch == nullptr || batch->cancelled) {
      response->add_ended_lease_ids(id);
    }
  }
}

void WorkDispatcher::Report(const proto::ReportWorkRequest& request, ReportReply reply) {
  auto pending = std::make_shared<PendingReport>();
  pending->reply = std::move(reply);
  Renew(request, &pending->response);
  if (Status status = CheckReports(request); !status.ok()) {
    pending->reply(std::move(status));
    return;
  }
  std::map<PartitionId, std::vector<proto::LogEntry>> results;
  for (const proto::WorkReport& report : request.reports()) {
    proto::LogEntry entry;
    if (HandleReport(report, pending.get(), &entry)) {
      results[PartitionId(report.partition_id())].push_back(std::move(entry));
    }
  }
  ServePending();
  if (results.empty()) {
    Answer(pending);
    return;
  }
  pending->logs_under_way = results.size();
  for (auto& [partition, entries] : results) {
    LogResults(pending, partition, std::move(entries));
  }
}

bool WorkDispatcher::HandleReport(const proto::WorkReport& report, PendingReport* pending,
                                  proto::LogEntry* entry) {
  const WorkItemKey item = KeyOf(report);
  const StoredBatch* batch = FindBatch(item);
  if (batch == nullptr) {
    return false;  // Removed since.
  }
  const bool has_result = batch->phases[item.index] == ItemPhase::kFinished;
  switch (leases_.Decide(report, item, has_result)) {
    case ReportAction::kDrop:
      return false;
    case ReportAction::kWait:
      pending->status = Status(StatusCode::kUnavailable, "a result of the item is being logged");
      return false;
    case ReportAction::kReturnItem:
      Log(LogLevel::kInfo, "work_returned",
          {{"batch", item.batch_id}, {"item", item.index}, {"reason", report.error()}});
      if (report.failed_runs() > 0) {
        failed_runs_[item] = report.failed_runs();
      }
      leases_.End(item);
      ReturnItem(item);
      return false;
    case ReportAction::kLogUnknown:
      *entry = MakeFinished(item, proto::ITEM_OUTCOME_UNKNOWN);
      entry->mutable_item_finished()->set_error(report.error());
      break;
    case ReportAction::kLogResult:
      *entry = MakeFinished(item, report.outcome());
      entry->mutable_item_finished()->set_output(report.output());
      entry->mutable_item_finished()->set_error(report.error());
      if (report.output().size() + report.error().size() > kLargestOutputBytes) {
        *entry = MakeFinished(item, proto::ITEM_OUTCOME_FAILED);
        entry->mutable_item_finished()->set_error("the output is too large to be kept");
      }
  }
  leases_.SetReporting(item, true, environment_.Now());
  return true;
}

proto::LogEntry WorkDispatcher::MakeFinished(const WorkItemKey& item,
                                             proto::ItemOutcome outcome) const {
  proto::LogEntry entry;
  proto::ItemFinished& finished = *entry.mutable_item_finished();
  finished.set_batch_id(item.batch_id);
  finished.set_item_index(item.index);
  finished.set_outcome(outcome);
  finished.set_finished_at_ms(environment_.WallMilliseconds());
  return entry;
}

void WorkDispatcher::LogResults(const PendingReportPtr& pending, PartitionId partition,
                                std::vector<proto::LogEntry> entries) {
  std::vector<WorkItemKey> items;
  items.reserve(entries.size());
  for (const proto::LogEntry& entry : entries) {
    items.push_back({partition, entry.item_finished().batch_id(),
                     static_cast<std::uint32_t>(entry.item_finished().item_index())});
  }
  FindPartition(partition)->Log(std::move(entries), [weak = weak_from_this(), pending, partition,
                                                     items](const Status& status) {
    if (const auto self = weak.lock()) {
      self->HandleResultsLogged(partition, items, status);
    }
    if (!status.ok()) {
      pending->status = status;
    }
    if (--pending->logs_under_way == 0) {
      Answer(pending);
    }
  });
}

void WorkDispatcher::Answer(const PendingReportPtr& pending) {
  if (pending->status.ok()) {
    pending->reply(std::move(pending->response));
  } else {
    pending->reply(pending->status);
  }
}

void WorkDispatcher::HandleResultsLogged(PartitionId partition,
                                         const std::vector<WorkItemKey>& items,
                                         const Status& status) {
  const auto owned = FindPartition(partition);
  if (owned == nullptr) {
    return;
  }
  for (const WorkItemKey& item : items) {
    if (!status.ok()) {
      leases_.SetReporting(item, false, environment_.Now());
      continue;
    }
    leases_.End(item);
    unknown_due_.erase(item);
    failed_runs_.erase(item);
    const StoredBatch* batch = FindBatch(item);
    if (batch != nullptr) {
      RecordLateResult(*batch);
    }
    if (batch != nullptr && batch->AllFinished()) {
      Dequeue({partition, item.batch_id});
      incomplete_cancellations_.erase({partition, item.batch_id});
    }
  }
}

void WorkDispatcher::RecordLateResult(const StoredBatch& batch) const {
  const proto::Route* route = FindRoute(batch.accepted.route());
  if (route == nullptr || route->batch_target_ms() == 0 || batch.cancelled) {
    return;
  }
  const std::int64_t taken = environment_.WallMilliseconds() - batch.accepted.accepted_at_ms();
  if (taken <= route->batch_target_ms()) {
    return;
  }
  environment_.metrics().Increment("queue_results_late_total", {{"route", route->name()}});
  Log(LogLevel::kInfo, "result_late",
      {{"route", route->name()},
       {"batch", batch.accepted.batch_id()},
       {"taken_ms", taken},
       {"target_ms", route->batch_target_ms()},
       {"open_items", batch.open_items()},
       {"waiting_items", queue_.waiting_count()}});
}

void WorkDispatcher::EndExpiredLeases() {
  for (const WorkLease& lease : leases_.EndExpired(environment_.Now())) {
    const StoredBatch* batch = FindBatch(lease.item);
    if (batch == nullptr || batch->phases[lease.item.index] == ItemPhase::kFinished) {
      continue;
    }
    environment_.metrics().Increment("queue_expired_leases_total");
    Log(LogLevel::kInfo, "work_lease_expired",
        {{"batch", lease.item.batch_id},
         {"item", lease.item.index},
         {"gateway", lease.gateway_node_id}});
    if (lease.idempotent && !batch->cancelled) {
      ReturnItem(lease.item);
    } else {
      unknown_due_.insert(lease.item);
    }
  }
  ServePending();
}

void WorkDispatcher::LogUnknown() {
  std::map<PartitionId, std::vector<proto::LogEntry>> results;
  std::map<PartitionId, std::vector<WorkItemKey>> items;
  for (const WorkItemKey& item : unknown_due_) {
    if (unknown_under_way_.size() >= kUnknownPerTick) {
      break;
    }
    if (unknown_under_way_.insert(item).second) {
      results[item.partition].push_back(MakeFinished(item, proto::ITEM_OUTCOME_UNKNOWN));
      items[item.partition].push_back(item);
    }
  }
  for (auto& [id, entries] : results) {
    FindPartition(id)->Log(std::move(entries), [weak = weak_from_this(), id = id,
                                                logged = items[id]](const Status& status) {
      const auto self = weak.lock();
      if (self == nullptr) {
        return;
      }
      for (const WorkItemKey& item : logged) {
        self->unknown_under_way_.erase(item);
      }
      self->HandleResultsLogged(id, logged, status);
    });
  }
}

}  // namespace cloverbank
