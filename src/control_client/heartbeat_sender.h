#pragma once
/// @file
/// Renews a node's lease by heartbeats, one after another, while the node id lives. Threads: the
/// owner's event loop only.

#include <functional>
#include <memory>

#include "control_client/node_context.h"

namespace cloverbank {

/// What comes of heartbeats. Either call may end the incarnation.
class HeartbeatListener {
 public:
  virtual ~HeartbeatListener() = default;
  /// The coordinators do not take the node id for alive.
  virtual void OnNodeIdRefused(const Status& status) = 0;
  /// An answer has been applied to the session.
  virtual void OnHeartbeatApplied(const HeartbeatEffects& effects) = 0;
};

class HeartbeatSender {
 public:
  /// @param context and @param listener must outlive this.
  HeartbeatSender(NodeContext& context, HeartbeatListener& listener);
  ~HeartbeatSender();
  HeartbeatSender(const HeartbeatSender&) = delete;
  HeartbeatSender& operator=(const HeartbeatSender&) = delete;

  /// Begins to send heartbeats. Requires a node id.
  void Start();
  /// Sends no more heartbeats until `Start`; the incarnation has ended.
  void Stop();
  /// Sends one that is answered at once, beside the one that the leader holds, if there is a node
  /// id and none is under way.
  void SendUrgent();

 private:
  using Completion = void (HeartbeatSender::*)(bool configuration_applied);

  void Send(Duration hold, Completion complete);
  void CompleteRegular(bool configuration_applied);
  void CompleteUrgent(bool configuration_applied);
  void HandleReply(const proto::HeartbeatRequest& request, const LeaderReply& reply,
                   Completion complete);
  /// @return whether a newer configuration was taken, which is to be confirmed at once.
  bool ApplyReply(const proto::HeartbeatRequest& request, const LeaderReply& reply);

  NodeContext& context_;
  HeartbeatListener& listener_;
  bool urgent_in_flight_ = false;
  TimePoint last_sent_{};
  TimerId timer_ = 0;
};

}  // namespace cloverbank
