#pragma once
/// @file
/// Answers heartbeats, which are long polls: each stays pending until there is a newer
/// configuration or fleet version for the sender or the heartbeat's deadline passes, and is then
/// answered with the updates and a lease. Only this class grants node leases. Threads: the owner's
/// event loop only.

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
  kUnknown,           ///< The node id is not registered.
  kDead,              ///< The node was declared dead.
  kOtherIncarnation,  ///< The node id belongs to another process.
  kSuperseded,        ///< A later incarnation of the machine is registered.
  kRetiring,          ///< The node must hand over its partitions (`MustHandOverPartitions`).
};

/// @return the label value in metrics.
std::string_view HeartbeatRefusalName(HeartbeatRefusal refusal);

class HeartbeatHandler {
 public:
  using Reply = std::function<void(Result<proto::HeartbeatResponse>)>;

  explicit HeartbeatHandler(LeaderContext& context) : context_(context) {}

  /// Records what the heartbeat reports and calls `reply` now or later, on the event loop. Errors:
  /// kNotLeader if this member may not answer; kFenced if the sender must stop using its node id.
  void Handle(const proto::HeartbeatRequest& request, Reply reply);
  /// Answers all pending heartbeats that are due. Call it after each applied command and each tick.
  void Review();
  /// Refuses all pending heartbeats with kNotLeader. Call it when leadership is lost.
  void RefuseAll();

 private:
  struct PendingHeartbeat {
    proto::HeartbeatRequest request;
    TimePoint arrival;
    TimePoint deadline;  ///< Latest time of the answer.
    Reply reply;
  };

  /// @return why the sender must stop using its node id; none if it may go on.
  std::optional<HeartbeatRefusal> FindRefusal(const proto::HeartbeatRequest& request) const;
  /// Counts the refusal and replies kFenced.
  void Fence(const proto::HeartbeatRequest& request, HeartbeatRefusal refusal, const Reply& reply);
  void CountRefusal(HeartbeatRefusal refusal);
  /// Records that the sender is alive, the version it confirms, its load and the nodes it suspects.
  void RecordReport(const proto::HeartbeatRequest& request);
  /// Answers or refuses `pending` if that is due. @return whether it did.
  bool AnswerIfDue(PendingHeartbeat& pending);
  /// @return whether the sender uses the configuration (backups do not) and reports an older
  /// version.
  bool NeedsConfiguration(const proto::HeartbeatRequest& request) const;
  /// Records a lease that counts from the arrival of the heartbeat. @return the response with the
  /// lease and the updates that the sender needs.
  proto::HeartbeatResponse GrantLease(const PendingHeartbeat& pending);

  LeaderContext& context_;
  std::list<PendingHeartbeat> pending_;
};

}  // namespace cloverbank
