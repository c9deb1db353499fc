#include "control_client/leader_call.h"

#include <algorithm>
#include <utility>

namespace cloverbank {
namespace {

/// Maximum number of consecutive hints that a call follows without delay. It follows further hints
/// only after a back-off, since two members may name each other as the leader.
constexpr std::uint32_t kMaximumRedirects = 3;
constexpr Duration kMaximumBackoff = milliseconds(150);

bool CanRetry(StatusCode code) {
  return code == StatusCode::kUnavailable || code == StatusCode::kUnknownOutcome;
}

}  // namespace

void LeaderCall::Start(Environment& environment, std::shared_ptr<CoordinatorDirectory> directory,
                       std::weak_ptr<void> owner, LeaderCallOptions options,
                       std::function<void(LeaderReply)> done) {
  auto call = std::make_shared<LeaderCall>(environment, std::move(directory), std::move(owner),
                                           std::move(options), std::move(done));
  call->deadline_timer_ = environment.ScheduleAfter(call->options_.deadline, [call] {
    if (!call->owner_.expired()) {
      call->FinishAtDeadline();
    }
  });
  call->AttemptNext();
}

LeaderCall::LeaderCall(Environment& environment, std::shared_ptr<CoordinatorDirectory> directory,
                       std::weak_ptr<void> owner, LeaderCallOptions options,
                       std::function<void(LeaderReply)> done)
    : environment_(environment),
      directory_(std::move(directory)),
      owner_(std::move(owner)),
      options_(std::move(options)),
      done_(std::move(done)),
      deadline_(environment.Now() + options_.deadline),
      backoff_(options_.retry_delay) {}

void LeaderCall::AttemptNext() {
  for (const Endpoint& candidate : directory_->ListCandidates()) {
    if (!in_flight_.contains(candidate)) {
      SendTo(candidate);
      return;
    }
  }
  ScheduleNext(NextBackoff());  // Every candidate has an attempt in flight, or none is known.
}

void LeaderCall::SendTo(const Endpoint& target) {
  const TimePoint sent = environment_.Now();
  if (sent >= deadline_) {
    return;  // The deadline timer ends the call.
  }
  in_flight_.insert(target);
  std::string body = options_.make_body(attempts_);
  ++attempts_;
  ScheduleNext(options_.response_timeout);
  environment_.CallPeer(target, options_.method, std::move(body),
                        std::min(options_.attempt_deadline, deadline_ - sent),
                        [call = shared_from_this(), target, sent](PeerReply reply) {
                          if (!call->owner_.expired()) {
                            call->HandleReply(target, sent, std::move(reply));
                          }
                        });
}

void LeaderCall::HandleReply(const Endpoint& from, TimePoint sent, PeerReply reply) {
  in_flight_.erase(from);
  if (finished_) {
    return;
  }
  if (reply.status.code() == StatusCode::kNotLeader) {
    HandleRedirect(from, reply.status);
    return;
  }
  if (CanRetry(reply.status.code())) {
    HandleFailure(from, reply.status);
    return;
  }
  directory_->RecordAnswer(from);
  Finish({std::move(reply), sent});
}

void LeaderCall::HandleRedirect(const Endpoint& from, const Status& status) {
  last_failure_ = status;
  const Endpoint hint = ParseEndpoint(status.detail());
  directory_->RecordRedirect(from, hint);
  ++redirects_;
  const bool follow =
      hint.valid() && hint != from && redirects_ <= kMaximumRedirects && !in_flight_.contains(hint);
  ScheduleNext(follow ? Duration::zero() : NextBackoff());
}

void LeaderCall::HandleFailure(const Endpoint& from, const Status& status) {
  last_failure_ = status;
  redirects_ = 0;
  outcome_unknown_ = outcome_unknown_ || status.code() == StatusCode::kUnknownOutcome;
  directory_->RecordFailure(from);
  ScheduleNext(NextBackoff());
}

void LeaderCall::ScheduleNext(Duration delay) {
  environment_.CancelTimer(next_timer_);
  next_timer_ = environment_.ScheduleAfter(delay, [call = shared_from_this()] {
    if (call->finished_ || call->owner_.expired()) {
      return;
    }
    call->next_timer_ = 0;
    call->AttemptNext();
  });
}

Duration LeaderCall::NextBackoff() {
  const Duration longest = backoff_;
  backoff_ = std::min(backoff_ * 2, std::max(kMaximumBackoff, options_.retry_delay));
  const auto half = static_cast<std::uint64_t>((longest / 2).count());
  const std::uint64_t jitter = half == 0 ? 0 : environment_.Random() % half;
  return longest - Duration(static_cast<Duration::rep>(jitter));
}

void LeaderCall::FinishAtDeadline() {
  const bool unknown = outcome_unknown_ || !in_flight_.empty();
  const StatusCode code = unknown ? StatusCode::kUnknownOutcome : StatusCode::kUnavailable;
  std::string message =
      "no coordinator leader answered " + options_.method + " within " +
      std::to_string(std::chrono::duration_cast<milliseconds>(options_.deadline).count()) + " ms";
  if (!last_failure_.ok()) {
    message += "; last failure: " + last_failure_.ToString();
  }
  deadline_timer_ = 0;
  Finish({{Status(code, std::move(message)), {}}, environment_.Now()});
}

void LeaderCall::Finish(LeaderReply reply) {
  if (finished_) {
    return;
  }
  finished_ = true;
  environment_.CancelTimer(next_timer_);
  environment_.CancelTimer(deadline_timer_);
  auto done = std::move(done_);
  done_ = nullptr;
  done(std::move(reply));
}

}  // namespace cloverbank
