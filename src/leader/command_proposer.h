#pragma once
/// @file
/// Proposes control commands to the replicated log and decodes their results. Threads: the owner's
/// event loop only.

#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "base/ids.h"
#include "base/status.h"
#include "leader/leader_context.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

/// @return the command that makes `node` the owner of the partitions it replayed from the log of
/// `dead`.
proto::ControlCommand MakeFinishAssignment(
    NodeId dead, NodeId node, const google::protobuf::RepeatedField<std::uint64_t>& partition_ids);

class CommandProposer {
 public:
  using Done = std::function<void(Result<proto::ControlCommandResult>)>;

  explicit CommandProposer(LeaderContext& context) : context_(context) {}

  /// Proposes `command`. `done` runs on the event loop, or never if the leader is destroyed first.
  /// It receives the result of applying the command, the error that the state machine returned,
  /// kInternal if the result cannot be decoded, or kNotLeader if the log failed to apply the
  /// command, for example because leadership was lost. After kNotLeader it is unknown whether the
  /// command was committed; the caller may propose it again.
  void Propose(const proto::ControlCommand& command, Done done);

  /// As `Propose`, but does nothing, and drops `done`, while a proposal with the same `key` is in
  /// flight. `done` may be empty.
  void ProposeOnce(const std::string& key, const proto::ControlCommand& command,
                   Done done = nullptr);

  /// Call it when this member becomes leader: proposals of earlier terms then no longer count as in
  /// flight.
  void Reset();

 private:
  void HandleApplied(const Result<std::string>& applied, const Done& done);
  /// Allows `key` to be proposed again, unless the proposal that ended was made before the last
  /// `Reset`, as `generation` shows: a newer proposal with this key may then be in flight.
  void MarkFinished(const std::string& key, std::uint64_t generation);

  LeaderContext& context_;
  std::set<std::string> in_flight_;  ///< Keys of the proposals of `ProposeOnce`.
  std::uint64_t generation_ = 0;     ///< Number of calls of `Reset`.
};

}  // namespace cloverbank
