#include "coordinator/coordinator_service.h"

#include <string>
#include <utility>

#include "base/logging.h"
#include "coordinator/command_proposer.h"
#include "coordinator/fleet_problems.h"
#include "coordinator/heartbeat_handler.h"
#include "coordinator/leader_context.h"
#include "coordinator/leader_duties.h"
#include "coordinator/proto_endpoint.h"
#include "coordinator/transaction_handler.h"
#include "runtime/typed_peer.h"

namespace cloverbank {
namespace {

/// Gap between two ticks above which this process was frozen or starved.
constexpr Duration kTickGapLimit = seconds(1);

template <typename Response>
using Reply = std::function<void(Result<Response>)>;

}  // namespace

struct CoordinatorService::State {
  State(Environment& environment, ReplicatedLog& log, ControlState& control_state,
        CoordinatorOptions options)
      : context(environment, log, control_state, options),
        proposer(context),
        heartbeats(context),
        transactions(context, proposer),
        duties(context, proposer) {}

  void ServeNodes();
  void ServeOperators();
  template <typename Request, typename Response>
  void Serve(std::string_view method,
             void (State::*handler)(const Request& request, Reply<Response> reply));
  /// Proposes `command` and answers with `respond(result)`, or with the refusal.
  template <typename Response>
  void ProposeAndAnswer(const proto::ControlCommand& command, Reply<Response> reply,
                        std::function<Response(const proto::ControlCommandResult&)> respond);

  void RegisterServer(const proto::RegisterServerRequest& request,
                      Reply<proto::RegisterServerResponse> reply);
  void CommitHead(const proto::CommitHeadRequest& request, Reply<proto::CommitHeadResponse> reply);
  void FinishAssignment(const proto::FinishAssignmentRequest& request,
                        Reply<proto::FinishAssignmentResponse> reply);
  void RetireServer(const proto::RetireServerRequest& request,
                    Reply<proto::RetireServerResponse> reply);
  void GetConfiguration(const proto::GetConfigurationRequest& request,
                        Reply<proto::GetConfigurationResponse> reply);
  void GetFleetStatus(const proto::GetFleetStatusRequest& request,
                      Reply<proto::GetFleetStatusResponse> reply);
  void FillFleet(proto::GetFleetStatusResponse* response) const;
  /// @return node ids of the machine's live store roles.
  std::vector<NodeId> StoreNodesOf(const std::string& machine) const;

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
  void NotePause(TimePoint now);

