#pragma once
/// @file
/// Queue nodes in a `LogWorld`, with calls that take the part of a client, of a gateway and of the
/// coordinator that starts a recovery.

#include <gmock/gmock.h>

#include <memory>
#include <string>
#include <vector>

#include "log_writer/log_world.h"
#include "queue/queue_service.h"

namespace cloverbank {

/// Matches a `Result` that succeeded.
MATCHER(IsOk, "succeeded") {
  *result_listener << "status " << arg.status().ToString();
  return arg.ok();
}
/// Matches a `Result` that failed with this code.
MATCHER_P(FailsWith, code, "failed with " + std::string(StatusCodeName(code))) {
  *result_listener << "status " << arg.status().ToString();
  return arg.status().code() == code;
}

/// A queue node's process: its agent and its service.
struct QueueProcess {
  std::unique_ptr<NodeAgent> agent;
  std::unique_ptr<QueueService> service;
};

class QueueWorld : public LogWorld {
 public:
  explicit QueueWorld(std::uint64_t seed) : LogWorld(seed) {
    for (const std::string name : {"b1", "b2", "b3"}) {
      AddBackup(name, "zone-" + name);
    }
    coordinator.configuration.set_version(1);
    AddRoute("describe", true);
    AddRoute("unlock", false);
    world.RunFor(milliseconds(500));
  }

  void AddRoute(const std::string& name, bool idempotent) {
    proto::Route* route = coordinator.configuration.add_routes();
    route->set_name(name);
    route->set_backend("model");
    route->set_idempotent(idempotent);
    route->set_accepts_batches(true);
  }
  /// Publishes the content of `coordinator.configuration` under the next version.
  void PublishConfiguration() {
    coordinator.configuration.set_version(coordinator.configuration.version() + 1);
    world.RunFor(milliseconds(100));
  }

  /// Adds and starts a machine with a queue node.
  void AddQueue(const std::string& name) {
    ++queue_count_;
    world.AddMachine(name, "10.0.2." + std::to_string(queue_count_))
        .SetProgram([this, name](Environment& environment, DataFolder&) {
          auto process = std::make_shared<QueueProcess>();
          process->agent = std::make_unique<NodeAgent>(
              environment, AgentOptions(name, "zone-b1", proto::ROLE_QUEUE));
          process->service =
              std::make_unique<QueueService>(environment, *process->agent, queue_options);
          process->service->Start();
          process->agent->Start();
          return process;
        });
    world.machine(name).Start();
    world.RunFor(milliseconds(500));
  }

  std::uint64_t QueueId(const std::string& name) const {
    return coordinator.NodeOf(name, proto::ROLE_QUEUE);
  }
  /// Makes the queue node on machine `name` the owner of a partition that was never used.
  void AssignPartition(const std::string& name, std::uint64_t partition = 0) {
    coordinator.Assign(partition, QueueId(name));
    world.RunFor(milliseconds(300));
  }

  static proto::SubmitBatchRequest MakeBatch(const std::string& key, int items,
                                             const std::string& route = "describe") {
    proto::SubmitBatchRequest request;
    request.set_idempotent(route == "describe");
    proto::SubmitBatch& batch = *request.mutable_batch();
    batch.set_tenant("studio");
    batch.set_idempotency_key(key);
    batch.set_route(route);
    for (int i = 0; i < items; ++i) {
      proto::BatchItem* item = batch.add_items();
      item->set_custom_id("item" + std::to_string(i));
      item->set_prompt("tell me of " + std::to_string(i));
    }
    return request;
  }
  Result<proto::SubmitBatchResponse> Submit(const std::string& queue,
                                            const proto::SubmitBatchRequest& request) {
    return Call<proto::SubmitBatchResponse>(queue, "queue.SubmitBatch", request);
  }
  /// Submits a batch and expects that it is accepted.
  /// @return the batch's id.
  std::string Accept(const std::string& queue, const std::string& key, int items,
                     const std::string& route = "describe") {
    const auto response = Submit(queue, MakeBatch(key, items, route));
    EXPECT_TRUE(response.ok()) << response.status().ToString();
    return response.ok() ? response->status().batch_id() : "";
  }
  proto::BatchStatus StatusOf(const std::string& queue, const std::string& batch_id) {
    proto::GetBatchRequest request;
    request.set_batch_id(batch_id);
    const auto response = Call<proto::GetBatchResponse>(queue, "queue.GetBatch", request);
    EXPECT_TRUE(response.ok()) << response.status().ToString();
    return response.ok() ? response->status() : proto::BatchStatus();
  }
  std::vector<std::string> BatchIds(const std::string& queue, const std::string& cursor = "") {
    proto::ListBatchesRequest request;
    request.set_tenant("studio");
    request.set_cursor(cursor);
    std::vector<std::string> ids;
    const auto response = Call<proto::ListBatchesResponse>(queue, "queue.ListBatches", request);
    EXPECT_TRUE(response.ok()) << response.status().ToString();
    for (const auto& batch : response->list().batches()) {
      ids.push_back(batch.batch_id());
    }
    return ids;
  }
  /// @return all results as "index:outcome:output".
  std::vector<std::string> Results(const std::string& queue, const std::string& batch_id) {
    proto::ListResultsRequest request;
    request.set_batch_id(batch_id);
    request.set_limit(1000);
    const auto response = Call<proto::ListResultsResponse>(queue, "queue.ListResults", request);
    EXPECT_TRUE(response.ok()) << response.status().ToString();
    std::vector<std::string> results;
    for (const auto& result : response->list().results()) {
      results.push_back(std::to_string(result.item_index()) + ":" +
                        std::to_string(result.outcome()) + ":" + result.output());
    }
    return results;
  }

