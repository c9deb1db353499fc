#include "gateway/batch_owner_call.h"

#include <algorithm>
#include <utility>

#include "control_client/batch_partitions.h"

namespace cloverbank {
namespace {

constexpr Duration kPollInterval = milliseconds(50);
constexpr Duration kRetryDelay = milliseconds(100);

/// What a reply means for the call.
enum class ReplyOutcome : std::uint8_t {
  kFinal,          ///< The owner's result, which ends the call.
  kNotExecuted,    ///< Not executed; the call is retried.
  kMaybeExecuted,  ///< Possibly executed; the call is retried.
};

ReplyOutcome ClassifyReply(const Status& status) {
  switch (status.code()) {
    case StatusCode::kUnavailable:
    case StatusCode::kNotLeader:
      return ReplyOutcome::kNotExecuted;
    case StatusCode::kConflict:
      return status.detail() == kNotOwnerDetail || status.detail() == kQuotaOwnerUnavailableDetail
                 ? ReplyOutcome::kNotExecuted
                 : ReplyOutcome::kFinal;
    case StatusCode::kUnknownOutcome:
    case StatusCode::kFenced:
    case StatusCode::kStaleEpoch:
    case StatusCode::kLeaseExpired:
    case StatusCode::kCancelled:
      return ReplyOutcome::kMaybeExecuted;
    default:
      return ReplyOutcome::kFinal;
  }
}

}  // namespace

void BatchOwnerCall::Start(Environment& environment, NodeAgent& agent, std::weak_ptr<void> caller,
                           OwnerCallOptions options, PeerReplyCallback done) {
  std::make_shared<BatchOwnerCall>(environment, agent, std::move(caller), std::move(options),
                                   std::move(done))
      ->Poll();
}

BatchOwnerCall::BatchOwnerCall(Environment& environment, NodeAgent& agent,
                               std::weak_ptr<void> caller, OwnerCallOptions options,
                               PeerReplyCallback done)
    : environment_(environment),
      agent_(agent),
      caller_(std::move(caller)),
      options_(std::move(options)),
      done_(std::move(done)),
      deadline_(environment.Now() + options_.deadline) {}

void BatchOwnerCall::Poll() {
  if (caller_.expired() || done_ == nullptr) {
    return;
  }
  const TimePoint now = environment_.Now();
  if (now >= deadline_) {
    const bool unknown = outcome_unknown_ || current_node_.valid();
    std::string message =
        unknown ? "the owner of batch partition " : "no owner of batch partition ";
    message += std::to_string(options_.partition.value()) +
               (unknown ? " did not respond to " : " executed ") + options_.method +
               " before the deadline";
    if (!last_failure_.ok()) {
      message += "; last error: " + last_failure_.ToString();
    }
    const StatusCode code = unknown ? StatusCode::kUnknownOutcome : StatusCode::kUnavailable;
    Finish({Status(code, std::move(message)), {}});
    return;
  }
  const proto::Server* server = agent_.fleet().OwnerOf(options_.partition);
  const bool owner_changed = server != nullptr && NodeId(server->node_id()) != current_node_;
  if (owner_changed && (current_node_.valid() || now >= retry_at_)) {
    SendTo(*server);
  }
  environment_.ScheduleAfter(std::min(kPollInterval, deadline_ - now),
                             [self = shared_from_this()] { self->Poll(); });
}

void BatchOwnerCall::SendTo(const proto::Server& server) {
  outcome_unknown_ =
      outcome_unknown_ || current_node_.valid();  // The earlier node may still execute it.
  current_node_ = NodeId(server.node_id());
  ++attempt_;
  const Endpoint endpoint{server.peer_endpoint().host(),
                          static_cast<std::uint16_t>(server.peer_endpoint().port())};
  environment_.CallPeer(endpoint, options_.method, options_.body, deadline_ - environment_.Now(),
                        [self = shared_from_this(), attempt = attempt_](PeerReply reply) {
                          if (!self->caller_.expired() && self->done_ != nullptr) {
                            self->HandleReply(attempt, std::move(reply));
                          }
                        });
}

void BatchOwnerCall::HandleReply(std::uint64_t attempt, PeerReply reply) {
  const ReplyOutcome outcome = ClassifyReply(reply.status);
  const bool current = attempt == attempt_;
  // A late success of an earlier owner ends the call; its failures are ignored.
  if (reply.status.ok() || (outcome == ReplyOutcome::kFinal && current)) {
    Finish(std::move(reply));
    return;
  }
  if (!current) {
    return;
  }
  const bool unreachable = reply.status.code() == StatusCode::kUnavailable ||
                           reply.status.code() == StatusCode::kUnknownOutcome;
  if (unreachable) {
    agent_.ReportSuspect(current_node_);
  }
  outcome_unknown_ = outcome_unknown_ || outcome == ReplyOutcome::kMaybeExecuted;
  last_failure_ = reply.status;
  current_node_ = NodeId();
  retry_at_ = environment_.Now() + kRetryDelay;
}

void BatchOwnerCall::Finish(PeerReply reply) {
  auto done = std::move(done_);
  done_ = nullptr;
  done(std::move(reply));
}

}  // namespace cloverbank