  LeaderContext context;
  CommandProposer proposer;
  HeartbeatHandler heartbeats;
  TransactionHandler transactions;
  LeaderDuties duties;

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

template <typename Request, typename Response>
void CoordinatorService::State::Serve(std::string_view method,
                                      void (State::*handler)(const Request& request,
                                                             Reply<Response> reply)) {
  ServePeer<Request, Response>(
      context.environment, method,
      [this, handler, name = std::string(method), alive = std::weak_ptr<bool>(context.alive)](
          const Request& request, const std::string& /*peer_address*/, Reply<Response> reply) {
        if (alive.expired()) {
          reply(Status(StatusCode::kUnavailable, "the coordinator is stopping"));
          return;
        }
        auto counted = [this, name, reply = std::move(reply)](Result<Response> result) {
          if (!result.ok()) {
            context.environment.metrics().Increment(
                "coordinator_refused_total",
                {{"method", name}, {"reason", StatusCodeName(result.status().code())}});
          }
          reply(std::move(result));
        };
        if (!Ready()) {
          counted(context.NotLeader());
          return;
        }
        (this->*handler)(request, std::move(counted));
      });
}

template <typename Response>
void CoordinatorService::State::ProposeAndAnswer(
    const proto::ControlCommand& command, Reply<Response> reply,
    std::function<Response(const proto::ControlCommandResult&)> respond) {
  proposer.Propose(command, [reply = std::move(reply), respond = std::move(respond)](
                                const Result<proto::ControlCommandResult>& result) {
    if (result.ok()) {
      reply(respond(*result));
    } else {
      reply(result.status());
    }
  });
}

void CoordinatorService::State::ServeNodes() {
  Serve("coordinator.RegisterServer", &State::RegisterServer);
  Serve("coordinator.CommitHead", &State::CommitHead);
  Serve("coordinator.FinishAssignment", &State::FinishAssignment);
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
  Serve("coordinator.RetireServer", &State::RetireServer);
  Serve("coordinator.GetConfiguration", &State::GetConfiguration);
  Serve("coordinator.GetFleetStatus", &State::GetFleetStatus);
  ServePeer<proto::SubmitTransactionRequest, proto::SubmitTransactionResponse>(
      context.environment, "coordinator.SubmitTransaction",
      [this, alive = std::weak_ptr<bool>(context.alive)](
          const proto::SubmitTransactionRequest& request, const std::string& /*peer_address*/,
          TransactionHandler::Reply reply) {
        if (alive.expired()) {
          reply(Status(StatusCode::kUnavailable, "the coordinator is stopping"));
          return;
        }
        Ready();
        transactions.Submit(request.transaction(), std::move(reply));
      });
}

void CoordinatorService::State::RegisterServer(const proto::RegisterServerRequest& request,
                                               Reply<proto::RegisterServerResponse> reply) {
  duties.InitializePartitions();
  proto::ControlCommand command;
  *command.mutable_register_server()->mutable_server() = request.server();
  command.mutable_register_server()->set_previous_node_id(request.previous_node_id());
  ProposeAndAnswer<proto::RegisterServerResponse>(
      command, std::move(reply), [this](const proto::ControlCommandResult& result) {
        context.detector.Heard(NodeId(result.node_id()), context.environment.Now());
        proto::RegisterServerResponse response;
        response.set_node_id(result.node_id());
        response.set_partition_count(context.state.partitions().partition_count());
        return response;
      });
}

void CoordinatorService::State::CommitHead(const proto::CommitHeadRequest& request,
                                           Reply<proto::CommitHeadResponse> reply) {
  proto::ControlCommand command;
  *command.mutable_commit_head()->mutable_head() = request.head();
  ProposeAndAnswer<proto::CommitHeadResponse>(
      command, std::move(reply),
      [](const proto::ControlCommandResult&) { return proto::CommitHeadResponse(); });
}

void CoordinatorService::State::FinishAssignment(const proto::FinishAssignmentRequest& request,
                                                 Reply<proto::FinishAssignmentResponse> reply) {
  proto::ControlCommand command;
  proto::FinishAssignmentCommand& finish = *command.mutable_finish_assignment();
  finish.set_dead_node_id(request.dead_node_id());
  finish.set_queue_node_id(request.queue_node_id());
  *finish.mutable_partition_ids() = request.partition_ids();
  ProposeAndAnswer<proto::FinishAssignmentResponse>(
      command, std::move(reply),
      [](const proto::ControlCommandResult&) { return proto::FinishAssignmentResponse(); });
}

std::vector<NodeId> CoordinatorService::State::StoreNodesOf(const std::string& machine) const {
  std::vector<NodeId> nodes;
  for (const auto& [id, server] : context.state.servers().servers()) {
    if (server.machine() == machine && IsLive(server) && server.role() != proto::ROLE_GATEWAY) {
      nodes.push_back(id);
    }
  }
  return nodes;
}

void CoordinatorService::State::RetireServer(const proto::RetireServerRequest& request,
                                             Reply<proto::RetireServerResponse> reply) {
  if (!context.state.servers().KnowsStoreMachine(request.machine())) {
    reply(Status(StatusCode::kNotFound, "there is no store machine called \"" + request.machine() +
                                            "\"; see the fleet status for the names"));
    return;
  }
  proto::ControlCommand command;
  command.mutable_retire_machine()->set_machine(request.machine());
  command.mutable_retire_machine()->set_cancel(request.cancel());
  ProposeAndAnswer<proto::RetireServerResponse>(
      command, std::move(reply),
      [this, machine = request.machine()](const proto::ControlCommandResult&) {
        proto::RetireServerResponse response;
        for (const NodeId node : StoreNodesOf(machine)) {
          response.add_node_ids(node.value());
        }
        return response;
      });
}

void CoordinatorService::State::GetConfiguration(const proto::GetConfigurationRequest& request,
                                                 Reply<proto::GetConfigurationResponse> reply) {
  const ConfigurationStore& configuration = context.state.configuration();
  proto::GetConfigurationResponse response;
  *response.mutable_configuration() = configuration.Whole();
  for (proto::HistoryRecord& record : configuration.History(request.history())) {
    *response.add_history() = std::move(record);
  }
  response.set_in_force_version(configuration.in_force_version().value());
  reply(std::move(response));
}

void CoordinatorService::State::GetFleetStatus(const proto::GetFleetStatusRequest& /*request*/,
                                               Reply<proto::GetFleetStatusResponse> reply) {
  proto::GetFleetStatusResponse response;
  FillFleet(&response);
  const std::vector<LogMember> members = context.log.members();
  for (const LogMember& member : members) {
    proto::CoordinatorMember* entry = response.add_coordinators();
    entry->set_member_id(member.member_id);
    *entry->mutable_endpoint() = ToProto(member.endpoint);
    entry->set_learner(member.learner);
    entry->set_leader(member.endpoint == context.log.leader_endpoint());
  }
  const FleetFacts facts{context.state,
                         context.options,
                         duties.recoveries(),
                         duties.sweeper(),
                         context.loads,
                         members,
                         GatewaysBehind(context.state, context.leases, context.environment.Now())};
  for (std::string& problem : DescribeProblems(facts)) {
    response.add_problems(std::move(problem));
  }
  reply(std::move(response));
}

void CoordinatorService::State::FillFleet(proto::GetFleetStatusResponse* response) const {
  for (const auto& [id, server] : context.state.servers().servers()) {
    *response->add_servers() = server;
  }
  for (const auto& [id, partition] : context.state.partitions().partitions()) {
    *response->add_partitions() = partition;
  }
  for (const auto& [node, heads] : context.state.partitions().heads()) {
    *response->add_heads() = heads.current;
  }
  for (const auto& [dead, recovery] : context.state.partitions().recoveries()) {
    proto::Recovery* entry = response->add_recoveries();
    *entry = recovery;
    entry->set_waiting_for(duties.recoveries().WaitingFor(context.state, dead));
  }
  response->set_configuration_version(context.state.configuration().version().value());
  response->set_in_force_version(context.state.configuration().in_force_version().value());
}

// ---- Leadership and time ----

void CoordinatorService::State::BeginLeading() {
  const TimePoint now = context.environment.Now();
  Log(LogLevel::kInfo, "coordinator_leads", {{"term", context.log.term()}});
  leading = true;
  leading_term = context.log.term();
  last_able = now;
  context.leases.Start(now, context.state.servers().next_node_id());
  context.detector.Start(now);
  context.condemned.clear();
  context.doubtful.clear();
  context.loads.clear();
  proposer.Reset();
  duties.Begin();
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
  if (context.MayAnswer()) {
    NotePause(now);
    last_able = now;
  }
  Review();
}

void CoordinatorService::State::NotePause(TimePoint now) {
  const Duration gap = now - last_able - context.options.tick;
  if (leading && gap > kTickGapLimit) {
    context.detector.SkipPause(gap, now);
  }
}

bool CoordinatorService::State::Ready() {
  if (!context.MayAnswer()) {
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
  duties.Step();
}

void CoordinatorService::State::ReviewTransactions() {
  if (Ready()) {
    transactions.Review();
  }
}

}  // namespace cloverbank
