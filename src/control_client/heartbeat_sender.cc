#include "control_client/heartbeat_sender.h"

#include <algorithm>
#include <utility>

#include "control_client/heartbeat_telemetry.h"

namespace cloverbank {
namespace {

/// Minimum time from one heartbeat to the next regular one. A heartbeat that confirms a new
/// configuration does not wait for it.
constexpr Duration kMinimumInterval = milliseconds(50);
/// How long after the end of the hold the sender waits for a response before it also calls another
/// coordinator.
constexpr Duration kHeartbeatGrace = milliseconds(300);

/// Whether the coordinators regard the sender's node id as dead or unknown.
bool RefusesNodeId(StatusCode code) {
  return code == StatusCode::kFenced || code == StatusCode::kNotFound;
}

}  // namespace

HeartbeatSender::HeartbeatSender(NodeContext& context, HeartbeatListener& listener)
    : context_(context), listener_(listener) {}

HeartbeatSender::~HeartbeatSender() { context_.environment.CancelTimer(timer_); }

void HeartbeatSender::Start() {
  Send(context_.options.heartbeat_hold, &HeartbeatSender::CompleteRegular);
}

void HeartbeatSender::Stop() {
  context_.environment.CancelTimer(std::exchange(timer_, 0));
  urgent_in_flight_ = false;
}

void HeartbeatSender::SendUrgent() {
  if (urgent_in_flight_ || !context_.session.node_id().valid()) {
    return;
  }
  urgent_in_flight_ = true;
  Send(Duration::zero(), &HeartbeatSender::CompleteUrgent);
}

void HeartbeatSender::Send(Duration hold, Completion complete) {
  const auto request = std::make_shared<proto::HeartbeatRequest>();
  LeaderCallOptions call;
  call.method = "coordinator.Heartbeat";
  // After a failed attempt, renewing the lease matters more than waiting for updates, so retries
  // ask the leader to answer immediately.
  call.make_body = [this, request, hold](std::uint32_t attempt) {
    *request = context_.session.MakeHeartbeat(attempt == 0 ? hold : Duration::zero());
    last_sent_ = context_.environment.Now();
    return request->SerializeAsString();
  };
  call.deadline = kLeaderSearchDeadline;
  call.attempt_deadline = context_.options.heartbeat_deadline;
  call.response_timeout = hold + kHeartbeatGrace;
  call.retry_delay = context_.options.retry_delay;
  context_.CallLeader(std::move(call), [this, request, complete](const LeaderReply& reply) {
    HandleReply(*request, reply, complete);
  });
}

void HeartbeatSender::HandleReply(const proto::HeartbeatRequest& request, const LeaderReply& reply,
                                  Completion complete) {
  const std::weak_ptr<void> registration_token = context_.registration_token();
  const bool configuration_applied = ApplyReply(request, reply);
  if (!registration_token.expired()) {
    (this->*complete)(configuration_applied);
  }
}

bool HeartbeatSender::ApplyReply(const proto::HeartbeatRequest& request, const LeaderReply& reply) {
  const Status& status = reply.reply.status;
  if (!status.ok()) {
    RecordHeartbeatFailure(context_, StatusCodeName(status.code()));
    if (RefusesNodeId(status.code())) {
      listener_.OnNodeIdRefused(status);
    }
    return false;
  }
  proto::HeartbeatResponse response;
  if (!response.ParseFromString(reply.reply.body)) {
    RecordHeartbeatFailure(context_, "malformed");
    return false;
  }
  const std::uint64_t version_before = context_.session.configuration().version();
  const HeartbeatEffects effects =
      context_.session.ApplyHeartbeat(request, {reply.sent, context_.environment.Now()}, response);
  RecordLeaseGap(context_, effects.lease_gap, version_before);
  context_.directory->UpdateMembers(ToEndpoints(response.coordinators()));
  RecordUpdateOutcome(context_, "configuration", effects.configuration);
  RecordUpdateOutcome(context_, "fleet", effects.fleet);
  listener_.OnHeartbeatApplied(effects);
  return effects.configuration == UpdateOutcome::kApplied;
}

void HeartbeatSender::CompleteRegular(bool configuration_applied) {
  const Duration wait =
      std::max(Duration::zero(), last_sent_ + kMinimumInterval - context_.environment.Now());
  context_.environment.CancelTimer(timer_);
  timer_ =
      context_.environment.ScheduleAfter(configuration_applied ? Duration::zero() : wait, [this] {
        timer_ = 0;
        Start();
      });
}

void HeartbeatSender::CompleteUrgent(bool /*configuration_applied*/) { urgent_in_flight_ = false; }

}  // namespace cloverbank
