#pragma once
/// @file
/// What operators ask of the coordinators, through any node that serves an operator interface, and
/// how long each question may take. Threads: the owner's event loop only.

#include <cstdint>
#include <functional>

#include "node/node_agent.h"

namespace cloverbank {

/// The defaults suit operators that turn to another node after about a second of silence.
struct OperatorTimeouts {
  Duration read = milliseconds(900);
  /// Longer than a node lease, which an acknowledgement may have to wait for, and an election.
  Duration order = seconds(4);
};

class OperatorOrders {
 public:
  template <typename Response>
  using Done = std::function<void(Result<Response>)>;

  /// @param agent must outlive this.
  explicit OperatorOrders(NodeAgent& agent, OperatorTimeouts timeouts = {})
      : agent_(agent), timeouts_(timeouts) {}

  /// @param history how many of the newest transactions to add.
  void ReadConfiguration(std::uint32_t history, Done<proto::GetConfigurationResponse> done);
  /// Answered once the transaction is in force, or refused. An unknown outcome is learned by
  /// sending the same transaction again.
  void Submit(proto::ConfigurationTransaction transaction,
              Done<proto::SubmitTransactionResponse> done);
  void Retire(const proto::RetireServerRequest& order, Done<proto::RetireServerResponse> done);
  void ReadRetirement(const std::string& machine, Done<proto::GetRetirementResponse> done);

 private:
  NodeAgent& agent_;
  const OperatorTimeouts timeouts_;
};

}  // namespace cloverbank
