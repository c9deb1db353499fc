#pragma once
/// @file
/// Answers heartbeats: holds each until the configuration or the fleet changes or its time is over,
/// then answers it with what is new and a lease. Leases are granted here and nowhere else.

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

  void Handle(const proto::HeartbeatRequest& request, Reply reply);
  /// Answers every held heartbeat that is due: call it after each change and each tick.
  void Review();
  /// Leadership was lost: refuses all that are held.
  void RefuseAll();

 private:
  struct PendingHeartbeat {
    proto::HeartbeatRequest request;
    TimePoint arrival;
    TimePoint deadline;  ///< Answered then at the latest.
    Reply reply;
  };

  /// @return why the sender must not go on under its node id; none if it may.
  std::optional<HeartbeatRefusal> FindRefusal(const proto::HeartbeatRequest& request) const;
  /// Refuses with kFenced.
  void Fence(const proto::HeartbeatRequest& request, HeartbeatRefusal refusal, const Reply& reply);
  void CountRefusal(HeartbeatRefusal refusal);
  void RecordReport(const proto::HeartbeatRequest& request);
  /// @return whether it was answered.
  bool AnswerIfDue(PendingHeartbeat& pending);
  /// Whether the sender acts by a configuration and has told an older one than the current.
  bool NeedsConfiguration(const proto::HeartbeatRequest& request) const;
  proto::HeartbeatResponse GrantLease(const PendingHeartbeat& pending);

  LeaderContext& context_;
  std::list<PendingHeartbeat> pending_;
};

}  // namespace cloverbank
