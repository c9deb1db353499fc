#pragma once
/// @file
/// Sends the reads and changes of operators to the coordinators, on behalf of a node that serves an
/// operator interface, each with its deadline. Threads: the owner's event loop only.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "control_client/node_agent.h"

namespace cloverbank {

/// Deadlines of the calls. The defaults suit operator tools that try another node if one has not
/// answered after about a second.
struct OperatorTimeouts {
  Duration read = milliseconds(900);  ///< Of calls that change nothing.
  /// Of calls that change something. Longer than an election and a node lease, because an
  /// acknowledgement may have to wait for them.
  Duration order = seconds(4);
};

/// A transaction that is computed from the operator's document at a certain label. A label is the
/// operator's own version number of the configuration.
struct DocumentTransaction {
  std::string operation_id;  ///< The same for every submission of this transaction.
  std::uint64_t base = 0;    ///< Label of the document that the transaction is computed from.
  std::uint64_t label = 0;   ///< Label that the transaction sets.
  /// @return the transaction, computed from the document at label `base`. Must be deterministic,
  /// since it may run more than once.
  std::function<Result<proto::ConfigurationTransaction>(const std::string& document)> make;
};

class OperatorClient {
 public:
  /// Runs on the event loop, at most once. It does not run if the agent is destroyed before, or if
  /// this object is destroyed while `SubmitDocumentTransaction` reads the document.
  template <typename Response>
  using Done = std::function<void(Result<Response>)>;

  /// @param agent must outlive this object.
  explicit OperatorClient(NodeAgent& agent, OperatorTimeouts timeouts = {})
      : agent_(agent), timeouts_(timeouts) {}

  /// Reads the current configuration.
  /// @param history how many of the newest transactions to include in the response.
  void ReadConfiguration(std::uint32_t history, Done<proto::GetConfigurationResponse> done);
  /// Submits `transaction`. `done` runs once the transaction is in force or the coordinators
  /// refused it. After kUnknownOutcome the caller should submit the same transaction again.
  void Submit(proto::ConfigurationTransaction transaction,
              Done<proto::SubmitTransactionResponse> done);
  /// Like `Submit`, for a transaction that is computed from the current document. Reads the
  /// document and submits the computed transaction. If the current label is not `base`, it instead
  /// asks for the result that the operation id got earlier. If `make` fails, `done` gets its
  /// status, kInvalidArgument.
  void SubmitDocumentTransaction(std::shared_ptr<const DocumentTransaction> document_transaction,
                                 Done<proto::SubmitTransactionResponse> done);
  /// Gets a revision, and with it starts to retire a machine's servers, or cancels that. The
  /// operator must still wait: nothing tells how old the order is (`UnversionedOrderClient`).
  void Retire(const proto::RetireServerRequest& request, Done<proto::RetireServerResponse> done);
  /// Reads how far the retirement of `machine` has progressed.
  void ReadRetirement(const std::string& machine, Done<proto::GetRetirementResponse> done);

 private:
  /// Second step of `SubmitDocumentTransaction`.
  /// @param current the result of its read.
  void SubmitOnConfiguration(const Result<proto::GetConfigurationResponse>& current,
                             const std::shared_ptr<const DocumentTransaction>& document_transaction,
                             const Done<proto::SubmitTransactionResponse>& done);

  NodeAgent& agent_;
  const OperatorTimeouts timeouts_;
  /// Lets callbacks detect that this object has been destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank
