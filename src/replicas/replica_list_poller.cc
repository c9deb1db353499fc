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
      reader_(MakeListReader(client, options_)),
      on_list_(std::move(on_list)) {}

ReplicaListPoller::~ReplicaListPoller() { environment_.CancelTimer(timer_); }

void ReplicaListPoller::Start() { Poll(); }

bool ReplicaListPoller::Fresh() const {
  return polled_ && environment_.Now() - last_queried_at_ <= options_.stale_after;
}

void ReplicaListPoller::Poll() {
  const TimePoint sent_at = environment_.Now();
  reader_->Read(options_.deadline,
                [this, alive = std::weak_ptr<bool>(alive_), sent_at](const ListReading& reading) {
                  if (!alive.expired()) {
                    OnReading(sent_at, reading);
                  }
                });
}

void ReplicaListPoller::OnReading(TimePoint sent_at, const ListReading& reading) {
  const std::string result = Apply(reading);
  environment_.metrics().Increment("gateway_replica_list_polls_total", {{"result", result}});
  polled_ = true;
  last_queried_at_ = reading.read_at.value_or(sent_at);
  ScheduleNext(sent_at, reading.next_is_long_poll);
}

std::string ReplicaListPoller::Apply(const ListReading& reading) {
  switch (reading.end) {
    case ListReadEnd::kUnchanged:
      return "unchanged";
    case ListReadEnd::kRefused:
      return "refused";
    case ListReadEnd::kNotConnected:
      return "not_connected";
    case ListReadEnd::kNoResponse:
      return "silent";
    case ListReadEnd::kMalformed:
      Log(LogLevel::kWarning, "replica_list_unusable", {{"reason", reading.reason}});
      return "malformed";
    case ListReadEnd::kRead:
      break;
  }
  const Status status = on_list_(reading.list);
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
