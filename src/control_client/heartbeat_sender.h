#pragma once
/// @file
/// Renews a node's lease by heartbeats, one after another, while the node id lives. Threads: the
/// owner's event loop only.

#include <functional>
#include <memory>

#include "control_client/node_context.h"

namespace cloverbank {

/// Receives the results of heartbeats. Either call may end the incarnation.
class HeartbeatListener {
 public:
  virtual ~HeartbeatListener() = default;
  /// The coordinators regard the node id as dead or unknown.
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
  /// Sends a heartbeat that is answered at once, beside the pending one, if there is a node id and
  /// no other urgent one is in flight.
  void SendUrgent();

 private:
  using Completion = void (HeartbeatSender::*)(bool configuration_applied);

  void Send(Duration hold, Completion complete);
  void CompleteRegular(bool configuration_applied);
  void CompleteUrgent(bool configuration_applied);
  void HandleReply(const proto::HeartbeatRequest& request, const LeaderReply& reply,
                   Completion complete);
  /// @return whether a newer configuration was applied, which is to be confirmed at once.
  bool ApplyReply(const proto::HeartbeatRequest& request, const LeaderReply& reply);

  NodeContext& context_;
  HeartbeatListener& listener_;
  bool urgent_in_flight_ = false;
  TimePoint last_sent_{};
  TimerId timer_ = 0;
};

}  // namespace cloverbank
