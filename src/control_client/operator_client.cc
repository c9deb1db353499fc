#include "control_client/operator_client.h"

#include <utility>

namespace cloverbank {
namespace {

/// @return the order's transaction if `current` is its base, else an inquiry about its outcome.
Result<proto::ConfigurationTransaction> MakeTransaction(const proto::RoutingConfiguration& current,
                                                        const DocumentTransaction& order) {
  proto::ConfigurationTransaction transaction;
  if (current.label() == order.base) {
    Result<proto::ConfigurationTransaction> made = order.make(current.document().source());
    if (!made.ok()) {
      return made.status();
    }
    transaction = *std::move(made);
  } else {
    transaction.set_inquiry(true);
  }
  transaction.set_operation_id(order.operation_id);
  transaction.set_label(order.label);
  transaction.set_expected_label(order.base);
  return transaction;
}

/// Whether an inquiry found that its order was not executed and can be submitted.
bool MayBeSent(const Result<proto::SubmitTransactionResponse>& result) {
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
  proto::SubmitTransactionRequest order;
  *order.mutable_transaction() = std::move(transaction);
  agent_.CallLeader<proto::SubmitTransactionResponse>("coordinator.SubmitTransaction", order,
                                                      timeouts_.order, std::move(done));
}

void OperatorClient::SubmitDocumentTransaction(std::shared_ptr<const DocumentTransaction> order,
                                               Done<proto::SubmitTransactionResponse> done) {
  ReadConfiguration(
      0, [this, alive = std::weak_ptr<bool>(alive_), order = std::move(order),
          done = std::move(done)](const Result<proto::GetConfigurationResponse>& current) {
        if (!alive.expired()) {
          SubmitOnConfiguration(current, order, done);
        }
      });
}

void OperatorClient::SubmitOnConfiguration(const Result<proto::GetConfigurationResponse>& current,
                                           const std::shared_ptr<const DocumentTransaction>& order,
                                           const Done<proto::SubmitTransactionResponse>& done) {
  if (!current.ok()) {
    done(current.status());
    return;
  }
  Result<proto::ConfigurationTransaction> transaction =
      MakeTransaction(current->configuration(), *order);
  if (!transaction.ok()) {
    done(transaction.status());
    return;
  }
  Submit(*std::move(transaction), [this, alive = std::weak_ptr<bool>(alive_), order,
                                   done](Result<proto::SubmitTransactionResponse> result) {
    if (!alive.expired() && MayBeSent(result)) {
      SubmitDocumentTransaction(order, done);  // The base arrived between the read and the inquiry.
    } else {
      done(std::move(result));
    }
  });
}

void OperatorClient::Retire(const proto::RetireServerRequest& order,
                            Done<proto::RetireServerResponse> done) {
  agent_.CallLeader<proto::RetireServerResponse>("coordinator.RetireServer", order, timeouts_.order,
                                                 std::move(done));
}

void OperatorClient::ReadRetirement(const std::string& machine,
                                    Done<proto::GetRetirementResponse> done) {
  proto::GetRetirementRequest request;
  request.set_machine(machine);
  agent_.CallLeader<proto::GetRetirementResponse>("coordinator.GetRetirement", request,
                                                  timeouts_.read, std::move(done));
}

}  // namespace cloverbank
