#pragma once
/// @file
/// Sends orders of operators that name no version to build on, such as evacuations. Nothing in such
/// an order tells how old it is, so one that is carried out late would undo a newer one. It is
/// therefore sent only while its operator waits for the answer: not if this process was suspended
/// and may have read it long after it came, not once the operator's connection is closed, and not
/// by retries after the time for which operators wait.
///
/// Threads: the owner's event loop only.

#include <functional>

#include "control_client/node_agent.h"
#include "runtime/environment.h"

namespace cloverbank {

class UnversionedOrderClient {
 public:
  /// Runs once on the event loop, unless this object or the agent is destroyed before.
  /// kUnavailable: the order was not sent; kUnknownOutcome: it may have been carried out.
  template <typename Response>
  using Done = std::function<void(Result<Response>)>;
  /// Whether the operator still waits for the answer.
  using IsWanted = std::function<bool()>;

  UnversionedOrderClient(Environment& environment, NodeAgent& agent);
  ~UnversionedOrderClient();
  UnversionedOrderClient(const UnversionedOrderClient&) = delete;
  UnversionedOrderClient& operator=(const UnversionedOrderClient&) = delete;

  /// Submits a transaction for whatever version is current. `done` runs once it is in force, or the
  /// coordinators refused it.
  void Submit(proto::ConfigurationTransaction transaction, IsWanted is_wanted,
              Done<proto::SubmitTransactionResponse> done);
  /// Starts to retire a machine's servers.
  void Retire(const proto::RetireServerRequest& request, IsWanted is_wanted,
              Done<proto::RetireServerResponse> done);

 private:
  /// Calls `method` of the leader, unless the order may be old or is not wanted any more.
  template <typename Response, typename Request>
  void Send(std::string_view method, const Request& request, IsWanted is_wanted,
            Done<Response> done);
  /// Whether what this process reads now may have waited in its sockets for longer than operators
  /// do.
  bool MayReadOldOrders() const;
  void Tick();

  Environment& environment_;
  NodeAgent& agent_;
  TimePoint last_tick_;
  TimePoint old_orders_until_{};  ///< When the sockets are read that filled during a suspension.
  TimerId tick_timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank
