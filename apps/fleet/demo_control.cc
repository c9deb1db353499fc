/// @file
/// The steps of the demo for operators' transactions, refusals and failures.

#include <cstdio>
#include <fstream>
#include <thread>

#include "fleet/demo.h"
#include "json/json.h"
#include "net/event_loop.h"

namespace cloverbank {
namespace {

constexpr Duration kRetryTime = seconds(60);
constexpr Duration kRecoveryLimit = seconds(12);
constexpr Duration kBatchLimit = seconds(120);
constexpr int kFailureBatchItems = 40;
/// Results that are listed before a batch counts as half done.
constexpr std::uint64_t kHalfDoneResults = 5;
/// On a busy machine a whole batch may finish between two looks at it.
constexpr int kHalfDoneAttempts = 10;
constexpr std::uint32_t kFailureBatchTokens = 200;
constexpr std::uint32_t kNewDeadline = 12000;

std::string Milliseconds(Duration time) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(time).count()) + " ms";
}

}  // namespace

bool Demo::WithinTimeLimit(Duration time) const { return !check_times_ || time <= kRecoveryLimit; }

std::uint64_t Demo::CurrentVersion() {
  proto::GetConfigurationResponse response;
  ApiError error;
  ApiClient client = MakeClient(kRetryTime);
  client.Call("GET", "/v1/config", {}, Repeat::kSafe, &response, &error);
  return response.configuration().version();
}

proto::TransactionResult Demo::ChangeDeadline(const std::string& operation_id,
                                              std::uint64_t version, std::uint32_t deadline_ms,
                                              ApiError* error) {
  proto::GetConfigurationResponse current;
  ApiClient client = MakeClient(kRetryTime);
  client.Call("GET", "/v1/config", {}, Repeat::kSafe, &current, error);
  proto::ConfigurationTransaction transaction;
  transaction.set_operation_id(operation_id);
  transaction.set_expected_version(version);
  transaction.set_author("demo");
  for (const proto::Route& route : current.configuration().routes()) {
    if (route.name() == routes_.streamed) {
      proto::Route* changed = transaction.add_changes()->mutable_set_route();
      *changed = route;
      changed->set_deadline_ms(deadline_ms);
    }
  }
  proto::TransactionResult result;
  client.Call("POST", "/v1/config/transactions", ToJson(transaction), Repeat::kSafe, &result,
              error);
  return result;
}

void Demo::ConfigurationChange() {
  std::printf("== configuration change\n");
  const std::uint64_t version = CurrentVersion();
  ApiError error;
  const TimePoint begin = EventLoop::Now();
  const auto result = ChangeDeadline("demo-change", version, kNewDeadline, &error);
  Report(result.version() == version + 1 && result.in_force_at_ms() != 0,
         "version " + std::to_string(version + 1) + " acknowledged as in force after " +
             Milliseconds(EventLoop::Now() - begin) + " " + error.error.message());
  const auto resent = ChangeDeadline("demo-change", version, kNewDeadline, &error);
  Report(resent.version() == result.version() && result.version() != 0,
         "the same transaction sent again gets the same result: version " +
             std::to_string(resent.version()));
}

void Demo::Refusals() {
  std::printf("== refusals\n");
  const std::uint64_t version = CurrentVersion();
  ApiClient client = MakeClient(kRetryTime);
  ApiError error;
  ChangeDeadline("demo-stale", version - 1, kNewDeadline, &error);
  Report(error.http_status == 409, "stale version: " + error.error.message());
  ChangeDeadline("demo-invalid", version, 0, &error);
  std::string problems;
  for (const std::string& problem : error.error.problems()) {
    problems += " [" + problem + "]";
  }
  Report(error.http_status == 422 && !problems.empty(),
         "invalid change: " + error.error.message() + problems);
  client.Call("POST", "/v1/config/transactions", "{\"operation_id\":", Repeat::kNever, nullptr,
              &error);
  Report(error.http_status == 400, "bad JSON: " + error.error.message());
  client.Call("POST", "/v1/call/no-such-route", "{\"prompt\":\"x\"}", Repeat::kNever, nullptr,
              &error);
  Report(error.http_status == 404, "unknown route: " + error.error.message());
  Report(CurrentVersion() == version, "nothing changed: still version " + std::to_string(version));
}

std::string Demo::MachineAt(const proto::Endpoint& endpoint) const {
  for (const DeployedMachine& machine : fleet_.deployment().machines) {
    if (machine.address == endpoint.host()) {
      return machine.name;
    }
  }
  return {};
}

