#pragma once
/// @file
/// A batch worker between a fake queue node and fake replicas, on simulated time.

#include <gtest/gtest.h>

#include <deque>

#include "batch_work/batch_worker.h"
#include "control_client/fake_control.h"
#include "routes/route_reference.h"

namespace cloverbank {

/// A back end that evaluates `can_start` after `connect`, sends the request if it holds, and
/// responds `run_time` later.
class FakeBackend : public BackendCaller {
 public:
  struct Run : BackendCall {
    void Cancel() override { cancelled = true; }
    proto::Route route;
    std::string backend;
    proto::CallRequest request;
    std::function<bool()> can_start;
    std::function<void(BackendOutcome)> done;
    bool sent = false;
    bool cancelled = false;
  };

  explicit FakeBackend(Environment& environment) : environment_(environment) {}

  std::uint32_t FreeBatchSlots(const std::string& backend) const override {
    const auto found = slots_by_backend.find(backend);
    return found == slots_by_backend.end() ? slots : found->second;
  }

  std::shared_ptr<BackendCall> RunBatchItem(const BatchItemCall& item,
                                            std::function<bool()> can_start,
                                            std::function<void(BackendOutcome)> done) override {
    auto run = std::make_shared<Run>();
    run->route = item.route;
    run->backend = item.backend;
    run->request = item.request;
    run->can_start = std::move(can_start);
    run->done = std::move(done);
    runs.push_back(run);
    environment_.ScheduleAfter(connect, [this, run] { Send(run); });
    return run;
  }

  std::uint32_t slots = 4;
  std::map<std::string, std::uint32_t> slots_by_backend;  ///< In place of `slots`.
  Duration connect = milliseconds(5);
  Duration run_time = milliseconds(100);
  BackendOutcome outcome;  ///< Of every run that is sent.
  std::vector<std::shared_ptr<Run>> runs;

  std::size_t SentCount() const {
    return static_cast<std::size_t>(
        std::count_if(runs.begin(), runs.end(), [](const auto& run) { return run->sent; }));
  }

 private:
  void Send(const std::shared_ptr<Run>& run) {
    if (run->cancelled) {
      return;
    }
    if (!run->can_start()) {
      BackendOutcome refused;
      refused.executed = proto::EXECUTED_NO;
      run->done(refused);
      return;
    }
    run->sent = true;
    environment_.ScheduleAfter(run_time, [this, run] {
      if (!run->cancelled) {
        run->done(outcome);
      }
    });
  }

  Environment& environment_;
};

/// State of one fake queue node: how it responds, which the test sets, and the requests that it
/// got.
struct FakeQueue {
  std::deque<proto::WorkGrant> work;         ///< Grants for the next AcquireWork requests.
  std::vector<std::uint64_t> ended_leases;   ///< Sent in every ReportWork response.
  StatusCode report_code = StatusCode::kOk;  ///< Of ReportWork responses.
  /// Of AcquireWork responses, after their grants were taken from `work`.
  Duration response_delay{};
  int acquire_requests = 0;
  std::map<std::uint64_t, proto::WorkReport> reports;  ///< Confirmed ones, by lease.
  int report_calls = 0;
  std::set<std::uint64_t> renewed;
};

class FakeQueueNode {
 public:
  FakeQueueNode(Environment& environment, FakeQueue& queue)
      : environment_(environment), queue_(queue) {
    ServePeer<proto::AcquireWorkRequest, proto::AcquireWorkResponse>(
        environment, "queue.AcquireWork",
        [this](const proto::AcquireWorkRequest& request, const std::string&, auto reply) {
          ++queue_.acquire_requests;
          const TimePoint until = environment_.Now() + milliseconds(request.hold_ms());
          Grant(request.capacity(0).slots(), until, reply);
        });
    ServePeer<proto::ReportWorkRequest, proto::ReportWorkResponse>(
        environment, "queue.ReportWork",
        [this](const proto::ReportWorkRequest& request, const std::string&, auto reply) {
          reply(HandleReport(request));
        });
  }

 private:
  void Grant(std::uint32_t slots, TimePoint until,
             const std::function<void(Result<proto::AcquireWorkResponse>)>& reply) {
    if (queue_.work.empty() && environment_.Now() < until) {
      environment_.ScheduleAfter(milliseconds(5),
                                 [this, slots, until, reply] { Grant(slots, until, reply); });
      return;
    }
    proto::AcquireWorkResponse response;
    for (; slots > 0 && !queue_.work.empty(); --slots) {
      *response.add_grants() = queue_.work.front();
      queue_.work.pop_front();
    }
    environment_.ScheduleAfter(queue_.response_delay, [reply, response] { reply(response); });
  }

