#include "fleet/demo.h"

#include <cstdio>
#include <thread>

#include "emulation/model_replica.h"
#include "json/json.h"
#include "net/event_loop.h"

namespace cloverbank {
namespace {

constexpr Duration kReadyLimit = seconds(60);
constexpr Duration kRetryTime = seconds(20);
constexpr Duration kBatchLimit = seconds(90);
constexpr int kBatchItems = 40;
constexpr std::uint32_t kBatchTokens = 16;
constexpr std::uint32_t kResultsPerPage =
    15;  // Makes several pages of 40 items, so that cursors are used.

std::string Milliseconds(Duration time) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(time).count()) + " ms";
}

DemoRoutes FindRoutes(const proto::ConfigurationTransaction& first) {
  DemoRoutes routes;
  for (const proto::ConfigurationChange& change : first.changes()) {
    const proto::Route& route = change.set_route();
    if (change.has_set_tenant() && routes.tenant.empty()) {
      routes.tenant = change.set_tenant().name();
    }
    if (!change.has_set_route()) {
      continue;
    }
    if (route.accepts_batches()) {
      if (!route.idempotent() && routes.batch.empty()) {
        routes.batch = route.name();
      }
    } else if (route.backend_kind() == proto::BACKEND_KIND_SERVICE) {
      routes.service = route.name();
    } else if (routes.streamed.empty()) {
      routes.streamed = route.name();
    }
  }
  return routes;
}

}  // namespace

Demo::Demo(Fleet& fleet, std::string configuration_json, bool check_times)
    : fleet_(fleet),
      configuration_json_(std::move(configuration_json)),
      check_times_(check_times) {}

void Demo::Report(bool passed, const std::string& what) {
  std::printf("%s %s\n", passed ? "  ok  " : " FAIL ", what.c_str());
  std::fflush(stdout);
  all_passed_ = all_passed_ && passed;
}

ApiClient Demo::MakeClient(Duration patience) const { return {fleet_.Gateways(), patience}; }

bool Demo::Run(bool with_failures) {
  if (StartFleet() && ApplyFirstConfiguration()) {
    LiveCalls();
    Batch();
    ConfigurationChange();
    Refusals();
    if (with_failures) {
      KillLeadingCoordinator();
      KillBatchOwner();
    }
    CheckWitnessLog();
  }
  std::printf("%s\n", all_passed_ ? "all checks passed" : "some checks failed");
  return all_passed_;
}

bool Demo::StartFleet() {
  const Deployment& deployment = fleet_.deployment();
  std::printf("== %s: %zu machines, %zu replicas\n", deployment.name.c_str(),
              deployment.machines.size(), deployment.replicas.size());
  const TimePoint begin = EventLoop::Now();
  Status status = fleet_.StartAll();
  if (status.ok()) {
    status = fleet_.WaitReady(kReadyLimit);
  }
  Report(status.ok(), status.ok()
                          ? "every machine is ready after " + Milliseconds(EventLoop::Now() - begin)
                          : status.ToString());
  return status.ok();
}

bool Demo::ApplyFirstConfiguration() {
  proto::ConfigurationTransaction first;
  if (Status status = FromJson(configuration_json_, &first); !status.ok()) {
    Report(false, "configuration.json: " + status.message());
    return false;
  }
  routes_ = FindRoutes(first);
  proto::TransactionResult result;
  ApiError error;
  ApiClient client = MakeClient(kRetryTime);
  const TimePoint begin = EventLoop::Now();
  const bool applied = client.Call("POST", "/v1/config/transactions", configuration_json_,
                                   Repeat::kSafe, &result, &error);
  for (const std::string& problem : error.error.problems()) {
    Report(false, "first configuration: " + problem);
  }
  Report(applied, applied ? "first configuration is in force as version " +
                                std::to_string(result.version()) + " after " +
                                Milliseconds(EventLoop::Now() - begin)
                          : "first configuration: " + error.error.message());
  return applied;
}

std::string Demo::StreamBody(const std::string& prompt, std::uint32_t tokens) {
  proto::CallRequest call;
  call.set_prompt(prompt);
  call.set_prefix_key("demo");
  call.set_max_tokens(tokens);
  call.set_stream(true);
  HttpRequest request = MakeRequest("POST", "/v1/call/" + routes_.streamed, ToJson(call));
  request.headers.emplace_back("x-tenant", routes_.tenant);
  const TimePoint deadline = EventLoop::Now() + kRetryTime;
  while (true) {
    std::string body;
    const HttpOutcome outcome =
        fleet_.http().Stream(fleet_.Gateways().front(), request, kRetryTime,
                             [&](const std::string& bytes) { body += bytes; });
    proto::ErrorBody refusal;
    const bool not_run = FromJson(body, &refusal, UnknownFields::kIgnore).ok() &&
                         refusal.error().executed() == proto::EXECUTED_NO;
    if (!not_run || EventLoop::Now() >= deadline) {
      return body.empty() ? outcome.reason : body;
    }
    // The call was not executed, so it may be sent again after the time that the gateway names.
    std::this_thread::sleep_for(milliseconds(refusal.error().retry_after_ms()));
  }
}

bool Demo::StreamedCallCompletes(const std::string& prompt, std::uint32_t tokens,
                                 std::string* text) {
  const std::string body = StreamBody(prompt, tokens);
  bool ended = false;
  std::uint64_t next = 0;
  for (std::size_t begin = 0; begin < body.size();) {
    const std::size_t end = std::min(body.find('\n', begin), body.size());
    proto::StreamChunk chunk;
    const bool read = FromJson(body.substr(begin, end - begin), &chunk).ok();
    if (!read || chunk.has_error() || chunk.sequence() != next) {
      *text = body;
      return false;
    }
    ++next;
    *text += chunk.text();
    ended = ended || chunk.end();
    begin = end + 1;
  }
  return ended && *text == ExpectedAnswer(prompt, tokens);
}

