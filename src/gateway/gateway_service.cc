#include "gateway/gateway_service.h"

#include <algorithm>
#include <utility>

#include "admission/call_queue.h"
#include "batch_work/batch_worker.h"
#include "calls/replica_pool.h"
#include "calls/serving_permission.h"
#include "gateway/batch_api.h"
#include "gateway/batch_service.h"
#include "gateway/forwarding_service.h"
#include "gateway/live_call_handler.h"
#include "gateway/operator_api.h"
#include "gateway/replica_backend_caller.h"
#include "gateway/status_api.h"
#include "gateway/zone_state_log.h"
#include "replicas/prefill_announcer.h"
#include "replicas/shared_list_reader.h"

namespace cloverbank {
namespace {

constexpr Duration kCleanupInterval = seconds(10);

/// Permission by the node agent's lease and configuration. It lasts for `serve_without_control`
/// after the end of the last lease.
class AgentServingPermission final : public ServingPermission {
 public:
  AgentServingPermission(const Environment& environment, const NodeAgent& agent,
                         Duration serve_without_control)
      : environment_(environment), agent_(agent), serve_without_control_(serve_without_control) {}
  bool IsValid() const override {
    // When the coordinators fence this node's id the agent drops its lease, but the time without
    // control still counts from the end of that lease.
    last_lease_end_ = std::max(last_lease_end_, agent_.lease_end());
    return agent_.HasValidLease() || environment_.Now() < last_lease_end_ + serve_without_control_;
  }
  const proto::RoutingConfiguration& configuration() const override {
    return agent_.configuration();
  }

 private:
  const Environment& environment_;
  const NodeAgent& agent_;
  const Duration serve_without_control_;
  mutable TimePoint last_lease_end_{};
};

/// @return the options, with a list reader that asks other gateways before the platform if
/// `replica_list.shared` is set.
GatewayOptions EnableListSharing(Environment& environment, NodeAgent& agent,
                                 GatewayOptions options) {
  if (!options.replica_list.shared) {
    return options;
  }
  const ReplicaListOptions platform_options = options.replica_list;
  options.replica_list.make_reader = [&environment, &agent, platform_options](HttpClient& client) {
    return std::make_unique<SharedListReader>(
        environment, [&agent] { return agent.list_sources(); },
        MakeReplicaListReader(client, platform_options));
  };
  return options;
}

}  // namespace

struct GatewayService::State {
  State(Environment& environment_in, HttpClient& client, HttpRouter& router, NodeAgent& agent_in,
        GatewayOptions options_in)
      : environment(environment_in),
        agent(agent_in),
        options(EnableListSharing(environment_in, agent_in, std::move(options_in))),
        permission(environment, agent, options.serve_without_control),
        pool(environment, client, permission, options),
        queue(environment, options.admission),
        retry_budget(options.retry),
        context{{environment, client, pool, options.calls},
                permission,
                queue,
                retry_budget,
                options.retry},
        live_calls(context, options),
        forwarding(context, options),
        batch_caller(context, options.replica_header_names),
        batch_worker(environment, agent, batch_caller),
        batch_service(environment, agent),
        prefill_announcer(
            environment, [this] { return agent.neighbours(); },
            [this](const std::string& replica, std::uint32_t tokens, std::uint64_t key) {
              pool.OnRemotePrompt(replica, tokens, key);
            }),
        batch_api(environment, router, agent),
        operator_api(router, agent),
        status_api(environment, router, agent) {
    live_calls.Register(router);
    UpdateRank();
  }

  ~State() { environment.CancelTimer(cleanup_timer); }

  void UpdateRank() {
    const GatewayRank& rank = agent.gateway_rank();
    pool.SetQuota({options.zone, rank.own_zone, rank.zones_without_gateway});
  }

