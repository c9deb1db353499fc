#include "control_client/operator_client.h"

#include <utility>

#include "base/parse_number.h"

namespace cloverbank {
namespace {

/// @return the computed transaction if `current` has the label that it is based on, else an inquiry
/// about its outcome.
Result<proto::ConfigurationTransaction> MakeTransaction(
    const proto::RoutingConfiguration& current, const DocumentTransaction& document_transaction) {
  proto::ConfigurationTransaction transaction;
  if (current.label() == document_transaction.base) {
    Result<proto::ConfigurationTransaction> from_document =
        document_transaction.make(current.document().source());
    if (!from_document.ok()) {
      return from_document.status();
    }
    transaction = *std::move(from_document);
  } else {
    transaction.set_inquiry(true);
  }
  transaction.set_operation_id(document_transaction.operation_id);
  transaction.set_label(document_transaction.label);
  transaction.set_expected_label(document_transaction.base);
  return transaction;
}

/// @return whether an inquiry found that the transaction was not executed and can be submitted.
bool CanBeSubmitted(const Result<proto::SubmitTransactionResponse>& result) {
  return result.ok() && result->result().outcome() == proto::TRANSACTION_OUTCOME_MAY_BE_SENT;
}

}  // namespace

void OperatorClient::ReadConfiguration(std::uint32_t history,
                                       Done<proto::GetConfigurationResponse> done) {
  proto::GetConfigurationRequest request;
  request.set_history(history);
  agent_.CallLeader<proto::GetConfigurationResponse>("coordinator.GetConfiguration", request,
                                                     timeouts_.read, std::move(done));
}

void OperatorClient::Submit(proto::ConfigurationTransaction transaction,
                            Done<proto::SubmitTransactionResponse> done) {
  proto::SubmitTransactionRequest request;
  *request.mutable_transaction() = std::move(transaction);
  agent_.CallLeader<proto::SubmitTransactionResponse>("coordinator.SubmitTransaction", request,
                                                      timeouts_.order, std::move(done));
}

void OperatorClient::SubmitDocumentTransaction(
    std::shared_ptr<const DocumentTransaction> document_transaction,
    Done<proto::SubmitTransactionResponse> done) {
  ReadConfiguration(
      0, [this, alive = std::weak_ptr<bool>(alive_),
          document_transaction = std::move(document_transaction),
          done = std::move(done)](const Result<proto::GetConfigurationResponse>& current) {
        if (!alive.expired()) {
          SubmitOnConfiguration(current, document_transaction, done);
        }
      });
}

void OperatorClient::SubmitOnConfiguration(
    const Result<proto::GetConfigurationResponse>& current,
    const std::shared_ptr<const DocumentTransaction>& document_transaction,
    const Done<proto::SubmitTransactionResponse>& done) {
  if (!current.ok()) {
    done(current.status());
    return;
  }
  Result<proto::ConfigurationTransaction> transaction =
      MakeTransaction(current->configuration(), *document_transaction);
  if (!transaction.ok()) {
    done(transaction.status());
    return;
  }
  Submit(*std::move(transaction), [this, alive = std::weak_ptr<bool>(alive_), document_transaction,
                                   done](Result<proto::SubmitTransactionResponse> result) {
    if (!alive.expired() && CanBeSubmitted(result)) {
      // The base label became current between the read and the inquiry.
      SubmitDocumentTransaction(document_transaction, done);
    } else {
      done(std::move(result));
    }
  });
}

void OperatorClient::Retire(const proto::RetireServerRequest& request,
                            Done<proto::RetireServerResponse> done) {
  proto::RetireServerRequest without_revision = request;
  without_revision.mutable_guard()->set_revision(0);
  const auto with_revision = [this, alive = std::weak_ptr<bool>(alive_), request,
                              done = std::move(done)](Result<proto::RetireServerResponse> result) {
    const auto revision = ParseInteger(result.status().detail());
    if (alive.expired() || result.status().code() != StatusCode::kStaleEpoch || !revision) {
      done(std::move(result));
      return;
    }
    proto::RetireServerRequest guarded = request;
    guarded.mutable_guard()->set_revision(*revision);
    agent_.CallLeader<proto::RetireServerResponse>("coordinator.RetireServer", guarded,
                                                   timeouts_.order, done);
  };
  agent_.CallLeader<proto::RetireServerResponse>("coordinator.RetireServer", without_revision,
                                                 timeouts_.read, with_revision);
}

void OperatorClient::ReadRetirement(const std::string& machine,
                                    Done<proto::GetRetirementResponse> done) {
  proto::GetRetirementRequest request;
  request.set_machine(machine);
  agent_.CallLeader<proto::GetRetirementResponse>("coordinator.GetRetirement", request,
                                                  timeouts_.read, std::move(done));
}

}  // namespace cloverbank
