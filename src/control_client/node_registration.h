#pragma once
/// @file
/// Registers a node with the coordinators at its start and after each fence, and retries until the
/// node has a node id. Threads: the owner's event loop only.

#include <functional>

#include "control_client/node_context.h"

namespace cloverbank {

class NodeRegistration {
 public:
  /// @param context must outlive this object.
  /// @param on_registered runs on the event loop after each successful registration, when the
  /// session has a valid node id.
  NodeRegistration(NodeContext& context, std::function<void()> on_registered);
  ~NodeRegistration();
  NodeRegistration(const NodeRegistration&) = delete;
  NodeRegistration& operator=(const NodeRegistration&) = delete;

  /// Registers the node. Retries after a failure, with the retry delay between the calls.
  void Start();
  /// Registers the node again to get a new id, no sooner than the retry delay after the last
  /// successful registration.
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
