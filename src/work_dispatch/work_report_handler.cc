#include "work_dispatch/work_report_handler.h"

#include <map>
#include <string>
#include <utility>

#include "base/logging.h"

namespace cloverbank {
namespace {

WorkItemKey MakeItemKey(const proto::WorkReport& report) {
  return {PartitionId(report.partition_id()), report.batch_id(),
          static_cast<std::uint32_t>(report.item_index())};
}

/// Largest size in bytes of one result, output and error together. A larger one could not be
/// logged.
constexpr std::size_t kMaxResultBytes = 512U << 10U;
/// Largest number of results that this node itself gives and logs at the same time.
constexpr std::size_t kMaxOwnResultsBeingLogged = 1000;
/// How long the configuration must have lacked the route of a batch before its items end. A route
/// that operators remove and put back within this time keeps its items.
constexpr Duration kEndedRouteGrace = seconds(5);

/// @return the items of these ItemFinished entries.
std::vector<WorkItemKey> FinishedItems(PartitionId partition,
                                       const std::vector<proto::LogEntry>& entries) {
  std::vector<WorkItemKey> items;
  items.reserve(entries.size());
  for (const proto::LogEntry& entry : entries) {
    items.push_back({partition, entry.item_finished().batch_id(),
                     static_cast<std::uint32_t>(entry.item_finished().item_index())});
  }
  return items;
}

}  // namespace

WorkReportHandler::WorkReportHandler(Environment& environment, Dependencies dependencies)
    : environment_(environment),
      queue_(std::move(dependencies.queue)),
      leases_(std::move(dependencies.leases)),
      unknown_items_(std::move(dependencies.unknown_items)),
      granter_(std::move(dependencies.granter)),
      canceller_(std::move(dependencies.canceller)) {}

Status WorkReportHandler::CheckReports(const proto::ReportWorkRequest& request) const {
  for (const proto::WorkReport& report : request.reports()) {
    if (!queue_->Owns(PartitionId(report.partition_id()))) {
      return MakeNotOwnerStatus(PartitionId(report.partition_id()));
    }
  }
  return Status::Ok();
}

void WorkReportHandler::RenewLeases(const proto::ReportWorkRequest& request,
                                    proto::ReportWorkResponse* response) {
  for (const std::uint64_t id : request.running_lease_ids()) {
    const WorkLease* lease = leases_->Renew(WorkLeaseId(id), request.gateway_node_id(),
                                            Incarnation(request.incarnation()), environment_.Now());
    const StoredBatch* batch = lease == nullptr ? nullptr : queue_->FindBatch(lease->item);
    if (batch == nullptr || batch->cancelled) {
      response->add_ended_lease_ids(id);
    }
  }
}

void WorkReportHandler::Report(const proto::ReportWorkRequest& request, Reply reply) {
  auto pending = std::make_shared<PendingReport>();
  pending->reply = std::move(reply);
  RenewLeases(request, &pending->response);
  if (Status status = CheckReports(request); !status.ok()) {
    pending->reply(std::move(status));
    return;
  }
  std::map<PartitionId, std::vector<proto::LogEntry>> results;
  for (const proto::WorkReport& report : request.reports()) {
    if (auto entry = HandleReport(report, pending.get())) {
      results[PartitionId(report.partition_id())].push_back(std::move(*entry));
    }
  }
  granter_->ServePending();
  if (results.empty()) {
    Answer(pending);
    return;
  }
  pending->pending_logs = results.size();
  for (auto& [partition, entries] : results) {
    LogResults(pending, partition, std::move(entries));
  }
}

std::optional<proto::LogEntry> WorkReportHandler::HandleReport(const proto::WorkReport& report,
                                                               PendingReport* pending) {
  const WorkItemKey item = MakeItemKey(report);
  const StoredBatch* batch = queue_->FindBatch(item);
  if (batch == nullptr) {
    return std::nullopt;  // The batch was removed meanwhile.
  }
  const bool has_result = batch->phases[item.index] == ItemPhase::kFinished;
  proto::LogEntry entry;
  switch (leases_->EvaluateReport(report, item, has_result)) {
    case ReportAction::kDrop:
      return std::nullopt;
    case ReportAction::kWait:
      pending->status =
          Status(StatusCode::kUnavailable, "another result of item " + std::to_string(item.index) +
                                               " of batch \"" + item.batch_id +
                                               "\" is being logged; send the report again");
      return std::nullopt;
    case ReportAction::kReturnItem:
      ReturnItem(item, report);
      return std::nullopt;
    case ReportAction::kLogUnknown:
      entry = MakeItemFinished(item, proto::ITEM_OUTCOME_UNKNOWN);
      entry.mutable_item_finished()->set_error(report.error());
      break;
    case ReportAction::kLogResult:
      entry = MakeResult(item, report);
  }
  leases_->SetResultBeingLogged(item, true, environment_.Now());
  return entry;
}

void WorkReportHandler::ReturnItem(const WorkItemKey& item, const proto::WorkReport& report) {
  Log(LogLevel::kInfo, "work_returned",
      {{"batch", item.batch_id}, {"item", item.index}, {"reason", report.error()}});
  if (report.failed_runs() > 0) {
    queue_->SetFailedRuns(item, report.failed_runs());
  }
  leases_->End(item);
  queue_->ReturnItem(item);
}

proto::LogEntry WorkReportHandler::MakeResult(const WorkItemKey& item,
                                              const proto::WorkReport& report) const {
  if (report.output().size() + report.error().size() > kMaxResultBytes) {
    proto::LogEntry entry = MakeItemFinished(item, proto::ITEM_OUTCOME_FAILED);
    entry.mutable_item_finished()->set_error(
        "the output and error have " +
        std::to_string(report.output().size() + report.error().size()) +
        " bytes together, at most " + std::to_string(kMaxResultBytes) + " can be stored");
    return entry;
  }
  proto::LogEntry entry = MakeItemFinished(item, report.outcome());
  entry.mutable_item_finished()->set_output(report.output());
  entry.mutable_item_finished()->set_error(report.error());
  return entry;
}

proto::LogEntry WorkReportHandler::MakeItemFinished(const WorkItemKey& item,
                                                    proto::ItemOutcome outcome) const {
  proto::LogEntry entry;
  proto::ItemFinished& finished = *entry.mutable_item_finished();
  finished.set_batch_id(item.batch_id);
  finished.set_item_index(item.index);
  finished.set_outcome(outcome);
  finished.set_finished_at_ms(environment_.WallMilliseconds());
  return entry;
}

void WorkReportHandler::LogResults(const PendingReportPtr& pending, PartitionId partition,
                                   std::vector<proto::LogEntry> entries) {
  const std::vector<WorkItemKey> items = FinishedItems(partition, entries);
  queue_->FindPartition(partition)->AppendEntries(
      std::move(entries),
      [weak = weak_from_this(), pending, partition, items](const Status& status) {
        if (const auto self = weak.lock()) {
          self->HandleResultsLogged(partition, items, status);
        }
        if (!status.ok()) {
          pending->status = status;
        }
        if (--pending->pending_logs == 0) {
          Answer(pending);
        }
      });
}

void WorkReportHandler::Answer(const PendingReportPtr& pending) {
  if (pending->status.ok()) {
    pending->reply(std::move(pending->response));
  } else {
    pending->reply(pending->status);
  }
}

void WorkReportHandler::HandleResultsLogged(PartitionId partition,
                                            const std::vector<WorkItemKey>& items,
                                            const Status& status) {
  if (!queue_->Owns(partition)) {
    return;
  }
  for (const WorkItemKey& item : items) {
    if (status.ok()) {
      HandleResultLogged(item);
    } else {
      leases_->SetResultBeingLogged(item, false, environment_.Now());
    }
  }
}

void WorkReportHandler::HandleResultLogged(const WorkItemKey& item) {
  leases_->End(item);
  unknown_items_->Remove(item);
  queue_->ClearFailedRuns(item);
  const StoredBatch* batch = queue_->FindBatch(item);
  if (batch == nullptr) {
    return;
  }
  RecordLateResult(*batch);
  if (batch->AllFinished()) {
    queue_->Dequeue({item.partition, item.batch_id});
    canceller_->RemoveIncomplete({item.partition, item.batch_id});
  }
}

void WorkReportHandler::RecordLateResult(const StoredBatch& batch) const {
  const proto::Route* route = queue_->FindRoute(batch);
  if (route == nullptr || route->batch_target_ms() == 0 || batch.cancelled) {
    return;
  }
  const std::int64_t elapsed_ms = environment_.WallMilliseconds() - batch.accepted.accepted_at_ms();
  if (elapsed_ms <= route->batch_target_ms()) {
    return;
  }
  environment_.metrics().Increment("queue_results_late_total", {{"route", route->name()}});
  Log(LogLevel::kInfo, "result_late",
      {{"route", route->name()},
       {"batch", batch.accepted.batch_id()},
       {"taken_ms", elapsed_ms},
       {"target_ms", route->batch_target_ms()},
       {"open_items", batch.open_items()},
       {"waiting_items", queue_->waiting_count()}});
}

void WorkReportHandler::EndExpiredLeases() {
  for (const WorkLease& lease : leases_->EndExpired(environment_.Now())) {
    const StoredBatch* batch = queue_->FindBatch(lease.item);
    if (batch == nullptr || batch->phases[lease.item.index] == ItemPhase::kFinished) {
      continue;
    }
    environment_.metrics().Increment("queue_expired_leases_total");
    Log(LogLevel::kInfo, "work_lease_expired",
        {{"batch", lease.item.batch_id},
         {"item", lease.item.index},
         {"gateway", lease.gateway_node_id}});
    if (lease.idempotent && !batch->cancelled) {
      queue_->ReturnItem(lease.item);
    } else {
      unknown_items_->Add(lease.item);
    }
  }
  granter_->ServePending();
}

void WorkReportHandler::LogUnknown() {
  std::map<PartitionId, std::vector<proto::LogEntry>> results;
  for (const WorkItemKey& item : unknown_items_->items()) {
    if (own_results_being_logged_.size() >= kMaxOwnResultsBeingLogged) {
      break;
    }
    if (own_results_being_logged_.insert(item).second) {
      results[item.partition].push_back(MakeItemFinished(item, proto::ITEM_OUTCOME_UNKNOWN));
    }
  }
  for (auto& [id, entries] : results) {
    LogOwnResults(id, std::move(entries));
  }
}

void WorkReportHandler::FinishUnroutable() {
  for (const BatchKey& key : queue_->FindUnroutable(kEndedRouteGrace)) {
    const StoredBatch* batch = queue_->FindBatch({key.partition, key.batch_id, 0});
    if (batch != nullptr && !batch->cancelled) {
      FinishUnroutable(key, *batch);
    }
  }
}

void WorkReportHandler::FinishUnroutable(const BatchKey& key, const StoredBatch& batch) {
  const std::string reason = queue_->ExplainUnroutable(batch);
  std::vector<proto::LogEntry> entries;
  for (std::uint32_t index = 0; index < batch.items.size(); ++index) {
    const WorkItemKey item{key.partition, key.batch_id, index};
    const bool held = leases_->Find(item) != nullptr || unknown_items_->items().contains(item);
    const bool ends = batch.phases[index] != ItemPhase::kFinished && !held &&
                      own_results_being_logged_.size() < kMaxOwnResultsBeingLogged;
    if (ends && own_results_being_logged_.insert(item).second) {
      proto::LogEntry& entry =
          entries.emplace_back(MakeItemFinished(item, proto::ITEM_OUTCOME_FAILED));
      entry.mutable_item_finished()->set_error(reason);
    }
  }
  if (entries.empty()) {
    return;
  }
  Log(LogLevel::kInfo, "batch_route_ended",
      {{"batch", key.batch_id}, {"items", entries.size()}, {"reason", reason}});
  environment_.metrics().Increment("queue_items_without_route_total", {}, entries.size());
  LogOwnResults(key.partition, std::move(entries));
}

void WorkReportHandler::LogOwnResults(PartitionId partition, std::vector<proto::LogEntry> entries) {
  const std::vector<WorkItemKey> items = FinishedItems(partition, entries);
  queue_->FindPartition(partition)->AppendEntries(
      std::move(entries), [weak = weak_from_this(), partition, items](const Status& status) {
        if (const auto self = weak.lock()) {
          self->HandleOwnResultsLogged(partition, items, status);
        }
      });
}

void WorkReportHandler::HandleOwnResultsLogged(PartitionId partition,
                                               const std::vector<WorkItemKey>& items,
                                               const Status& status) {
  for (const WorkItemKey& item : items) {
    own_results_being_logged_.erase(item);
  }
  HandleResultsLogged(partition, items, status);
}

}  // namespace cloverbank
