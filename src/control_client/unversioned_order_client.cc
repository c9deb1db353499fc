#include "control_client/unversioned_order_client.h"

#include <utility>

namespace cloverbank {
namespace {

/// Operators go on to another node when one has not answered for this long.
constexpr Duration kOperatorWait = seconds(1);
/// Shorter than `kOperatorWait`, so that no retry outlives the operator's wait.
constexpr Duration kOrderDeadline = milliseconds(900);
/// Time in which the loop reads that the operator has closed its connection.
constexpr Duration kDisconnectNotice = milliseconds(10);
constexpr Duration kTickInterval = milliseconds(200);
/// Time in which the loop reads everything that came while the process was suspended.
constexpr Duration kBacklogTime = milliseconds(500);

Status MakeMayBeOldStatus() {
  return {StatusCode::kUnavailable,
          "this node was suspended and can't tell how old the order is; send it to another node"};
}

}  // namespace

UnversionedOrderClient::UnversionedOrderClient(Environment& environment, NodeAgent& agent)
    : environment_(environment), agent_(agent), last_tick_(environment.Now()) {
  Tick();
}

UnversionedOrderClient::~UnversionedOrderClient() { environment_.CancelTimer(tick_timer_); }

void UnversionedOrderClient::Tick() {
  const TimePoint now = environment_.Now();
  if (now - last_tick_ > kOperatorWait) {
    old_orders_until_ = now + kBacklogTime;
  }
  last_tick_ = now;
  tick_timer_ = environment_.ScheduleAfter(kTickInterval, [this] { Tick(); });
}

bool UnversionedOrderClient::MayReadOldOrders() const {
  const TimePoint now = environment_.Now();
  return now - last_tick_ > kOperatorWait || now < old_orders_until_;
}

template <typename Response, typename Request>
void UnversionedOrderClient::Send(std::string_view method, const Request& request,
                                  IsWanted is_wanted, Done<Response> done) {
  environment_.ScheduleAfter(
      kDisconnectNotice,
      [this, alive = std::weak_ptr<bool>(alive_), method = std::string(method), request,
       may_be_old = MayReadOldOrders(), is_wanted = std::move(is_wanted), done = std::move(done)] {
        if (alive.expired()) {
          return;
        }
        if (may_be_old || MayReadOldOrders()) {
          done(MakeMayBeOldStatus());
        } else if (!is_wanted()) {
          done(Status(StatusCode::kUnavailable, "the operator did not wait for the order"));
        } else {
          agent_.CallLeader<Response>(method, request, kOrderDeadline, done);
        }
      });
}

void UnversionedOrderClient::Submit(proto::ConfigurationTransaction transaction, IsWanted is_wanted,
                                    Done<proto::SubmitTransactionResponse> done) {
  proto::SubmitTransactionRequest request;
  *request.mutable_transaction() = std::move(transaction);
  Send("coordinator.SubmitTransaction", request, std::move(is_wanted), std::move(done));
}

void UnversionedOrderClient::Retire(const proto::RetireServerRequest& request, IsWanted is_wanted,
                                    Done<proto::RetireServerResponse> done) {
  Send("coordinator.RetireServer", request, std::move(is_wanted), std::move(done));
}

}  // namespace cloverbank
