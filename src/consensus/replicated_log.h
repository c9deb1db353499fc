#pragma once
/// @file
/// The coordinator's interface to consensus: a log of commands that a majority has synced, applied
/// in one order to a `StateMachine` at each member. Implemented by `RaftNode`, and by fakes in
/// tests. Threads: the owner's event loop only.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/status.h"

namespace cloverbank {

/// A deterministic state machine: it reads no clock, random number or anything else that differs
/// between members.
class StateMachine {
 public:
  virtual ~StateMachine() = default;
  /// Applies one committed command. @return its result, for the proposer.
  virtual std::string Apply(std::uint64_t index, const std::string& command) = 0;
  /// @return the complete state, for log compaction.
  virtual std::string TakeSnapshot() const = 0;
  /// Replaces the complete state. @return kCorrupt if `snapshot` cannot be read.
  virtual Status RestoreSnapshot(const std::string& snapshot) = 0;
};

/// One member of the group in the current configuration.
struct LogMember {
  std::uint64_t member_id = 0;
  Endpoint endpoint;
  bool learner = false;
};

class ReplicatedLog {
 public:
  virtual ~ReplicatedLog() = default;

  /// Appends `command`. `done` runs exactly once while this object lives: with the state machine's
  /// result when the command has been committed and applied at this member, or with an error.
  /// kNotLeader: the command was not appended, or another leader overwrote it; it is certainly not
  /// committed. kUnknownOutcome: leadership was lost before the commit.
  virtual void Propose(std::string command, std::function<void(Result<std::string>)> done) = 0;

  /// Whether this member leads and a majority has heard from it recently enough that no other
  /// member can lead now (leader lease). To be checked immediately before each answer from local
  /// state.
  virtual bool HasLeaderLease() const = 0;
  /// Whether this member is leader, as far as it knows, and has applied an entry of its own term.
  virtual bool IsReadyLeader() const = 0;
  virtual std::uint64_t term() const = 0;
  /// @return the leader's endpoint; invalid if it is unknown.
  virtual Endpoint leader_endpoint() const = 0;
  virtual std::vector<LogMember> members() const = 0;

  /// `observer(true)` runs when this member becomes a ready leader, `observer(false)` when it stops
  /// being one.
  virtual void OnLeadershipChange(std::function<void(bool leads)> observer) = 0;
  /// `observer(index)` runs at every member after entries up to `index` have been applied.
  virtual void OnApplied(std::function<void(std::uint64_t index)> observer) = 0;
};

}  // namespace cloverbank
