#pragma once
/// @file
/// One call to the coordinator leader: follows kNotLeader hints, retries at other members after a
/// failure, and calls a further one when a member does not answer. Only for idempotent methods.
/// Threads: the owner's event loop only.

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

/// Deadline of a registration or a heartbeat, which is then started again.
inline constexpr Duration kLeaderSearchDeadline = seconds(10);

/// The response, and when the attempt that it answers was sent.
struct LeaderReply {
  PeerReply reply;
  TimePoint sent;
};

struct LeaderCallOptions {
  std::string method;
  /// @return the request; `attempt` counts from 0.
  std::function<std::string(std::uint32_t attempt)> make_body;
  Duration deadline{};          ///< Of the call.
  Duration attempt_deadline{};  ///< Of one attempt at one member.
  Duration response_timeout{};  ///< Without an answer, after which another member is called too.
  Duration retry_delay{};       ///< First back-off; grows up to a limit, with jitter.
};

class LeaderCall : public std::enable_shared_from_this<LeaderCall> {
 public:
  /// Starts a call that keeps itself alive until `done` has run. It ends without `done` once
  /// `owner` is destroyed.
  static void Start(Environment& environment, std::shared_ptr<CoordinatorDirectory> directory,
                    std::weak_ptr<void> owner, LeaderCallOptions options,
                    std::function<void(LeaderReply)> done);

  LeaderCall(Environment& environment, std::shared_ptr<CoordinatorDirectory> directory,
             std::weak_ptr<void> owner, LeaderCallOptions options,
             std::function<void(LeaderReply)> done);

 private:
  void AttemptNext();
  void SendTo(const Endpoint& target);
  void HandleReply(const Endpoint& from, TimePoint sent, PeerReply reply);
  void HandleRedirect(const Endpoint& from, const Status& status);
  void HandleFailure(const Endpoint& from, const Status& status);
  void ScheduleNext(Duration delay);
  Duration NextBackoff();
  void FinishAtDeadline();
  void Finish(LeaderReply reply);

  Environment& environment_;
  std::shared_ptr<CoordinatorDirectory> directory_;
  std::weak_ptr<void> owner_;
  LeaderCallOptions options_;
  std::function<void(LeaderReply)> done_;
  TimePoint deadline_;
  std::set<Endpoint> in_flight_;
  TimerId next_timer_ = 0;
  TimerId deadline_timer_ = 0;
  std::uint32_t attempts_ = 0;
  std::uint32_t redirects_ = 0;  ///< In a row.
  Duration backoff_{};
  bool outcome_unknown_ = false;
  Status last_failure_;
  bool finished_ = false;
};

}  // namespace cloverbank
