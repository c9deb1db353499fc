#pragma once
/// @file
/// Renews a node's lease by sending heartbeats, one after another, while the node id is valid.
/// Threads: the owner's event loop only.

#include <functional>
#include <memory>

#include "control_client/node_context.h"

namespace cloverbank {

/// Receives the results of heartbeats on the event loop. Either callback may invalidate the node
/// id.
class HeartbeatListener {
 public:
  virtual ~HeartbeatListener() = default;
  /// Runs when the coordinators refused the node id as dead or unknown.
  /// @param status kFenced or kNotFound.
  virtual void OnNodeIdRefused(const Status& status) = 0;
  /// Runs after a response has been applied to the session.
  virtual void OnHeartbeatApplied(const HeartbeatEffects& effects) = 0;
};

/// Keeps one regular heartbeat pending, plus at most one urgent heartbeat beside it.
class HeartbeatSender {
 public:
  /// @param context must outlive this object.
  /// @param listener must outlive this object.
  HeartbeatSender(NodeContext& context, HeartbeatListener& listener);
  ~HeartbeatSender();
  HeartbeatSender(const HeartbeatSender&) = delete;
  HeartbeatSender& operator=(const HeartbeatSender&) = delete;

  /// Starts to send heartbeats. The session must have a valid node id.
  void Start();
  /// Stops sending heartbeats until the next `Start`. Does not drop the pending ones;
  /// `NodeContext::InvalidateNodeId` does, so call that before.
  void Stop();
  /// Sends an additional heartbeat that the leader answers immediately, without waiting for the
  /// pending one. Does nothing without a valid node id or while another urgent heartbeat is in
  /// flight.
  void SendUrgent();

 private:
  /// Runs after a heartbeat has succeeded or failed, unless the node id has become invalid.
  using Completion = void (HeartbeatSender::*)(bool configuration_applied);

  /// @param hold how long the leader may delay the response to the first attempt.
  void Send(Duration hold, Completion complete);
  void CompleteRegular(bool configuration_applied);
  void CompleteUrgent(bool configuration_applied);
  void HandleReply(const proto::HeartbeatRequest& request, const LeaderReply& reply,
                   Completion complete);
  /// @return whether a newer configuration was applied. The next heartbeat must then confirm it
  /// without delay.
  bool ApplyReply(const proto::HeartbeatRequest& request, const LeaderReply& reply);

  NodeContext& context_;
  HeartbeatListener& listener_;
  bool urgent_in_flight_ = false;
  TimePoint last_sent_{};  ///< Of the last attempt, regular or urgent.
  TimerId timer_ = 0;
};

}  // namespace cloverbank
