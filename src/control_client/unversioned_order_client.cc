#include "control_client/unversioned_order_client.h"

#include <algorithm>
#include <utility>

namespace cloverbank {
namespace {

/// Operators go on to another node when one has not answered for a second.
constexpr Duration kOrderDeadline = milliseconds(900);

}  // namespace

UnversionedOrderClient::UnversionedOrderClient(Environment& environment, NodeAgent& agent,
                                               std::string node)
    : environment_(environment), agent_(agent), node_(std::move(node)) {}

proto::OrderGuard UnversionedOrderClient::MakeGuard(const OrderContext& order) const {
  const Duration age = std::max(Duration::zero(), environment_.Now() - order.taken);
  proto::OrderGuard guard;
  guard.set_revision(order.revision);
  guard.set_node(node_);
  guard.set_age_ms(
      static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(age).count()));
  return guard;
}

void UnversionedOrderClient::Submit(proto::ConfigurationTransaction transaction,
                                    const OrderContext& order,
                                    Done<proto::SubmitTransactionResponse> done) {
  proto::SubmitTransactionRequest request;
  *request.mutable_transaction() = std::move(transaction);
  *request.mutable_guard() = MakeGuard(order);
  agent_.CallLeader<proto::SubmitTransactionResponse>("coordinator.SubmitTransaction", request,
                                                      kOrderDeadline, std::move(done));
}

void UnversionedOrderClient::Retire(proto::RetireServerRequest request, const OrderContext& order,
                                    Done<proto::RetireServerResponse> done) {
  *request.mutable_guard() = MakeGuard(order);
  agent_.CallLeader<proto::RetireServerResponse>("coordinator.RetireServer", request,
                                                 kOrderDeadline, std::move(done));
}

}  // namespace cloverbank
