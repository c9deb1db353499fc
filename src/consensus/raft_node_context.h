#pragma once
/// @file
/// State that the parts of one `RaftNode` share: environment, options, the core, and the member's
/// progress. Threads: the environment's event loop only.

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "consensus/raft_core.h"
#include "consensus/raft_node_options.h"
#include "consensus/replicated_log.h"
#include "runtime/environment.h"

namespace cloverbank {

struct RaftNodeContext {
  Environment& environment;
  const RaftNodeOptions options;
  /// Executes the core's effects; to be called after each input to the core.
  std::function<void()> execute_effects;
  std::unique_ptr<RaftCore> core;  ///< Null before `RaftNode::Load`.
  /// Whether the member id is synced. Until then the member answers no peer, since a crash would
  /// lose the id.
  bool identity_durable = false;
  bool stopped = false;  ///< After a fatal error: the member neither answers nor leads.
  std::uint64_t applied_index = 0;

  bool CanAnswerPeers() const { return !stopped && identity_durable; }
  /// Whether this member leads and has applied an entry of its own term.
  bool IsReadyLeader() const;
  /// @return the term that this member leads, ready or not; 0 if none.
  std::uint64_t LeadingTerm() const;
  /// @return the leader's endpoint; invalid if it is unknown.
  Endpoint LeaderEndpoint() const;
  std::vector<LogMember> Members() const;
  void RecordRefusal(RaftRefusal reason) const;
};

}  // namespace cloverbank
