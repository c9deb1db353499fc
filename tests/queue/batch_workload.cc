#include "queue/batch_workload.h"

namespace cloverbank {

void BatchWorkload::Configure() {
  proto::SubmitTransactionRequest request;
  proto::ConfigurationTransaction& transaction = *request.mutable_transaction();
  transaction.set_operation_id("setup");
  transaction.set_expected_version(1);
  for (const std::string name : {"describe", "unlock"}) {
    proto::Route& route = *transaction.add_changes()->mutable_set_route();
    route.set_name(name);
    route.set_backend_kind(proto::BACKEND_KIND_MODEL);
    route.set_backend("model");
    route.set_idempotent(name == "describe");
    route.set_priority(proto::PRIORITY_BATCH);
    route.set_deadline_ms(10'000);
    route.set_accepts_batches(true);
  }
  transaction.add_changes()->mutable_set_batch()->set_retention_s(retention_s_);
  const std::string front = fleet_.front_machines[world_.RandomBelow(fleet_.front_machines.size())];
  Call<proto::SubmitTransactionResponse>(
      front, "coordinator.SubmitTransaction", request, seconds(3),
      [this](const Result<proto::SubmitTransactionResponse>& result) {
        if (result.ok() && result->result().outcome() == proto::TRANSACTION_OUTCOME_APPLIED) {
          configured_ = true;
        } else {
          if (result.ok()) {
            RecordViolation("configuration refused: " + result->result().DebugString());
          }
          world_.ScheduleAfter(milliseconds(200), [this] { Configure(); });
        }
      });
}

void BatchWorkload::SubmitLoop() {
  if (submitting_) {
    auto request = std::make_shared<proto::SubmitBatchRequest>();
    proto::SubmitBatch& batch = *request->mutable_batch();
    batch.set_tenant("tenant" + std::to_string(world_.RandomBelow(kTenantCount)));
    batch.set_idempotency_key("key" + std::to_string(++submitted_));
    batch.set_route(world_.RandomBelow(2) == 0 ? "describe" : "unlock");
    request->set_idempotent(batch.route() == "describe");
    request->set_partition_id(PartitionOf(batch.tenant()));
    const std::uint64_t items = 1 + world_.RandomBelow(20);
    for (std::uint64_t i = 0; i < items; ++i) {
      proto::BatchItem* item = batch.add_items();
      item->set_custom_id("item" + std::to_string(i));
      item->set_prompt(std::string(world_.RandomBelow(500), 'p'));
    }
    ++pending_submissions_;
    Submit(request);
  }
  world_.ScheduleAfter(milliseconds(50 + world_.RandomBelow(400)), [this] { SubmitLoop(); });
}

void BatchWorkload::Submit(const std::shared_ptr<proto::SubmitBatchRequest>& request) {
  Call<proto::SubmitBatchResponse>(
      RandomStoreMachine(), "queue.SubmitBatch", *request, seconds(3),
      [this, request](const Result<proto::SubmitBatchResponse>& result) {
        if (result.ok()) {
          --pending_submissions_;
          HandleAccepted(*request, result->status());
        } else {
          world_.ScheduleAfter(milliseconds(50), [this, request] { Submit(request); });
        }
      });
}

void BatchWorkload::HandleAccepted(const proto::SubmitBatchRequest& request,
                                   const proto::BatchStatus& status) {
  if (accepted_.contains(status.batch_id())) {
    RecordViolation("batch " + status.batch_id() + " accepted twice");
  }
  AcceptedBatch& batch = accepted_[status.batch_id()];
  batch.items = request.batch().items_size();
  batch.idempotent = request.idempotent();
  batch.partition = request.partition_id();
  batch.tenant = request.batch().tenant();
  if (status.total() != static_cast<std::uint64_t>(batch.items)) {
    RecordViolation("batch " + status.batch_id() + " has " + std::to_string(status.total()) +
                    " items; submitted were " + std::to_string(batch.items));
  }
  if (world_.RandomBelow(8) == 0) {
    world_.ScheduleAfter(milliseconds(world_.RandomBelow(2000)),
                         [this, id = status.batch_id()] { Cancel(id); });
  }
}

void BatchWorkload::Cancel(const std::string& batch_id) {
  proto::CancelBatchRequest request;
  request.set_partition_id(accepted_[batch_id].partition);
  request.set_batch_id(batch_id);
  Call<proto::CancelBatchResponse>(
      RandomStoreMachine(), "queue.CancelBatch", request, seconds(3),
      [this, batch_id](const Result<proto::CancelBatchResponse>& result) {
        if (result.ok()) {
          accepted_[batch_id].cancelled_at = world_.Now();
        } else if (result.status().code() != StatusCode::kNotFound) {
          world_.ScheduleAfter(milliseconds(100), [this, batch_id] { Cancel(batch_id); });
        }
      });
}

void BatchWorkload::ListLoop() {
  for (std::uint64_t i = 0; i < kTenantCount; ++i) {
    ListTenant("tenant" + std::to_string(i));
  }
  for (const auto& [id, batch] : accepted_) {
    for (std::size_t i = 0; i < fleet_.store_machines.size() && !batch.finished(); ++i) {
      ListResults(fleet_.store_machines[i], id);
    }
  }
  world_.ScheduleAfter(milliseconds(500), [this] { ListLoop(); });
}

void BatchWorkload::ListTenant(const std::string& tenant) {
  proto::ListBatchesRequest request;
  request.set_tenant(tenant);
  request.set_partition_id(PartitionOf(tenant));
  request.set_limit(1000);
  std::vector<std::string> expected;
  for (const auto& [id, batch] : accepted_) {
    if (batch.tenant == tenant && !batch.removed) {
      expected.push_back(id);
    }
  }
  Call<proto::ListBatchesResponse>(
      RandomStoreMachine(), "queue.ListBatches", request, seconds(2),
      [this, tenant, expected](const Result<proto::ListBatchesResponse>& result) {
        if (result.ok()) {
          last_listed_at_[PartitionOf(tenant)] = world_.Now();
          CheckList(tenant, result->list(), expected);
        }
      });
}

void BatchWorkload::CheckList(const std::string& tenant, const proto::BatchList& list,
                              const std::vector<std::string>& expected) {
  std::map<std::uint64_t, std::string>& positions = listed_positions_[tenant];
  std::set<std::string> ids;
  for (const proto::BatchStatus& status : list.batches()) {
    ids.insert(status.batch_id());
    const auto [listed, is_new] = positions.emplace(status.position(), status.batch_id());
    if (listed->second != status.batch_id() || (is_new && std::next(listed) != positions.end())) {
      RecordViolation("the batches of " + tenant +
                      " at positions that were listed before have changed");
    }
    const auto batch = accepted_.find(status.batch_id());
    if (batch != accepted_.end() && batch->second.removed) {
      RecordViolation("removed batch " + status.batch_id() + " is listed again");
    }
  }
  for (const std::string& id : expected) {
    if (ids.contains(id)) {
      continue;
    }
    if (retention_s_ == 0 || !accepted_[id].finished()) {
      RecordViolation("accepted batch " + id + " is not listed");
    }
    accepted_[id].removed = true;
  }
}

void BatchWorkload::ListResults(const std::string& store, const std::string& batch_id) {
  proto::ListResultsRequest request;
  request.set_partition_id(accepted_[batch_id].partition);
  request.set_batch_id(batch_id);
  request.set_limit(1000);
  const std::size_t known_results = accepted_[batch_id].results.size();
  Call<proto::ListResultsResponse>(
      store, "queue.ListResults", request, seconds(2),
      [this, batch_id, known_results](const Result<proto::ListResultsResponse>& result) {
        if (!result.ok()) {
          return;
        }
        std::vector<proto::ItemResult> results(result->list().results().begin(),
                                               result->list().results().end());
        AcceptedBatch& batch = accepted_[batch_id];
        std::set<std::uint64_t> items;
        for (std::size_t i = 0; i < results.size(); ++i) {
          if (!items.insert(results[i].item_index()).second) {
            RecordViolation("an item of " + batch_id + " has two results");
          }
          if (i < batch.results.size() &&
              results[i].SerializeAsString() != batch.results[i].SerializeAsString()) {
            RecordViolation("a listed result of " + batch_id + " changed");
          }
          const auto& outputs = run_outputs_[{batch_id, results[i].item_index()}];
          if (results[i].outcome() == proto::ITEM_OUTCOME_SUCCEEDED &&
              std::find(outputs.begin(), outputs.end(), results[i].output()) == outputs.end()) {
            RecordViolation("a result of " + batch_id +
                            " has an output that no run of the item produced");
          }
        }
        if (results.size() < known_results) {
          RecordViolation("results of " + batch_id + " were lost");
        }
        if (results.size() > batch.results.size()) {
          batch.results = std::move(results);
        }
      });
}

void BatchWorkload::AcquireLoop(const std::string& store) {
  proto::AcquireWorkRequest request;
  request.set_gateway_node_id(kGatewayNodeId);
  request.set_incarnation(1);
  request.add_capacity()->set_backend("model");
  request.mutable_capacity(0)->set_slots(static_cast<std::uint32_t>(1 + world_.RandomBelow(10)));
  request.set_hold_ms(300);
  const TimePoint sent = world_.Now();
  Call<proto::AcquireWorkResponse>(
      store, "queue.AcquireWork", request, seconds(1),
      [this, store, sent](const Result<proto::AcquireWorkResponse>& result) {
        if (result.ok()) {
          for (const proto::WorkGrant& grant : result->grants()) {
            HandleGrant(grant, sent);
          }
        }
        world_.ScheduleAfter(milliseconds(20), [this, store] { AcquireLoop(store); });
      });
}

void BatchWorkload::HandleGrant(const proto::WorkGrant& grant, TimePoint sent) {
  Run run;
  run.grant = grant;
  const bool expired = world_.Now() >= sent + milliseconds(grant.start_within_ms());
  if (expired || world_.RandomBelow(20) == 0) {
    run.disposition = proto::WORK_DISPOSITION_NOT_RUN;
    run.ends = world_.Now();
  } else {
    std::vector<std::string>& outputs = run_outputs_[{grant.batch_id(), grant.item_index()}];
    if (!grant.idempotent() && !outputs.empty()) {
      RecordViolation("item " + std::to_string(grant.item_index()) + " of " + grant.batch_id() +
                      " was started twice");
    }
    const auto batch = accepted_.find(grant.batch_id());
    if (batch != accepted_.end() && batch->second.cancelled_at.has_value() &&
        world_.Now() > *batch->second.cancelled_at + seconds(3)) {
      RecordViolation("cancelled batch " + grant.batch_id() +
                      " started an item more than 3 s after the cancellation was acknowledged");
    }
    run.output = "run" + std::to_string(++run_count_);
    outputs.push_back(run.output);
    run.ends = world_.Now() + milliseconds(5 + world_.RandomBelow(1500));
  }
  if (!running_.emplace(grant.lease_id(), run).second) {
    RecordViolation("lease " + std::to_string(grant.lease_id()) + " was granted twice");
  }
}

void BatchWorkload::ReportLoop() {
  for (const std::string& store : fleet_.store_machines) {
    Report(store);
  }
  world_.ScheduleAfter(milliseconds(200), [this] { ReportLoop(); });
}

void BatchWorkload::Report(const std::string& store) {
  // Each call is for one partition, and every store machine gets it: the owner of the partition
  // accepts it, the other nodes reject it.
  for (std::uint64_t partition = 0; partition < FleetWorld::kPartitions; ++partition) {
    proto::ReportWorkRequest request;
    request.set_gateway_node_id(kGatewayNodeId);
    request.set_incarnation(1);
    std::vector<std::uint64_t> leases;
    for (const auto& [lease, run] : running_) {
      if (run.grant.partition_id() != partition) {
        continue;
      }
      request.add_running_lease_ids(lease);
      if (run.ends <= world_.Now()) {
        proto::WorkReport* report = request.add_reports();
        report->set_lease_id(lease);
        report->set_partition_id(partition);
        report->set_batch_id(run.grant.batch_id());
        report->set_item_index(run.grant.item_index());
        report->set_disposition(run.disposition);
        if (run.disposition == proto::WORK_DISPOSITION_FINISHED) {
          report->set_outcome(proto::ITEM_OUTCOME_SUCCEEDED);
          report->set_output(run.output);
        }
        leases.push_back(lease);
      }
    }
    if (request.running_lease_ids().empty()) {
      continue;
    }
    Call<proto::ReportWorkResponse>(
        store, "queue.ReportWork", request, seconds(2),
        [this, leases](const Result<proto::ReportWorkResponse>& result) {
          for (const std::uint64_t lease : leases) {
            if (result.ok()) {
              running_.erase(lease);
            }
          }
        });
  }
}

std::string BatchWorkload::DescribeUnfinished() const {
  std::string text = "pending submissions " + std::to_string(pending_submissions_) + ", running " +
                     std::to_string(running_.size());
  for (const auto& [id, batch] : accepted_) {
    if (!batch.finished()) {
      text += "; " + id + (batch.idempotent ? " (idempotent) " : " ") +
              std::to_string(batch.results.size()) + "/" + std::to_string(batch.items);
    }
  }
  return text;
}

}  // namespace cloverbank
