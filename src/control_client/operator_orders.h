#pragma once
/// @file
/// What operators ask of the coordinators, through any node that serves an operator interface, and
/// how long each question may take. Threads: the owner's event loop only.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "control_client/node_agent.h"

namespace cloverbank {

/// The defaults suit operators that turn to another node after about a second of silence.
struct OperatorTimeouts {
  Duration read = milliseconds(900);
  /// Longer than a node lease, which an acknowledgement may have to wait for, and an election.
  Duration order = seconds(4);
};

/// An order whose changes are read from the operator's own document of the label it builds on.
struct DocumentOrder {
  std::string operation_id;
  std::uint64_t base = 0;   ///< Label it builds on.
  std::uint64_t label = 0;  ///< Label it brings.
  /// Makes the transaction out of the document of `base`; the same one each time it is called.
  std::function<Result<proto::ConfigurationTransaction>(const std::string& document)> make;
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
  /// As `Submit`, for an order that only the current document can be read into: reads it, and
  /// inquires after the order where another label is current. kInvalidArgument: `make` refused.
  void SubmitOnDocument(std::shared_ptr<const DocumentOrder> order,
                        Done<proto::SubmitTransactionResponse> done);
  void Retire(const proto::RetireServerRequest& order, Done<proto::RetireServerResponse> done);
  void ReadRetirement(const std::string& machine, Done<proto::GetRetirementResponse> done);

 private:
  /// Second step of `SubmitOnDocument`: `current` is the answer to its read.
  void SubmitOnConfiguration(const Result<proto::GetConfigurationResponse>& current,
                             const std::shared_ptr<const DocumentOrder>& order,
                             const Done<proto::SubmitTransactionResponse>& done);

  NodeAgent& agent_;
  const OperatorTimeouts timeouts_;
  /// Answers that come later than this object's end are dropped.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank
