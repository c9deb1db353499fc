#pragma once
/// @file
/// Sends the endpoints of the coordinators to the nodes that `UnreachableNodes` names.
/// Threads: the owner's event loop only.

#include "leader/leader_context.h"
#include "leader/unreachable_nodes.h"

namespace cloverbank {

class UnreachableNodeNotifier {
 public:
  explicit UnreachableNodeNotifier(LeaderContext& context) : context_(context) {}

  /// This member became leader.
  void Reset() { nodes_.Reset(); }
  /// Notifies the nodes that are due. Lost notifications are repeated by a later step.
  void Step();

 private:
  LeaderContext& context_;
  UnreachableNodes nodes_;
};

}  // namespace cloverbank
