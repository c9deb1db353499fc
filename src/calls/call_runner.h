#pragma once
/// @file
/// Runs one admitted call to its end: chooses a replica, waits for capacity, sends, retries where
/// that is allowed, and reports whether it was executed.
///
/// Invariants: the `CallDone` runs exactly once unless the call is cancelled; nothing is sent after
/// it; `executed: no` is reported only if no attempt may have run. Threads: the owner's event loop
/// only.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admission/call_queue.h"
#include "calls/call_exchange.h"
#include "calls/call_failure.h"
#include "calls/retry_policy.h"
#include "calls/serving_permission.h"

namespace cloverbank {

struct CallSpec {
  std::string route;    ///< Name; looked up again before each attempt.
  std::string backend;  ///< Of the route when the call came in.
  proto::Priority priority = proto::PRIORITY_STANDARD;
  bool idempotent = false;     ///< Of the route when the call came in.
  std::uint32_t attempts = 0;  ///< Most replicas that may run it; 0 is the gateway's default.
  std::shared_ptr<CallExchange> exchange;
  TimePoint deadline;
  TimePoint wait_until;  ///< End of the wait for capacity.
  WorkKind work = WorkKind::kLive;
  std::function<bool()>
      can_start;  ///< Whether a batch item's work lease holds; empty means always.
};

struct CallResult {
  bool succeeded = false;
  proto::CallError error;  ///< When not succeeded.
  int http_status = 200;
};

using CallDone = std::function<void(CallResult)>;

/// @return the HTTP status of a failed call: 503 if it did not run, 502 if it ran, else 504.
int HttpStatusForExecuted(proto::Executed executed);

/// What runners need of the gateway.
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
  /// @return whether the call may have been carried out so far.
  proto::Executed Cancel();

  // WaitingCallOwner
  ServeResult ServeFromQueue() override;
  void OnQueueRefusal(const RefusalNotice& notice) override;

  const std::string& call_id() const { return spec_.exchange->call_id(); }

 private:
  enum class TrySendResult : std::uint8_t { kSent, kNoCapacity, kEnded };

  void TrySendOrWait();
  TrySendResult TrySend();
  /// @param route nullptr if the configuration no longer has it.
  /// @return why the call must end instead of being forwarded, if so.
  std::optional<CallFailure> CheckPreconditions(const proto::Route* route) const;
  RoutingQuery MakeRoutingQuery(const proto::Route& route) const;
  void Send(const ReplicaRecord& replica, const proto::Route& route);
  AttemptRequest MakeAttemptRequest(const ReplicaRecord& replica, const proto::Route& route);
  ExchangeEvents MakeExchangeEvents();
  bool CanSendNow(const ReplicaUse& use) const;
  void WaitInQueue();
  void OnAttemptDone(const AttemptResult& result);
  void RetryOrFinish(const AttemptResult& result, const RetryDecision& decision);
  void FinishFailed(const AttemptResult& result);
  void ScheduleAttempt(Duration delay);
  void FinishWith(CallFailure failure);
  void FinishWith(std::string_view code, std::string_view message, Duration retry_after);
  void CountAbandoned(std::string_view code);
  CallResult MakeFailedResult(std::string_view code, std::string_view message,
                              Duration retry_after) const;
  void Finish(CallResult result);
  /// Whether the call is idempotent both when it was admitted and by `route`.
  bool IsRepeatable(const proto::Route& route) const;
  /// The same by the present configuration and that of the current attempt.
  bool IsRepeatableNow() const;

  CallContext context_;
  CallSpec spec_;
  CallDone on_done_;
  const RetryOptions retry_options_;  ///< With the call's own number of attempts.
  RetryState retry_;
  const std::uint64_t
      split_random_;  ///< Random number that assigns the call to a back end of a split route.
  std::vector<std::string>
      attempted_;  ///< Replicas used since the last wait; excluded from the next choice.
  std::shared_ptr<CallAttempt> attempt_;
  WaitId wait_id_ = 0;
  TimerId timer_ = 0;
  bool route_idempotent_ = false;  ///< Of the current attempt's route.
  bool done_ = false;
};

}  // namespace cloverbank
