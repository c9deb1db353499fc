#pragma once
/// @file
/// Proposes control commands to the replicated log and decodes what applying them gave.

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

  /// Proposes `command`; `done` gets its result, or the refusal of the state machine, or kNotLeader
  /// when leadership was lost: the command may then have been committed or not, and may be
  /// repeated.
  void Propose(const proto::ControlCommand& command, Done done);

  /// The same, unless a proposal under `key` is under way.
  void ProposeOnce(const std::string& key, const proto::ControlCommand& command,
                   Done done = nullptr);

  /// This member became leader: proposals of an earlier term no longer hold anything up.
  void Reset();

 private:
  void HandleApplied(const Result<std::string>& applied, const Done& done);
  /// Allows `key` to be proposed again, unless its proposal is of an earlier term.
  void Release(const std::string& key, std::uint64_t generation);

  LeaderContext& context_;
  std::set<std::string> in_flight_;
  std::uint64_t generation_ = 0;
};

}  // namespace cloverbank
