#pragma once
/// @file
/// One call to the coordinator leader. It follows kNotLeader hints, retries at other members after
/// a failure, and calls another member in parallel when one does not answer in time. Only for
/// idempotent methods, since several members may receive the request. Threads: the owner's event
/// loop only.

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "base/ids.h"
#include "base/status.h"
#include "base/time.h"
#include "control_client/coordinator_directory.h"
#include "runtime/environment.h"

namespace cloverbank {

/// Deadline of a registration or heartbeat call. When it has passed, the caller starts a new call.
inline constexpr Duration kLeaderSearchDeadline = seconds(10);

/// The response, and when the call sent the attempt that it answers. If no attempt was answered,
/// `sent` is the time at which the call ended.
struct LeaderReply {
  PeerReply reply;
  TimePoint sent;
};

struct LeaderCallOptions {
  std::string method;  ///< "coordinator.Method".
  /// Runs for every attempt, just before the call sends it. `attempt` counts from 0.
  /// @return the serialized request.
  std::function<std::string(std::uint32_t attempt)> make_body;
  Duration deadline{};          ///< Of the whole call, from its start.
  Duration attempt_deadline{};  ///< Of one attempt, that is, a request to one member.
  Duration response_timeout{};  ///< If an attempt has no answer after this time, the call also
                                ///< tries another member; the attempt goes on.
  Duration retry_delay{};  ///< First back-off. Doubles up to a limit; jitter shortens each by up
                           ///< to half.
};

/// State of one call; `Start` creates it.
class LeaderCall : public std::enable_shared_from_this<LeaderCall> {
 public:
  /// Starts a call, which keeps itself alive until `done` has run.
  /// @param environment must outlive the call.
  /// @param owner once it has expired, the call ends without running `done`.
  /// @param done runs once on the event loop, with the response or failure from the leader. At the
  /// deadline the status is kUnknownOutcome if a member may have executed the request, else
  /// kUnavailable.
  static void Start(Environment& environment, std::shared_ptr<CoordinatorDirectory> directory,
                    std::weak_ptr<void> owner, LeaderCallOptions options,
                    std::function<void(LeaderReply)> done);

  LeaderCall(Environment& environment, std::shared_ptr<CoordinatorDirectory> directory,
             std::weak_ptr<void> owner, LeaderCallOptions options,
             std::function<void(LeaderReply)> done);

 private:
  /// Sends the request to the first candidate that has no attempt in flight.
  void AttemptNext();
  void SendTo(const Endpoint& target);
  void HandleReply(const Endpoint& from, TimePoint sent, PeerReply reply);
  void HandleRedirect(const Endpoint& from, const Status& status);
  void HandleFailure(const Endpoint& from, const Status& status);
  /// Replaces the timer of the next attempt.
  void ScheduleNext(Duration delay);
  /// @return the current back-off with jitter; doubles the back-off for the next time.
  Duration NextBackoff();
  void FinishAtDeadline();
  void Finish(LeaderReply reply);

  Environment& environment_;
  std::shared_ptr<CoordinatorDirectory> directory_;
  std::weak_ptr<void> owner_;
  LeaderCallOptions options_;
  std::function<void(LeaderReply)> done_;
  TimePoint deadline_;
  std::set<Endpoint> in_flight_;  ///< Members with an unanswered attempt.
  TimerId next_timer_ = 0;
  TimerId deadline_timer_ = 0;
  std::uint32_t attempts_ = 0;
  std::uint32_t redirects_ = 0;  ///< Consecutive: a failed attempt resets it.
  Duration backoff_{};
  bool outcome_unknown_ = false;  ///< Whether an attempt failed with kUnknownOutcome.
  Status last_failure_;
  bool finished_ = false;
};

}  // namespace cloverbank
