#include "gateway/replica_list_poller.h"

#include <utility>

#include "base/logging.h"
#include "json/json.h"

namespace cloverbank {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpNotModified = 304;
constexpr std::string_view kUnchanged = "unchanged";
constexpr std::string_view kChanged = "changed";

}  // namespace

ReplicaListPoller::ReplicaListPoller(Environment& environment, HttpClient& client,
                                     ReplicaListOptions options, ListHandler on_list)
    : environment_(environment),
      client_(client),
      options_(std::move(options)),
      on_list_(std::move(on_list)) {}

ReplicaListPoller::~ReplicaListPoller() {
  environment_.CancelTimer(timer_);
  if (call_ != nullptr) {
    call_->Cancel();
  }
}

void ReplicaListPoller::Start() { Poll(); }

bool ReplicaListPoller::Fresh() const {
  return polled_ && environment_.Now() - last_ended_sent_at_ <= options_.stale_after;
}

void ReplicaListPoller::Poll() {
  HttpRequest request;
  request.method = "GET";
  request.path = options_.path;
  if (!etag_.empty()) {
    request.headers.emplace_back("If-None-Match", etag_);
  }
  const TimePoint sent_at = environment_.Now();
  const std::weak_ptr<bool> alive = alive_;
  call_ = client_.Call(options_.endpoint, std::move(request), options_.deadline,
                       [this, alive, sent_at](const HttpOutcome& outcome) {
                         if (!alive.expired()) {
                           OnOutcome(sent_at, outcome);
                         }
                       });
}

void ReplicaListPoller::OnOutcome(TimePoint sent_at, const HttpOutcome& outcome) {
  const std::string result = Take(outcome);
  environment_.metrics().Increment("gateway_replica_list_polls_total", {{"result", result}});
  polled_ = true;
  last_ended_sent_at_ = sent_at;
  ScheduleNext(sent_at);
}

std::string ReplicaListPoller::Take(const HttpOutcome& outcome) {
  if (outcome.kind != HttpOutcomeKind::kAnswered) {
    return outcome.kind == HttpOutcomeKind::kNotSent ? "not_connected" : "silent";
  }
  if (outcome.response.status == kHttpNotModified) {
    return std::string(kUnchanged);
  }
  if (outcome.response.status != kHttpOk) {
    return "refused";
  }
  proto::ReplicaList list;
  Status status = FromJson(outcome.response.body, &list, UnknownFields::kIgnore);
  if (status.ok()) {
    status = on_list_(list);
  }
  if (!status.ok()) {
    Log(LogLevel::kWarning, "replica_list_unusable", {{"reason", status.message()}});
    return "malformed";
  }
  etag_ = std::string(FindHeader(outcome.response.headers, "etag"));
  loaded_ = true;
  return std::string(kChanged);
}

void ReplicaListPoller::ScheduleNext(TimePoint sent_at) {
  const Duration since = environment_.Now() - sent_at;
  const Duration delay = since >= options_.interval ? Duration::zero() : options_.interval - since;
  timer_ = environment_.ScheduleAfter(delay, [this] { Poll(); });
}

}  // namespace cloverbank
