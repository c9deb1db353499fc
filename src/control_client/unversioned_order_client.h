#pragma once
/// @file
/// Sends orders of operators that name no version to build on, such as evacuations. Nothing in such
/// an order tells how old it is, and one that is carried out late would undo a newer one. The
/// leader therefore carries it out only if it names the current revision of what it changes. An
/// order without a revision changes nothing and is told the current one; the node passes that on to
/// the operator, and only an operator that still wants the order sends it again with the revision.
///
/// Threads: the owner's event loop only.

#include <cstdint>
#include <functional>
#include <string>

#include "control_client/node_agent.h"
#include "runtime/environment.h"

namespace cloverbank {

/// What the node knows of an order besides its content.
struct OrderContext {
  std::uint64_t revision = 0;  ///< 0: the order has none yet.
  TimePoint taken;             ///< When this node first took the order, for logs.
};

class UnversionedOrderClient {
 public:
  /// Runs once on the event loop, unless the agent is destroyed before.
  /// kStaleEpoch: not carried out; the detail is the current revision. kUnavailable: not sent;
  /// kUnknownOutcome: it may have been carried out.
  template <typename Response>
  using Done = std::function<void(Result<Response>)>;

  /// @param node name of this node, for logs.
  UnversionedOrderClient(Environment& environment, NodeAgent& agent, std::string node);

  /// Submits a transaction for whatever version is current. `done` runs once it is in force, or the
  /// coordinators refused it.
  void Submit(proto::ConfigurationTransaction transaction, const OrderContext& order,
              Done<proto::SubmitTransactionResponse> done);
  /// Starts to retire a machine's servers, or cancels that.
  void Retire(proto::RetireServerRequest request, const OrderContext& order,
              Done<proto::RetireServerResponse> done);

 private:
  proto::OrderGuard MakeGuard(const OrderContext& order) const;

  Environment& environment_;
  NodeAgent& agent_;
  const std::string node_;
};

}  // namespace cloverbank
