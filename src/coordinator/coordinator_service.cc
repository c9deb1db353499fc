#include "coordinator/coordinator_service.h"

#include "coordinator/coalesced_task.h"
#include "coordinator/coordinator_methods.h"
#include "coordinator/heartbeat_handler.h"
#include "coordinator/leader_session.h"
#include "coordinator/node_requests.h"
#include "coordinator/operator_requests.h"
#include "coordinator/transaction_handler.h"
#include "leader/command_proposer.h"
#include "leader/leader_context.h"
#include "leader/leader_controller.h"

namespace cloverbank {

/// The parts of the service, and the events after which they check for work that is due: ticks,
/// applied commands, changes of leadership and heartbeats.
struct CoordinatorService::State {
  State(Environment& environment, ReplicatedLog& log, ControlState& control_state,
        CoordinatorOptions options)
      : context(environment, log, control_state, options),
        proposer(context),
        heartbeats(context),
        transactions(context, proposer),
        leader_controller(context, proposer),
        node_requests(context, proposer, leader_controller),
        operator_requests(context, proposer, leader_controller),
        review(environment, [this] { Review(); }),
        transaction_review(environment, [this] { ReviewTransactions(); }),
        session(context, proposer, leader_controller, [this] { review.Schedule(); }),
        methods(context, session, {node_requests, operator_requests, heartbeats, transactions},
                [this] { transaction_review.Schedule(); }) {}

  void ObserveLog();
  void HandleLeadershipChange(bool leads);
  void ScheduleTick();
  void Tick();
  /// Answers heartbeats and transactions that are due and runs a step of the leader's work; refuses
  /// all pending ones if this member may not answer.
  void Review();
  /// Runs after heartbeats: a node may have confirmed the version that a transaction waits for.
  void ReviewTransactions();
  void RefuseAll();

  LeaderContext context;
  CommandProposer proposer;
  HeartbeatHandler heartbeats;
  TransactionHandler transactions;
  LeaderController leader_controller;
  NodeRequests node_requests;
  OperatorRequests operator_requests;
  CoalescedTask review;
  CoalescedTask transaction_review;
  LeaderSession session;
  CoordinatorMethods methods;
};

CoordinatorService::CoordinatorService(Environment& environment, ReplicatedLog& log,
                                       ControlState& state, CoordinatorOptions options)
    : state_(std::make_unique<State>(environment, log, state, options)) {}

CoordinatorService::~CoordinatorService() = default;

void CoordinatorService::Start() {
  state_->methods.Serve();
  state_->ObserveLog();
  state_->ScheduleTick();
}

void CoordinatorService::State::ObserveLog() {
  const std::weak_ptr<bool> alive = context.alive;
  context.log.OnLeadershipChange([this, alive](bool leads) {
    if (!alive.expired()) {
      HandleLeadershipChange(leads);
    }
  });
  context.log.OnApplied([this, alive](std::uint64_t /*index*/) {
    if (!alive.expired()) {
      review.Schedule();
    }
  });
}

void CoordinatorService::State::HandleLeadershipChange(bool leads) {
  if (leads) {
    session.BeginTerm();
  } else {
    session.End();
    RefuseAll();
  }
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

void CoordinatorService::State::Tick() {
  session.RecordTick();
  Review();
}

void CoordinatorService::State::Review() {
  if (!session.EnsureReady()) {
    RefuseAll();
    return;
  }
  heartbeats.Review();
  transactions.Review();
  leader_controller.Step();
}

void CoordinatorService::State::ReviewTransactions() {
  if (session.EnsureReady()) {
    transactions.Review();
  }
}

void CoordinatorService::State::RefuseAll() {
  heartbeats.RefuseAll();
  transactions.RefuseAll();
}

}  // namespace cloverbank
