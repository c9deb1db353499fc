#pragma once
/// @file
/// Runs one admitted call to its end: chooses a replica, waits for capacity, sends the request,
/// retries where that is allowed, and reports whether the call was executed.
///
/// Invariants: `CallDone` runs exactly once unless the call is cancelled; nothing is sent after it;
/// EXECUTED_NO is reported only if no attempt may have run. Threads: the owner's event loop only.

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "admission/call_queue.h"
#include "calls/call_exchange.h"
#include "calls/call_failure.h"
#include "calls/retry_policy.h"
#include "calls/serving_permission.h"
#include "routes/route_reference.h"

namespace cloverbank {

struct CallSpec {
  /// What the client sent to pick the route; resolved again before each attempt.
  proto::RouteReference route;
  std::string route_name;  ///< When the call was admitted; for logs and metrics only.
  /// Of a batch item: the back end at which it takes a slot. The runner chooses that of a live
  /// call.
  std::string backend;
  proto::Priority priority = proto::PRIORITY_STANDARD;
  bool idempotent = false;  ///< Whether the route was idempotent when the call was admitted.
  /// Maximum number of replicas that may run the call; 0: the gateway's default.
  std::uint32_t maximum_attempts = 0;
  std::shared_ptr<CallExchange> exchange;
  TimePoint deadline;    ///< End of the whole call.
  TimePoint wait_until;  ///< End of the wait for capacity, if that is before the deadline.
  WorkKind work = WorkKind::kLive;
  /// Whether a batch item may start now, e.g. whether its work lease holds; empty means always.
  std::function<bool()> can_start;
};

struct CallResult {
  bool succeeded = false;
  proto::CallError error;  ///< Set when not succeeded.
  int http_status = 200;   ///< Status for the client; 200 when succeeded.
};

using CallDone = std::function<void(CallResult)>;

/// @return the HTTP status of a failed call: 503 if it did not run, 502 if it ran, 504 if that is
/// unknown.
int HttpStatusForExecuted(proto::Executed executed);

/// The parts of the gateway that runners use.
struct CallContext {
  AttemptContext attempt;
  const ServingPermission& permission;
  CallQueue& queue;
  RetryBudget& retry_budget;
  const RetryOptions& retry_options;
};

class CallRunner final : public WaitingCallOwner, public std::enable_shared_from_this<CallRunner> {
 public:
  CallRunner(const CallContext& context, CallSpec spec, CallDone done);
  /// Cancels a call that has not ended.
  ~CallRunner() override;
  CallRunner(const CallRunner&) = delete;
  CallRunner& operator=(const CallRunner&) = delete;

  /// Schedules the first attempt; runs no callback before it returns.
  void Start();
  /// Ends the call: nothing more is sent, a running attempt is cancelled, and no callback runs
  /// afterwards.
  /// @return whether the call was executed so far, as far as is known.
  proto::Executed Cancel();
  /// Ends the call with `failure`, wherever it is; `CallDone` learns whether it was executed.
  void EndWith(CallFailure failure);

  // WaitingCallOwner
  ServeResult ServeFromQueue() override;
  void OnQueueRefusal(const RefusalNotice& notice) override;

  const std::string& call_id() const { return spec_.exchange->call_id(); }

 private:
  enum class TrySendResult : std::uint8_t {
    kSent,
    kNoCapacity,  ///< No replica can take the call now; it may wait.
    kEnded,       ///< The call ended with a failure.
  };

  /// Sends the call, or queues it if there is no capacity or other calls of its back end wait.
  void TrySendOrWait();
  TrySendResult TrySend();
  /// Sets the back end of the call to one that the route allows. A batch item stays at its own as
  /// long as the route allows that.
  void ChooseBackendOf(const proto::Route& route);
  /// @return the route of the call by the current configuration, or nullptr.
  const proto::Route* FindRoute() const;
  /// @param route nullptr if the configuration no longer has it.
  /// @return why the call must end instead of being sent; nothing if it may be sent.
  std::optional<CallFailure> CheckPreconditions(const proto::Route* route) const;
  /// Whether the route accepts batches and this is a live call that it would match by its path.
  bool IsBatchOnly(const proto::Route& route) const;
  RoutingQuery MakeRoutingQuery(const proto::Route& route) const;
  void Send(const ReplicaRecord& replica, const proto::Route& route);
  AttemptRequest MakeAttemptRequest(const ReplicaRecord& replica, const proto::Route& route);
  ExchangeEvents MakeExchangeEvents();
  /// Counts and logs that the call is sent again, with what the attempt before showed.
  void RecordSentAgain(const AttemptRequest& request, bool repeatable) const;
  /// Evaluated immediately before the first byte of an attempt is sent.
  bool CanSendNow(const ReplicaUse& use) const;
  /// Puts a live call into the queue. A batch item does not wait: it ends with kNoCapacity.
  void WaitInQueue();
  void OnAttemptDone(const AttemptResult& result);
  void RetryOrFinish(const AttemptResult& result, const RetryDecision& decision);
  void FinishFailed(const AttemptResult& result);
  void ScheduleAttempt(Duration delay);
  void FinishWith(CallFailure failure);
  void FinishWith(std::string_view code, std::string_view message, Duration retry_after);
  void CountAbandoned(std::string_view code);
  CallResult MakeFailedResult(proto::Executed executed, std::string_view code,
                              std::string_view message, Duration retry_after) const;
  void Finish(CallResult result);
  /// Whether the call was idempotent when it was admitted and is so by `route`.
  bool IsRepeatable(const proto::Route& route) const;
  /// Whether no attempt may have run the call yet, or it may run again by `route`. A route may stop
  /// being idempotent while the call waits for its next attempt.
  bool MayRunNow(const proto::Route& route) const;
  /// Whether the call is idempotent by three configurations: the one when it was admitted, the one
  /// when the current attempt was sent, and the current one.
  bool IsRepeatableNow() const;

  CallContext context_;
  CallSpec spec_;
  CallDone on_done_;
  const RetryOptions retry_options_;  ///< The gateway's, adjusted to `CallSpec::maximum_attempts`.
  RetryState retry_;
  /// Random number that assigns the call to a back end of a split route.
  const std::uint64_t split_random_;
  /// Ids of the replicas used since the last wait; excluded from the next choice.
  std::vector<std::string> attempted_;
  /// Addresses of all replicas that the call was sent to. Connections are pooled by address, and a
  /// replica that starts again keeps its address under another id.
  std::set<Endpoint> sent_to_;
  std::shared_ptr<CallAttempt> attempt_;
  /// How the attempt before the current one ended.
  struct EndedAttempt {
    std::string replica;
    AttemptEnd end = AttemptEnd::kUnknown;
    std::string reason;
  };
  EndedAttempt last_ended_;
  WaitId wait_id_ = 0;
  TimerId timer_ = 0;
  /// Whether the route was idempotent when the current attempt was sent.
  bool route_idempotent_ = false;
  bool done_ = false;
};

}  // namespace cloverbank
