#pragma once
/// @file
/// One call to the queue node that owns a batch partition: waits while the partition has no owner,
/// and repeats the call when the owner changes. Only for idempotent methods. Threads: the owner's
/// event loop only.

#include <functional>
#include <memory>
#include <string>

#include "base/ids.h"
#include "base/status.h"
#include "base/time.h"
#include "control_client/node_agent.h"
#include "runtime/environment.h"

namespace cloverbank {

struct OwnerCallOptions {
  std::string method;  ///< Peer method, for example "queue.SubmitBatch".
  std::string body;    ///< Serialized request.
  PartitionId partition;
  Duration deadline{};  ///< Time for the whole call, retries included, from its start.
};

class BatchOwnerCall : public std::enable_shared_from_this<BatchOwnerCall> {
 public:
  /// Starts a call that keeps itself alive until it ends. `done` runs once, with the owner's reply,
  /// or at the deadline with kUnavailable if no owner can have executed the call, else with
  /// kUnknownOutcome. It never runs after `caller` has expired.
  static void Start(Environment& environment, NodeAgent& agent, std::weak_ptr<void> caller,
                    OwnerCallOptions options, PeerReplyCallback done);

  BatchOwnerCall(Environment& environment, NodeAgent& agent, std::weak_ptr<void> caller,
                 OwnerCallOptions options, PeerReplyCallback done);

 private:
  void Poll();
  void SendTo(const proto::Server& server);
  void HandleReply(std::uint64_t attempt, PeerReply reply);
  void Finish(PeerReply reply);

  Environment& environment_;
  NodeAgent& agent_;
  std::weak_ptr<void> caller_;
  OwnerCallOptions options_;
  PeerReplyCallback done_;
  TimePoint deadline_;
  TimePoint retry_at_;            ///< No attempt after a failed one is sent before this time.
  NodeId current_node_;           ///< The node whose reply is pending; invalid if none.
  std::uint64_t attempt_ = 0;     ///< Number of the current attempt; older ones only count if OK.
  bool outcome_unknown_ = false;  ///< An earlier attempt may have been executed.
  Status last_failure_;
};

}  // namespace cloverbank
