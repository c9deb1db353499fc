#pragma once
/// @file
/// Answers heartbeats: holds each until the configuration or the fleet changes or its time is over,
/// then answers it with what is new and a lease. Leases are granted here and nowhere else.

#include <functional>
#include <list>
#include <vector>

#include "base/status.h"
#include "leader/leader_context.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

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
    TimePoint release;  ///< Answered then at the latest.
    Reply reply;
  };

  /// @return OK, or why the sender must not go on under its node id.
  Status CheckSender(const proto::HeartbeatRequest& request) const;
  void HandleReport(const proto::HeartbeatRequest& request);
  /// @return whether it was answered.
  bool AnswerIfDue(PendingHeartbeat& pending);
  void AddGateways(NodeId node, proto::HeartbeatResponse* response) const;
  /// Names the first gateways of the zones that come before `self`, itself the first of its zone.
  static void AddRemoteListSources(const std::vector<const proto::Server*>& gateways,
                                   const proto::Server& self, proto::HeartbeatResponse* response);
  /// Whether the sender acts by a configuration and has told an older one than the current.
  bool NeedsConfiguration(const proto::HeartbeatRequest& request) const;
  proto::HeartbeatResponse Grant(const PendingHeartbeat& pending);

  LeaderContext& context_;
  std::list<PendingHeartbeat> pending_;
};

}  // namespace cloverbank