  std::vector<proto::WorkGrant> Acquire(const std::string& queue, std::uint32_t slots,
                                        std::uint32_t hold_ms = 0) {
    proto::AcquireWorkRequest request;
    request.set_gateway_node_id(kGatewayNodeId);
    request.set_incarnation(1);
    request.add_capacity()->set_backend("model");
    request.mutable_capacity(0)->set_slots(slots);
    request.set_hold_ms(hold_ms);
    const auto response = Call<proto::AcquireWorkResponse>(queue, "queue.AcquireWork", request);
    EXPECT_TRUE(response.ok()) << response.status().ToString();
    return {response->grants().begin(), response->grants().end()};
  }
  static proto::WorkReport MakeReport(const proto::WorkGrant& grant,
                                      proto::WorkDisposition disposition,
                                      const std::string& output = "done") {
    proto::WorkReport report;
    report.set_lease_id(grant.lease_id());
    report.set_partition_id(grant.partition_id());
    report.set_batch_id(grant.batch_id());
    report.set_item_index(grant.item_index());
    report.set_disposition(disposition);
    if (disposition == proto::WORK_DISPOSITION_FINISHED) {
      report.set_outcome(proto::ITEM_OUTCOME_SUCCEEDED);
      report.set_output(output);
    }
    return report;
  }
  Result<proto::ReportWorkResponse> Report(const std::string& queue,
                                           const std::vector<proto::WorkReport>& reports,
                                           const std::vector<proto::WorkGrant>& running = {}) {
    proto::ReportWorkRequest request;
    request.set_gateway_node_id(kGatewayNodeId);
    request.set_incarnation(1);
    for (const proto::WorkReport& report : reports) {
      *request.add_reports() = report;
    }
    for (const proto::WorkGrant& grant : running) {
      request.add_running_lease_ids(grant.lease_id());
    }
    return Call<proto::ReportWorkResponse>(queue, "queue.ReportWork", request);
  }
  Status Finish(const std::string& queue, const proto::WorkGrant& grant,
                const std::string& output = "done") {
    return Report(queue, {MakeReport(grant, proto::WORK_DISPOSITION_FINISHED, output)}).status();
  }

  /// Requests that `to` recover `partition` from the log of the dead `node`. Does not wait until it
  /// is recovered.
  Status StartRecovery(std::uint64_t node, const std::string& to, std::uint64_t partition = 0) {
    const auto segments = Collect(node);
    if (!segments.ok()) {
      return segments.status();
    }
    proto::RecoverPartitionsRequest request;
    request.set_dead_node_id(node);
    request.set_queue_node_id(QueueId(to));
    request.add_partition_ids(partition);
    for (const proto::RecoverySegment& segment : *segments) {
      *request.add_segments() = segment;
    }
    return Call<proto::RecoverPartitionsResponse>(to, "queue.RecoverPartitions", request).status();
  }
  bool IsOwner(const std::string& name, std::uint64_t partition = 0) const {
    const auto found = coordinator.partitions.find(partition);
    return found != coordinator.partitions.end() && found->second.owner() == QueueId(name) &&
           QueueId(name) != 0;
  }
  /// Kills machine `from` and waits until `to` has recovered its partition and owns it.
  void FailOver(const std::string& from, const std::string& to, std::uint64_t partition = 0) {
    const std::uint64_t node = QueueId(from);
    world.machine(from).Kill();
    coordinator.DeclareDead(node);
    const Status started = StartRecovery(node, to, partition);
    ASSERT_TRUE(started.ok()) << started.ToString();
    ASSERT_TRUE(world.RunUntil([&] { return IsOwner(to, partition); }, seconds(10)));
    world.RunFor(milliseconds(300));
  }

  static constexpr std::uint64_t kGatewayNodeId = 900;
  QueueOptions queue_options;

 private:
  int queue_count_ = 0;
};

}  // namespace cloverbank