  Result<proto::ReportWorkResponse> HandleReport(const proto::ReportWorkRequest& request) {
    ++queue_.report_calls;
    if (queue_.report_code != StatusCode::kOk) {
      return Status(queue_.report_code, "failure set by the test");
    }
    for (const proto::WorkReport& report : request.reports()) {
      EXPECT_FALSE(queue_.reports.contains(report.lease_id()))
          << "confirmed reports are not sent again";
      queue_.reports[report.lease_id()] = report;
    }
    queue_.renewed.insert(request.running_lease_ids().begin(), request.running_lease_ids().end());
    proto::ReportWorkResponse response;
    response.mutable_ended_lease_ids()->Add(queue_.ended_leases.begin(), queue_.ended_leases.end());
    return response;
  }

  Environment& environment_;
  FakeQueue& queue_;
};

struct GatewayProgram {
  GatewayProgram(Environment& environment, const NodeAgentOptions& agent_options,
                 const BatchWorkerOptions& worker_options)
      : agent(environment, agent_options),
        backend(environment),
        worker(environment, agent, backend, worker_options) {
    agent.Start();
    worker.Start();
  }
  NodeAgent agent;
  FakeBackend backend;
  BatchWorker worker;
};

class BatchWorkerTest : public testing::Test {
 protected:
  BatchWorkerTest() {
    agent_options.role = proto::ROLE_GATEWAY;
    agent_options.coordinators = AddFakeCoordinators(world, control);
    for (FakeQueue* queue : {&q1, &q2}) {
      const std::string name = queue == &q1 ? "q1" : "q2";
      SimulatedMachine& machine = world.AddMachine(name, "10.0.2." + name.substr(1));
      machine.SetProgram([queue](Environment& environment, DataFolder&) {
        return std::make_shared<FakeQueueNode>(environment, *queue);
      });
      machine.Start();
      proto::Server* server = control.fleet.add_servers();
      server->set_node_id(queue == &q1 ? 101 : 102);
      server->mutable_peer_endpoint()->set_host(machine.endpoint().host);
      server->mutable_peer_endpoint()->set_port(machine.endpoint().port);
    }
    SetOwner(101);
    SetRoute("audit", true);
    SetRoute("unlock", false);
    world.AddMachine("g", "10.0.0.1").SetProgram([this](Environment& environment, DataFolder&) {
      auto program = std::make_shared<GatewayProgram>(environment, agent_options, options);
      gateway = program.get();
      gateway->backend.outcome.executed = proto::EXECUTED_YES;
      gateway->backend.outcome.succeeded = true;
      gateway->backend.outcome.answer.set_text("done");
      return program;
    });
  }

  void SetOwner(std::uint64_t node) {
    control.fleet.clear_partitions();
    control.fleet.add_partitions()->set_owner(node);
    control.fleet.set_to_version(control.fleet.to_version() + 1);
  }
  void SetRoute(const std::string& name, bool idempotent) {
    proto::ConfigurationChange change;
    change.mutable_set_route()->set_name(name);
    change.mutable_set_route()->set_backend("model");
    change.mutable_set_route()->set_idempotent(idempotent);
    AddChange(change);
  }
  /// Adds or replaces a batch route of the host "shop.example".
  void SetHttpRoute(const std::string& name, const std::string& prefix,
                    const std::string& backend) {
    proto::ConfigurationChange change;
    proto::Route& route = *change.mutable_set_route();
    route.set_name(name);
    route.set_backend_kind(proto::BACKEND_KIND_HTTP);
    route.set_host("shop.example");
    route.set_path_prefix(prefix);
    route.set_backend(backend);
    route.set_idempotent(true);
    route.set_accepts_batches(true);
    AddChange(change);
  }
  void SetPaused(bool paused) {
    proto::ConfigurationChange change;
    change.mutable_set_batch()->set_paused(paused);
    AddChange(change);
  }
  void AddChange(const proto::ConfigurationChange& change) {
    control.changes.push_back(change);
    ++control.configuration_version;
  }
  void AddWork(std::uint64_t lease, const std::string& route) {
    proto::WorkGrant grant;
    grant.set_lease_id(lease);
    grant.set_batch_id("0-b");
    grant.set_item_index(lease);
    grant.set_route(route);
    grant.set_idempotent(route == "audit");
    grant.set_start_within_ms(2000);
    q1.work.push_back(grant);
  }
  void Start() {
    world.machine("g").Start();
    ASSERT_TRUE(world.RunUntil(
        [this] { return gateway->agent.HasValidLease() && q1.acquire_requests > 0; }, seconds(5)));
  }
  bool WaitUntilRunning(std::size_t count) {
    return world.RunUntil([this, count] { return gateway->backend.runs.size() == count; },
                          seconds(2));
  }
  proto::WorkDisposition Disposition(const FakeQueue& queue, std::uint64_t lease) const {
    const auto found = queue.reports.find(lease);
    return found == queue.reports.end() ? proto::WORK_DISPOSITION_UNSPECIFIED
                                        : found->second.disposition();
  }

  FakeControl control;
  FakeQueue q1;
  FakeQueue q2;
  NodeAgentOptions agent_options;
  BatchWorkerOptions options;
  GatewayProgram* gateway = nullptr;
  SimulatedWorld world{11};
};

}  // namespace cloverbank
