#pragma once
/// @file
/// Operators' reads and transactions, sent to the coordinators by a node that serves an operator
/// interface, with the deadline of each. Threads: the owner's event loop only.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "control_client/node_agent.h"

namespace cloverbank {

/// The defaults suit operators that try another node after about a second without an answer.
struct OperatorTimeouts {
  Duration read = milliseconds(900);
  /// Longer than an election and a node lease, for which an acknowledgement may have to wait.
  Duration order = seconds(4);
};

/// A transaction that is computed from the operator's document of the label it is based on.
struct DocumentTransaction {
  std::string operation_id;
  std::uint64_t base = 0;   ///< Label it is based on.
  std::uint64_t label = 0;  ///< Label that it sets.
  /// Makes the transaction from the document of `base`; must be deterministic.
  std::function<Result<proto::ConfigurationTransaction>(const std::string& document)> make;
};

class OperatorClient {
 public:
  template <typename Response>
  using Done = std::function<void(Result<Response>)>;

  /// @param agent must outlive this.
  explicit OperatorClient(NodeAgent& agent, OperatorTimeouts timeouts = {})
      : agent_(agent), timeouts_(timeouts) {}

  /// @param history how many of the newest transactions to add.
  void ReadConfiguration(std::uint32_t history, Done<proto::GetConfigurationResponse> done);
  /// Answered once the transaction is in force, or refused. After kUnknownOutcome the same
  /// transaction is to be submitted again.
  void Submit(proto::ConfigurationTransaction transaction,
              Done<proto::SubmitTransactionResponse> done);
  /// As `Submit`, for an order that is computed from the current document: reads it, or inquires
  /// about the order's outcome if another label is current. kInvalidArgument: `make` refused.
  void SubmitDocumentTransaction(std::shared_ptr<const DocumentTransaction> document_transaction,
                                 Done<proto::SubmitTransactionResponse> done);
  void Retire(const proto::RetireServerRequest& request, Done<proto::RetireServerResponse> done);
  void ReadRetirement(const std::string& machine, Done<proto::GetRetirementResponse> done);

 private:
  /// Second step of `SubmitDocumentTransaction`: `current` is the answer to its read.
  void SubmitOnConfiguration(const Result<proto::GetConfigurationResponse>& current,
                             const std::shared_ptr<const DocumentTransaction>& document_transaction,
                             const Done<proto::SubmitTransactionResponse>& done);

  NodeAgent& agent_;
  const OperatorTimeouts timeouts_;
  /// Responses after the end of this object are dropped.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank
