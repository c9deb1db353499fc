#include "coordinator/coordinator_service.h"

#include <string>
#include <utility>

#include "base/logging.h"
#include "coordinator/heartbeat_handler.h"
#include "coordinator/leader_reply.h"
#include "coordinator/node_requests.h"
#include "coordinator/operator_requests.h"
#include "coordinator/transaction_handler.h"
#include "leader/command_proposer.h"
#include "leader/leader_context.h"
#include "leader/leader_controller.h"
#include "runtime/typed_peer.h"

namespace cloverbank {
namespace {

/// Gap between two ticks above which this process was frozen or starved.
constexpr Duration kTickGapLimit = seconds(1);

}  // namespace

struct CoordinatorService::State {
  State(Environment& environment, ReplicatedLog& log, ControlState& control_state,
        CoordinatorOptions options)
      : context(environment, log, control_state, options),
        proposer(context),
        heartbeats(context),
        transactions(context, proposer),
        leader_controller(context, proposer),
        node_requests(context, proposer, leader_controller),
        operator_requests(context, proposer, leader_controller) {}

  void ServeNodes();
  void ServeOperators();
  /// Lets `handler` of `requests` answer `method`, if this member may answer.
  template <typename Requests, typename Request, typename Response>
  void Serve(std::string_view method, Requests& requests,
             void (Requests::*handler)(const Request& request, const Reply<Response>& reply));

  void Tick();
  void ScheduleTick();
  /// Runs `action` in a turn of the event loop of its own; once, however often it is asked for.
  void ScheduleOnce(bool* scheduled, void (State::*action)());
  /// Looks at everything again.
  void Review();
  /// A node may have confirmed a version that a transaction waits for.
  void ReviewTransactions();
  /// Whether this member may answer; begins to lead if it has not noticed yet.
  bool Ready();
  void BeginLeading();
  void StopLeading();
  void RecordPause(TimePoint now);

  LeaderContext context;
  CommandProposer proposer;
  HeartbeatHandler heartbeats;
  TransactionHandler transactions;
  LeaderController leader_controller;
  NodeRequests node_requests;
  OperatorRequests operator_requests;

  bool leading = false;
  std::uint64_t leading_term = 0;
  bool review_scheduled = false;
  bool transactions_scheduled = false;
  TimePoint last_able;  ///< Last tick at which this member could hear and answer nodes.
};

CoordinatorService::CoordinatorService(Environment& environment, ReplicatedLog& log,
                                       ControlState& state, CoordinatorOptions options)
    : state_(std::make_unique<State>(environment, log, state, options)) {}

CoordinatorService::~CoordinatorService() = default;

void CoordinatorService::Start() {
  State& state = *state_;
  state.ServeNodes();
  state.ServeOperators();
  const std::weak_ptr<bool> alive = state.context.alive;
  state.context.log.OnLeadershipChange([&state, alive](bool leads) {
    if (!alive.expired()) {
      leads ? state.BeginLeading() : state.StopLeading();
    }
  });
  state.context.log.OnApplied([&state, alive](std::uint64_t /*index*/) {
    if (!alive.expired()) {
      state.ScheduleOnce(&state.review_scheduled, &State::Review);
    }
  });
  state.ScheduleTick();
}

// ---- Peer methods ----

template <typename Requests, typename Request, typename Response>
void CoordinatorService::State::Serve(std::string_view method, Requests& requests,
                                      void (Requests::*handler)(const Request& request,
                                                                const Reply<Response>& reply)) {
  ServePeer<Request, Response>(
      context.environment, method,
      [this, &requests, handler, name = std::string(method),
       alive = std::weak_ptr<bool>(context.alive)](
          const Request& request, const std::string& /*peer_address*/, Reply<Response> reply) {
        if (alive.expired()) {
          reply(Status(StatusCode::kUnavailable, "the coordinator is stopping"));
          return;
        }
        const Reply<Response> counted = [this, name,
                                         reply = std::move(reply)](Result<Response> result) {
          if (!result.ok()) {
            context.environment.metrics().Increment(
                "coordinator_refused_total",
                {{"method", name}, {"reason", StatusCodeName(result.status().code())}});
          }
          reply(std::move(result));
        };
        if (Ready()) {
          (requests.*handler)(request, counted);
        } else {
          counted(context.NotLeader());
        }
      });
}

void CoordinatorService::State::ServeNodes() {
  Serve("coordinator.RegisterServer", node_requests, &NodeRequests::RegisterServer);
  Serve("coordinator.CommitHead", node_requests, &NodeRequests::CommitHead);
  Serve("coordinator.FinishAssignment", node_requests, &NodeRequests::FinishAssignment);
  ServePeer<proto::HeartbeatRequest, proto::HeartbeatResponse>(
      context.environment, "coordinator.Heartbeat",
      [this, alive = std::weak_ptr<bool>(context.alive)](const proto::HeartbeatRequest& request,
                                                         const std::string& /*peer_address*/,
                                                         HeartbeatHandler::Reply reply) {
        if (alive.expired()) {
          reply(Status(StatusCode::kUnavailable, "the coordinator is stopping"));
          return;
        }
        Ready();
        heartbeats.Handle(request, std::move(reply));
        ScheduleOnce(&transactions_scheduled, &State::ReviewTransactions);
      });
}

void CoordinatorService::State::ServeOperators() {
  Serve("coordinator.RetireServer", operator_requests, &OperatorRequests::RetireServer);
  Serve("coordinator.GetRetirement", operator_requests, &OperatorRequests::GetRetirement);
  Serve("coordinator.GetConfiguration", operator_requests, &OperatorRequests::GetConfiguration);
  Serve("coordinator.GetFleetStatus", operator_requests, &OperatorRequests::GetFleetStatus);
  Serve("coordinator.SubmitTransaction", transactions, &TransactionHandler::Submit);
}

// ---- Leadership and time ----

void CoordinatorService::State::BeginLeading() {
  const TimePoint now = context.environment.Now();
  Log(LogLevel::kInfo, "coordinator_became_leader", {{"term", context.log.term()}});
  leading = true;
  leading_term = context.log.term();
  last_able = now;
  context.leases.Start(now, context.state.servers().next_node_id());
  context.detector.Start(now);
  context.condemned.clear();
  context.doubtful.clear();
  context.loads.clear();
  proposer.Reset();
  leader_controller.Begin();
  ScheduleOnce(&review_scheduled, &State::Review);
}

void CoordinatorService::State::StopLeading() {
  leading = false;
  heartbeats.RefuseAll();
  transactions.RefuseAll();
}

void CoordinatorService::State::ScheduleTick() {
  context.environment.ScheduleAfter(context.options.tick,
                                    [this, alive = std::weak_ptr<bool>(context.alive)] {
                                      if (!alive.expired()) {
                                        Tick();
                                        ScheduleTick();
                                      }
                                    });
}

void CoordinatorService::State::ScheduleOnce(bool* scheduled, void (State::*action)()) {
  if (*scheduled) {
    return;
  }
  *scheduled = true;
  context.environment.ScheduleAfter(
      Duration::zero(), [this, scheduled, action, alive = std::weak_ptr<bool>(context.alive)] {
        if (!alive.expired()) {
          *scheduled = false;
          (this->*action)();
        }
      });
}

void CoordinatorService::State::Tick() {
  const TimePoint now = context.environment.Now();
  if (context.CanAnswer()) {
    RecordPause(now);
    last_able = now;
  }
  Review();
}

void CoordinatorService::State::RecordPause(TimePoint now) {
  const Duration gap = now - last_able - context.options.tick;
  if (leading && gap > kTickGapLimit) {
    context.detector.SkipPause(gap, now);
  }
}

bool CoordinatorService::State::Ready() {
  if (!context.CanAnswer()) {
    return false;
  }
  if (!leading || leading_term != context.log.term()) {
    BeginLeading();  // The observer has not run yet.
  }
  return true;
}

void CoordinatorService::State::Review() {
  if (!Ready()) {
    heartbeats.RefuseAll();
    transactions.RefuseAll();
    return;
  }
  heartbeats.Review();
  transactions.Review();
  leader_controller.Step();
}

void CoordinatorService::State::ReviewTransactions() {
  if (Ready()) {
    transactions.Review();
  }
}

}  // namespace cloverbank
