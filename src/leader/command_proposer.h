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

  /// Proposes `command`. `done` receives the result of applying it, the error of the state machine,
  /// or kNotLeader if leadership was lost: whether the command was committed is then unknown, and
  /// it may be proposed again.
  void Propose(const proto::ControlCommand& command, Done done);

  /// As `Propose`, but does nothing while a proposal with the same `key` is in flight.
  void ProposeOnce(const std::string& key, const proto::ControlCommand& command,
                   Done done = nullptr);

  /// This member became leader: proposals of earlier terms no longer count as in flight.
  void Reset();

 private:
  void HandleApplied(const Result<std::string>& applied, const Done& done);
  /// Allows `key` to be proposed again, unless its proposal is of an earlier term.
  void MarkFinished(const std::string& key, std::uint64_t generation);

  LeaderContext& context_;
  std::set<std::string> in_flight_;
  std::uint64_t generation_ = 0;
};

}  // namespace cloverbank
