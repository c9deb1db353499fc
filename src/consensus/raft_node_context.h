#pragma once
/// @file
/// What the parts of one `RaftNode` share: environment, options, the core, and the state of the
/// member around it. Threads: the environment's event loop only.

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
  /// To be called after each input to the core.
  std::function<void()> execute_effects;
  std::unique_ptr<RaftCore> core;  ///< Null before the disk was read.
  /// The member id is synced. Before that it could be forgotten, so the member answers nobody.
  bool identity_durable = false;
  bool stopped = false;  ///< For good: it answers nobody and leads nothing.
  std::uint64_t applied_index = 0;

  bool CanAnswerPeers() const { return !stopped && identity_durable; }
  /// Whether this member leads and has applied an entry of its own term.
  bool IsReadyLeader() const;
  /// @return the term that this member leads, ready or not; 0 if none.
  std::uint64_t LeadingTerm() const;
  /// @return the leader's endpoint as far as known; invalid if unknown.
  Endpoint LeaderEndpoint() const;
  std::vector<LogMember> Members() const;
  void RecordRefusal(RaftRefusal reason) const;
};

}  // namespace cloverbank