void Demo::KillLeadingCoordinator() {
  std::printf("== kill -9 the leading coordinator\n");
  proto::GetFleetStatusResponse status;
  ApiError error;
  ApiClient client = MakeClient(kRetryTime);
  client.Call("GET", "/v1/status", {}, Repeat::kSafe, &status, &error);
  std::string leader;
  for (const proto::CoordinatorMember& member : status.coordinators()) {
    if (member.leader()) {
      leader = MachineAt(member.endpoint());
    }
  }
  const std::uint64_t version = CurrentVersion();
  const Status killed = fleet_.Kill(leader);
  const TimePoint begin = EventLoop::Now();
  Report(killed.ok(), "killed " + leader + " " + killed.message());
  const auto result = ChangeDeadline("demo-after-kill", version, kNewDeadline + 1, &error);
  const Duration change_time = EventLoop::Now() - begin;
  Report(result.version() == version + 1 && WithinTimeLimit(change_time),
         "the next change is in force as version " + std::to_string(result.version()) + " after " +
             Milliseconds(change_time) + " " + error.error.message());
  Report(ServiceCallWorks("after-kill", kRetryTime),
         "live calls are served " + Milliseconds(EventLoop::Now() - begin) + " after the kill");
  Report(fleet_.Start(leader).ok() && fleet_.WaitReady(kRetryTime).ok(),
         leader + " is back and ready");
}

std::string Demo::OwnerOf(const std::string& batch_id) {
  ApiClient client = MakeClient(kRetryTime);
  ApiError error;
  proto::GetFleetStatusResponse status;
  client.Call("GET", "/v1/status", {}, Repeat::kSafe, &status, &error);
  const std::uint64_t partition = std::strtoull(batch_id.c_str(), nullptr, 10);
  for (const proto::Partition& candidate : status.partitions()) {
    for (const proto::Server& server : status.servers()) {
      if (candidate.partition_id() == partition && server.node_id() == candidate.owner()) {
        return server.machine();
      }
    }
  }
  return {};
}

Demo::HalfDoneBatch Demo::SubmitHalfDoneBatch() {
  ApiClient client = MakeClient(kRetryTime);
  ApiError error;
  HalfDoneBatch batch;
  for (int attempt = 1; attempt <= kHalfDoneAttempts; ++attempt) {
    const std::string suffix = attempt == 1 ? "" : "-" + std::to_string(attempt);
    batch.id = Submit("demo-failure" + suffix, kFailureBatchItems, kFailureBatchTokens);
    batch.owner = OwnerOf(batch.id);
    proto::BatchStatus progress;
    const TimePoint wait_end = EventLoop::Now() + kBatchLimit;
    do {
      std::this_thread::sleep_for(milliseconds(50));
      client.Call("GET", "/v1/batches/" + batch.id, {}, Repeat::kSafe, &progress, &error);
    } while (progress.succeeded() < kHalfDoneResults && EventLoop::Now() < wait_end);
    batch.results = ResultsOf(batch.id);
    if (batch.results.size() < kFailureBatchItems) {
      break;
    }
  }
  return batch;
}

void Demo::KillBatchOwner() {
  std::printf("== kill -9 the queue node that owns a half-done batch\n");
  const auto [batch_id, owner, before] = SubmitHalfDoneBatch();
  ApiClient client = MakeClient(kRetryTime);
  ApiError error;
  proto::BatchStatus progress;
  const Status killed = fleet_.Kill(owner);
  const TimePoint begin = EventLoop::Now();
  Report(killed.ok() && before.size() < kFailureBatchItems,
         "killed " + owner + " with " + std::to_string(before.size()) + " of " +
             std::to_string(kFailureBatchItems) + " results listed " + killed.message());
  const bool back =
      client.Call("GET", "/v1/batches/" + batch_id, {}, Repeat::kSafe, &progress, &error);
  const Duration recovery = EventLoop::Now() - begin;
  Report(back && WithinTimeLimit(recovery),
         "its partition is served by another queue node after " + Milliseconds(recovery));
  const bool finished = WaitFinished(batch_id, kBatchLimit, &progress);
  Report(finished, "the batch finished: " + std::to_string(progress.succeeded()) + " succeeded, " +
                       std::to_string(progress.unknown()) + " unknown");
  CheckResults(batch_id, kFailureBatchItems, before);
  Report(fleet_.Start(owner).ok() && fleet_.WaitReady(kRetryTime).ok(),
         owner + " is back and ready");
}

void Demo::CheckWitnessLog() {
  std::printf("== calls that the replicas ran\n");
  std::ifstream file(fleet_.folder().WitnessFile());
  std::map<std::string, int> starts;
  std::string line;
  int repeated = 0;
  while (std::getline(file, line)) {
    const auto field = [&](const std::string& name) {
      const std::string mark = "\"" + name + "\":\"";
      const auto begin = line.find(mark);
      if (begin == std::string::npos) {
        return std::string();
      }
      const auto value = begin + mark.size();
      return line.substr(value, line.find('"', value) - value);
    };
    const bool model_call = field("replica").find(routes_.service) == std::string::npos;
    if (field("event") == "start" && model_call && ++starts[field("call_id")] == 2) {
      ++repeated;
    }
  }
  Report(repeated == 0, std::to_string(starts.size()) + " calls ran, " + std::to_string(repeated) +
                            " of them more than once");
}

}  // namespace cloverbank