  void RemoveIdleLimits() {
    queue.admission().RemoveIdle(agent.configuration(), environment.Now());
    cleanup_timer = environment.ScheduleAfter(kCleanupInterval, [this] { RemoveIdleLimits(); });
  }

  Environment& environment;
  NodeAgent& agent;
  GatewayOptions options;
  AgentServingPermission permission;
  ZoneStateLog zone_state_log;
  ReplicaPool pool;
  CallQueue queue;
  RetryBudget retry_budget;
  CallContext context;
  LiveCallHandler live_calls;
  ForwardingService forwarding;
  ReplicaBackendCaller batch_caller;
  BatchWorker batch_worker;
  BatchService batch_service;
  PrefillAnnouncer prefill_announcer;
  BatchApi batch_api;
  OperatorApi operator_api;
  StatusApi status_api;
  TimerId cleanup_timer = 0;
  bool draining = false;
  /// Expires with this service, since the agent keeps this service's observers for longer; they do
  /// nothing after that.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

GatewayService::GatewayService(Environment& environment, HttpClient& client, HttpRouter& router,
                               NodeAgent& agent, GatewayOptions options)
    : state_(std::make_unique<State>(environment, client, router, agent, std::move(options))) {
  State* state = state_.get();
  const std::weak_ptr<bool> alive = state->alive;
  state->pool.SetPromptObserver(
      [state](const std::string& replica, std::uint32_t tokens, std::uint64_t key) {
        state->prefill_announcer.Announce(replica, tokens, key);
      });
  state->pool.SetCapacityObserver([state] { state->queue.ScheduleDispatch(); });
  agent.OnGatewayRank([state, alive] {
    if (!alive.expired()) {
      state->UpdateRank();
    }
  });
  agent.OnConfiguration([state, alive] {
    if (!alive.expired()) {
      state->zone_state_log.Record(state->agent.configuration());
      state->pool.OnConfiguration();
      state->forwarding.OnConfiguration();
      state->queue.ScheduleDispatch();
    }
  });
}

GatewayService::~GatewayService() = default;

void GatewayService::Start() {
  state_->pool.Start();
  state_->batch_worker.Start();
  state_->RemoveIdleLimits();
}

void GatewayService::Drain(const StopSchedule& schedule) {
  state_->draining = true;
  state_->live_calls.Drain();
  state_->forwarding.Drain(schedule);
  const Duration remaining = schedule.LastAnswersAt() - state_->environment.Now();
  state_->environment.ScheduleAfter(
      std::max(Duration::zero(), remaining),
      [state = state_.get(), alive = std::weak_ptr<bool>(state_->alive)] {
        if (!alive.expired()) {
          state->forwarding.EndUnansweredCalls();
          state->live_calls.EndUnansweredCalls();
        }
      });
  state_->batch_worker.Drain();
}

bool GatewayService::Drained() const {
  const bool batches_finished =
      state_->batch_worker.pending() == 0 && state_->batch_worker.unreported() == 0;
  return state_->draining && batches_finished && calls_in_flight() == 0;
}

bool GatewayService::Ready(std::string* reason) const {
  const char* missing = nullptr;
  if (state_->draining) {
    missing = "the gateway is stopping";
  } else if (!state_->permission.IsValid()) {
    missing = "no lease from the coordinators";
  } else if (state_->agent.configuration().version() == 0) {
    missing = "no configuration yet";
  } else if (!state_->pool.list_usable()) {
    missing = "no list of replicas yet";
  }
  if (missing != nullptr && reason != nullptr) {
    *reason = missing;
  }
  return missing == nullptr;
}

std::size_t GatewayService::calls_in_flight() const {
  return state_->live_calls.calls_in_flight() + state_->forwarding.calls_in_flight();
}

BackendCaller& GatewayService::backend_caller() { return state_->batch_caller; }

ForwardingService& GatewayService::forwarding() { return state_->forwarding; }

BatchService& GatewayService::batches() { return state_->batch_service; }

}  // namespace cloverbank
