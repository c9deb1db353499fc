#pragma once
/// @file
/// Answers heartbeats (long polls): each stays pending until the configuration or the fleet changes
/// or its deadline passes, and is then answered with the update and a lease. Only this class grants
/// node leases. Threads: the owner's event loop only.

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string_view>

#include "base/status.h"
#include "leader/leader_context.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

/// Why a heartbeat is refused.
enum class HeartbeatRefusal : std::uint8_t {
  kNotLeader,         ///< This member may not answer.
  kUnknown,           ///< No such node id is registered.
  kDead,              ///< The node was declared dead.
  kOtherIncarnation,  ///< The node id belongs to another process.
  kSuperseded,        ///< A later incarnation of the machine is registered.
  kRetiring,          ///< The node must hand its partitions over (`MustHandOver`).
};

/// @return the name in metrics.
std::string_view HeartbeatRefusalName(HeartbeatRefusal refusal);

class HeartbeatHandler {
 public:
  using Reply = std::function<void(Result<proto::HeartbeatResponse>)>;

  explicit HeartbeatHandler(LeaderContext& context) : context_(context) {}

  /// Records what the heartbeat reports and answers now or later. kNotLeader: this member may not
  /// answer; kFenced: the sender must stop using its node id.
  void Handle(const proto::HeartbeatRequest& request, Reply reply);
  /// Answers every pending heartbeat that is due. Call it after each applied command and each tick.
  void Review();
  /// Leadership was lost: refuses all pending heartbeats.
  void RefuseAll();

 private:
  struct PendingHeartbeat {
    proto::HeartbeatRequest request;
    TimePoint arrival;
    TimePoint deadline;  ///< When it is answered at the latest.
    Reply reply;
  };

  /// @return why the sender must not go on under its node id; none if it may.
  std::optional<HeartbeatRefusal> FindRefusal(const proto::HeartbeatRequest& request) const;
  /// Refuses with kFenced.
  void Fence(const proto::HeartbeatRequest& request, HeartbeatRefusal refusal, const Reply& reply);
  void CountRefusal(HeartbeatRefusal refusal);
  void RecordReport(const proto::HeartbeatRequest& request);
  /// @return whether `pending` was answered.
  bool AnswerIfDue(PendingHeartbeat& pending);
  /// @return whether the sender uses the configuration and reports an older version.
  bool NeedsConfiguration(const proto::HeartbeatRequest& request) const;
  proto::HeartbeatResponse GrantLease(const PendingHeartbeat& pending);

  LeaderContext& context_;
  std::list<PendingHeartbeat> pending_;
};

}  // namespace cloverbank
