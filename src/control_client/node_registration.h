#pragma once
/// @file
/// Registers a node with the coordinators, and again after each fence, until it has a node id.
/// Threads: the owner's event loop only.

#include <functional>

#include "control_client/node_context.h"

namespace cloverbank {

class NodeRegistration {
 public:
  /// @param context must outlive this.
  /// @param on_registered runs once the session has a node id.
  NodeRegistration(NodeContext& context, std::function<void()> on_registered);
  ~NodeRegistration();
  NodeRegistration(const NodeRegistration&) = delete;
  NodeRegistration& operator=(const NodeRegistration&) = delete;

  /// Registers; repeats it after a failure.
  void Start();
  /// Registers under a fresh id, no sooner than the retry delay after the last registration.
  void StartAfterFence();

 private:
  proto::RegisterServerRequest MakeRequest() const;
  void HandleReply(const PeerReply& reply);
  void ScheduleStart(Duration delay);

  NodeContext& context_;
  std::function<void()> on_registered_;
  TimePoint last_registered_{};
  TimerId timer_ = 0;
};

}  // namespace cloverbank
