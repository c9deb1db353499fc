#include "node/operator_orders.h"

#include <utility>

namespace cloverbank {

void OperatorOrders::ReadConfiguration(std::uint32_t history,
                                       Done<proto::GetConfigurationResponse> done) {
  proto::GetConfigurationRequest question;
  question.set_history(history);
  agent_.CallLeader<proto::GetConfigurationResponse>("coordinator.GetConfiguration", question,
                                                     timeouts_.read, std::move(done));
}

void OperatorOrders::Submit(proto::ConfigurationTransaction transaction,
                            Done<proto::SubmitTransactionResponse> done) {
  proto::SubmitTransactionRequest order;
  *order.mutable_transaction() = std::move(transaction);
  agent_.CallLeader<proto::SubmitTransactionResponse>("coordinator.SubmitTransaction", order,
                                                      timeouts_.order, std::move(done));
}

void OperatorOrders::Retire(const proto::RetireServerRequest& order,
                            Done<proto::RetireServerResponse> done) {
  agent_.CallLeader<proto::RetireServerResponse>("coordinator.RetireServer", order, timeouts_.order,
                                                 std::move(done));
}

void OperatorOrders::ReadRetirement(const std::string& machine,
                                    Done<proto::GetRetirementResponse> done) {
  proto::GetRetirementRequest question;
  question.set_machine(machine);
  agent_.CallLeader<proto::GetRetirementResponse>("coordinator.GetRetirement", question,
                                                  timeouts_.read, std::move(done));
}

}  // namespace cloverbank
