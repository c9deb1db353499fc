#pragma once
/// @file
/// Proposals of this member that are not committed yet. Threads: the environment's event loop only.

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "consensus/raft_core.h"
#include "consensus/raft_node_context.h"

namespace cloverbank {

class PendingProposals {
 public:
  using Done = std::function<void(Result<std::string>)>;

  /// @param context must outlive this object.
  explicit PendingProposals(const RaftNodeContext& context) : context_(context) {}

  /// Keeps `done` until an entry at the index of `position` is applied or the term is lost; it runs
  /// exactly once while this object lives.
  void Add(const RaftPosition& position, Done done);
  /// Completes the proposal at the index of `entry`, which was applied with `result`. A proposal of
  /// another term gets kNotLeader: it was certainly not committed.
  void Complete(const proto::RaftEntry& entry, std::string result);
  /// Passes kUnknownOutcome to the callbacks of all proposals of terms that this member no longer
  /// leads.
  void FailFromLostTerms();

 private:
  struct Proposal {
    std::uint64_t term = 0;
    Done done;
  };

  const RaftNodeContext& context_;
  std::map<std::uint64_t, Proposal> proposals_;  ///< By index.
};

}  // namespace cloverbank