bool Demo::ServiceCallWorks(const std::string& prompt, Duration patience) {
  proto::CallRequest call;
  call.set_prompt(prompt);
  proto::CallAnswer answer;
  ApiError error;
  ApiClient client = MakeClient(patience);
  const bool answered = client.Call("POST", "/v1/call/" + routes_.service, ToJson(call),
                                    Repeat::kSafe, &answer, &error);
  return answered && answer.text() == ExpectedAnswer(prompt, 1);
}

void Demo::LiveCalls() {
  std::printf("== live calls\n");
  std::string text;
  const bool completed = StreamedCallCompletes("Summarise the save of this evening.", 12, &text);
  Report(completed, "streamed call on " + routes_.streamed + ": " + text);
  Report(ServiceCallWorks("object-17", kRetryTime),
         "idempotent call on " + routes_.service + " answered");
}

std::string Demo::Submit(const std::string& key, int items, std::uint32_t tokens) {
  proto::SubmitBatch batch;
  batch.set_tenant(routes_.tenant);
  batch.set_idempotency_key(key);
  batch.set_route(routes_.batch);
  for (int index = 0; index < items; ++index) {
    proto::BatchItem* item = batch.add_items();
    item->set_custom_id("item-" + std::to_string(index));
    item->set_prompt("Audit shelf " + std::to_string(index) + " of " + key);
    item->set_prefix_key("audit-instructions");
    item->set_max_tokens(tokens);
  }
  proto::BatchStatus status;
  ApiError error;
  ApiClient client = MakeClient(kRetryTime);
  const TimePoint begin = EventLoop::Now();
  const bool accepted =
      client.Call("POST", "/v1/batches", ToJson(batch), Repeat::kSafe, &status, &error);
  Report(accepted, accepted
                       ? "batch of " + std::to_string(items) + " accepted as " + status.batch_id() +
                             " after " + Milliseconds(EventLoop::Now() - begin)
                       : "batch: " + error.error.message());
  return status.batch_id();
}

bool Demo::WaitFinished(const std::string& batch_id, Duration limit, proto::BatchStatus* status) {
  const TimePoint deadline = EventLoop::Now() + limit;
  ApiClient client = MakeClient(kRetryTime);
  ApiError error;
  while (EventLoop::Now() < deadline) {
    const bool read =
        client.Call("GET", "/v1/batches/" + batch_id, {}, Repeat::kSafe, status, &error);
    if (read && status->state() != proto::BATCH_STATE_RUNNING) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

std::vector<proto::ItemResult> Demo::ResultsOf(const std::string& batch_id) {
  std::vector<proto::ItemResult> results;
  ApiClient client = MakeClient(kRetryTime);
  ApiError error;
  std::string cursor;
  proto::ResultList page;
  do {
    const std::string path = "/v1/batches/" + batch_id +
                             "/results?limit=" + std::to_string(kResultsPerPage) +
                             "&cursor=" + cursor;
    if (!client.Call("GET", path, {}, Repeat::kSafe, &page, &error)) {
      Report(false, "results of " + batch_id + ": " + error.error.message());
      break;
    }
    results.insert(results.end(), page.results().begin(), page.results().end());
    cursor = page.next_cursor();
  } while (page.more());
  return results;
}

void Demo::CheckResults(const std::string& batch_id, int items,
                        const std::vector<proto::ItemResult>& earlier_results) {
  const std::vector<proto::ItemResult> results = ResultsOf(batch_id);
  std::set<std::string> ids;
  std::map<proto::ItemOutcome, int> outcomes;
  bool right_text = true;
  for (const proto::ItemResult& result : results) {
    ids.insert(result.custom_id());
    ++outcomes[result.outcome()];
    const std::string prompt_index = std::to_string(result.item_index());
    right_text = right_text &&
                 (result.outcome() != proto::ITEM_OUTCOME_SUCCEEDED || !result.output().empty()) &&
                 result.custom_id() == "item-" + prompt_index;
  }
  bool prefix = results.size() >= earlier_results.size();
  for (std::size_t index = 0; prefix && index < earlier_results.size(); ++index) {
    prefix = ToJson(results[index]) == ToJson(earlier_results[index]);
  }
  Report(results.size() == static_cast<std::size_t>(items) && ids.size() == results.size(),
         std::to_string(results.size()) + " results of " + std::to_string(ids.size()) +
             " items listed by cursor: " + std::to_string(outcomes[proto::ITEM_OUTCOME_SUCCEEDED]) +
             " succeeded, " + std::to_string(outcomes[proto::ITEM_OUTCOME_UNKNOWN]) + " unknown, " +
             std::to_string(outcomes[proto::ITEM_OUTCOME_FAILED]) + " failed");
  Report(right_text, "each result belongs to its item");
  if (!earlier_results.empty()) {
    Report(prefix, "the " + std::to_string(earlier_results.size()) +
                       " results listed before are the first ones now, unchanged");
  }
}

void Demo::Batch() {
  std::printf("== batch\n");
  const std::string batch_id = Submit("demo-1", kBatchItems, kBatchTokens);
  proto::BatchStatus status;
  const TimePoint begin = EventLoop::Now();
  const bool finished = !batch_id.empty() && WaitFinished(batch_id, kBatchLimit, &status);
  Report(finished, "batch finished after " + Milliseconds(EventLoop::Now() - begin));
  CheckResults(batch_id, kBatchItems, {});
  Report(Submit("demo-1", kBatchItems, kBatchTokens) == batch_id,
         "submitting the same batch again returns the same batch id");
}

}  // namespace cloverbank
