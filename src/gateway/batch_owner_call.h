#pragma once
/// @file
/// One call to the owner of a batch partition: waits while the partition has none, and repeats the
/// call at a new owner. Only for idempotent methods. Threads: the owner's event loop only.

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
  std::string method;
  std::string body;
  PartitionId partition;
  Duration deadline{};
};

class BatchOwnerCall : public std::enable_shared_from_this<BatchOwnerCall> {
 public:
  /// Starts a call that keeps itself alive until `done` has run; `done` does not run once `owner`
  /// is gone. At the deadline the status is kUnavailable if no owner can have carried it out, else
  /// kUnknownOutcome.
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
  TimePoint retry_at_;
  NodeId current_node_;        ///< The node that is being called; invalid if none.
  std::uint64_t attempt_ = 0;  ///< Number of the current one; of earlier ones only success counts.
  bool outcome_unknown_ = false;
  Status last_failure_;
};

}  // namespace cloverbank
