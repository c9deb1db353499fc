#include "replicas/replica_list_poller.h"

#include <algorithm>
#include <utility>

#include "base/logging.h"

namespace cloverbank {
namespace {

/// Maximum delay from the end of a read to the start of the next one, if that one is a long poll.
constexpr Duration kLongPollGap = milliseconds(20);

}  // namespace
ReplicaListPoller::ReplicaListPoller(Environment& environment, HttpClient& client,
                                     ReplicaListOptions options, ListHandler on_list)
    : environment_(environment),
      options_(std::move(options)),
      reader_(MakeReplicaListReader(client, options_)),
      on_list_(std::move(on_list)) {}

ReplicaListPoller::~ReplicaListPoller() { environment_.CancelTimer(timer_); }

void ReplicaListPoller::Start() { Poll(); }

bool ReplicaListPoller::IsFresh() const {
  return polled_ && environment_.Now() - last_queried_at_ <= options_.stale_after;
}

void ReplicaListPoller::Poll() {
  const TimePoint sent_at = environment_.Now();
  reader_->Read(options_.deadline, [this, alive = std::weak_ptr<bool>(alive_),
                                    sent_at](const ListReadResult& read_result) {
    if (!alive.expired()) {
      OnReadResult(sent_at, read_result);
    }
  });
}

void ReplicaListPoller::OnReadResult(TimePoint sent_at, const ListReadResult& read_result) {
  const std::string result = Apply(read_result);
  environment_.metrics().Increment("gateway_replica_list_polls_total", {{"result", result}});
  polled_ = true;
  last_queried_at_ = read_result.read_at.value_or(sent_at);
  ScheduleNext(sent_at, read_result.next_is_long_poll);
}

std::string ReplicaListPoller::Apply(const ListReadResult& read_result) {
  switch (read_result.outcome) {
    case ListReadOutcome::kUnchanged:
      return "unchanged";
    case ListReadOutcome::kRefused:
      return "refused";
    case ListReadOutcome::kNotConnected:
      return "not_connected";
    case ListReadOutcome::kNoResponse:
      return "silent";
    case ListReadOutcome::kMalformed:
      Log(LogLevel::kWarning, "replica_list_unusable", {{"reason", read_result.reason}});
      return "malformed";
    case ListReadOutcome::kRead:
      break;
  }
  const Status status = on_list_(read_result.list);
  if (!status.ok()) {
    Log(LogLevel::kWarning, "replica_list_unusable", {{"reason", status.message()}});
    return "malformed";
  }
  reader_->Accepted();
  loaded_ = true;
  return "changed";
}

void ReplicaListPoller::ScheduleNext(TimePoint sent_at, bool next_is_long_poll) {
  const Duration elapsed = environment_.Now() - sent_at;
  const Duration remaining =
      elapsed >= options_.interval ? Duration::zero() : options_.interval - elapsed;
  const Duration delay = next_is_long_poll ? std::min(remaining, kLongPollGap) : remaining;
  timer_ = environment_.ScheduleAfter(delay, [this] { Poll(); });
}

}  // namespace cloverbank
