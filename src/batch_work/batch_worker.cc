#include "batch_work/batch_worker.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "routes/route_match.h"
#include "routes/route_reference.h"
#include "runtime/typed_peer.h"

namespace cloverbank {
namespace {

std::uint32_t ToMilliseconds(Duration duration) {
  return static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(duration).count());
}

proto::CallRequest MakeCallRequest(const proto::WorkGrant& grant) {
  proto::CallRequest request;
  if (grant.item().has_forwarded()) {
    *request.mutable_forwarded() = grant.item().forwarded();
    request.set_prefix_key(grant.item().prefix_key());
    request.set_prompt_tokens(grant.item().prompt_tokens());
    request.set_shared_tokens(grant.item().shared_tokens());
    request.set_failed_runs(grant.failed_runs());
    request.set_call_id(grant.item().custom_id());
    return request;
  }
  request.set_prompt(grant.item().prompt());
  request.set_prefix_key(grant.item().prefix_key());
  request.set_max_tokens(grant.item().max_tokens());
  request.set_call_id(grant.batch_id() + "." + std::to_string(grant.item_index()) + "." +
                      std::to_string(grant.lease_id()));
  return request;
}

}  // namespace

BatchWorker::BatchWorker(Environment& environment, NodeAgent& agent, BackendCaller& caller,
                         BatchWorkerOptions options)
    : environment_(environment),
      agent_(agent),
      caller_(caller),
      options_(options),
      work_items_(options.limits),
      acquire_planner_(options.acquire),
      report_sender_(environment, agent, work_items_,
                     {options.renewal_interval, options.report_deadline, options.retry_delay},
                     {[this](WorkLeaseId lease) { EndLease(lease); }, [this] { RequestTick(); }}) {}

BatchWorker::~BatchWorker() {
  environment_.CancelTimer(tick_timer_);
  for (const auto& [lease, call] : calls_) {
    call->Cancel();
  }
}

void BatchWorker::Start() {
  agent_.OnFleet(lifetime_.Wrap([this] { RequestTick(); }));
  agent_.OnConfiguration(lifetime_.Wrap([this] { RequestTick(); }));
  Tick();
}

void BatchWorker::RequestTick() {
  if (tick_requested_) {
    return;
  }
  tick_requested_ = true;
  environment_.ScheduleAfter(Duration::zero(), lifetime_.Wrap([this] { Tick(); }));
}

void BatchWorker::Tick() {
  tick_requested_ = false;
  environment_.CancelTimer(tick_timer_);
  StartWaitingItems();
  report_sender_.SendDue();
  Acquire();
  environment_.metrics().SetGauge("batch_worker_pending_items", static_cast<double>(pending()));
  environment_.metrics().SetGauge("batch_worker_unreported_results",
                                  static_cast<double>(unreported()));
  tick_timer_ =
      environment_.ScheduleAfter(options_.tick_interval, lifetime_.Wrap([this] { Tick(); }));
}

StartConditions BatchWorker::CurrentConditions() const {
  return {environment_.Now(), agent_.HasValidLease(), &agent_.configuration()};
}

void BatchWorker::StartWaitingItems() {
  const std::vector<WorkLeaseId> waiting = work_items_.Waiting();
  if (waiting.empty()) {
    return;
  }
  BatchCapacity free = FreeCapacity();
  for (const WorkLeaseId lease : waiting) {
    StartOrRefuse(lease, &free);
  }
}

void BatchWorker::StartOrRefuse(WorkLeaseId lease, BatchCapacity* free) {
  const StartConditions conditions = CurrentConditions();
  StartRefusal refusal = work_items_.CanStart(lease, conditions);
  if (refusal == StartRefusal::kNone) {
    const proto::Route* route = work_items_.FindRoute(lease, agent_.configuration());
    const std::string backend = ChooseFreeBackend(*route, *free);
    if (!backend.empty()) {
      --(*free)[backend];
      StartItem(lease, *route, backend);
      return;
    }
    refusal = StartRefusal::kNoCapacity;
  }
  const bool may_start_later =
      refusal == StartRefusal::kNoCapacity || DependsOnConfiguration(refusal);
  if (may_start_later && conditions.now - work_items_.ArrivedAt(lease) < options_.grant_wait) {
    return;
  }
  environment_.metrics().Increment("batch_item_not_started_total",
                                   {{"reason", StartRefusalName(refusal)}});
  work_items_.ReturnUnstarted(lease);
}

std::string BatchWorker::ChooseFreeBackend(const proto::Route& route,
                                           const BatchCapacity& free) const {
  std::vector<proto::WeightedBackend> backends = BackendsOf(route);
  std::erase_if(backends, [&free](const proto::WeightedBackend& weighted) {
    const auto slots = free.find(weighted.backend());
    return slots == free.end() || slots->second == 0;
  });
  return backends.size() == 1 ? backends.front().backend()
                              : ChooseBackend(backends, environment_.Random());
}

void BatchWorker::StartItem(WorkLeaseId lease, const proto::Route& route,
                            const std::string& backend) {
  const proto::WorkGrant& grant = *work_items_.FindGrant(lease);
  proto::Route granted_route = route;
  // The stricter of the two: CanStart refuses the item if only the grant is idempotent.
  granted_route.set_idempotent(grant.idempotent());
  const bool route_sets_deadline =
      route.deadline_ms() > 0 && route.backend_kind() != proto::BACKEND_KIND_HTTP;
  const Duration deadline = route_sets_deadline ? Duration(milliseconds(route.deadline_ms()))
                                                : options_.default_item_deadline;
  work_items_.RecordRunning(lease, backend);
  environment_.metrics().Increment("batch_items_started_total");
  calls_[lease] = caller_.RunBatchItem(
      {granted_route, backend, ReferenceOf(grant), MakeCallRequest(grant), deadline},
      [this, lease, token = lifetime_.token()] { return !token.expired() && CanDispatch(lease); },
      lifetime_.Wrap([this, lease, backend](const BackendOutcome& outcome) {
        FinishItem(lease, backend, outcome);
      }));
}

bool BatchWorker::CanDispatch(WorkLeaseId lease) {
  const StartRefusal refusal = work_items_.CanStart(lease, CurrentConditions());
  if (refusal != StartRefusal::kNone) {
    environment_.metrics().Increment("batch_item_not_started_total",
                                     {{"reason", StartRefusalName(refusal)}});
    return false;
  }
  work_items_.RecordDispatched(lease);
  return true;
}

void BatchWorker::FinishItem(WorkLeaseId lease, const std::string& backend,
                             const BackendOutcome& outcome) {
  calls_.erase(lease);
  if (outcome.executed == proto::EXECUTED_NO && !WasRejected(outcome)) {
    paused_backends_[backend] = environment_.Now() + options_.retry_delay;
  }
  const Duration elapsed = environment_.Now() - work_items_.ArrivedAt(lease);
  work_items_.Finish(lease, outcome, elapsed < options_.grant_wait);
  environment_.metrics().Increment("batch_items_finished_total",
                                   {{"executed", proto::Executed_Name(outcome.executed)}});
  RequestTick();
}

BatchCapacity BatchWorker::FreeCapacity() const {
  std::map<std::string, std::uint32_t> not_dispatched = work_items_.NotDispatchedByBackend();
  BatchCapacity free;
  for (const proto::Route& route : agent_.configuration().routes()) {
    for (const proto::WeightedBackend& weighted : BackendsOf(route)) {
      const std::string& backend = weighted.backend();
      if (!free.contains(backend)) {
        const std::uint32_t slots = IsPaused(backend) ? 0 : caller_.FreeBatchSlots(backend);
        free[backend] = slots - std::min(slots, not_dispatched[backend]);
      }
    }
  }
  return free;
}

std::vector<NodeId> BatchWorker::OwningNodes() const {
  std::set<NodeId> nodes;
  for (const auto& [id, partition] : agent_.fleet().partitions) {
    const NodeId owner = FindPartitionOwner(agent_, id);
    if (owner.valid()) {
      nodes.insert(owner);
    }
  }
  return {nodes.begin(), nodes.end()};
}

bool BatchWorker::IsPaused(const std::string& backend) const {
  const auto paused = paused_backends_.find(backend);
  return paused != paused_backends_.end() && environment_.Now() < paused->second;
}

BatchCapacity BatchWorker::UnclaimedCapacity() const {
  BatchCapacity free = FreeCapacity();
  for (const WorkLeaseId lease : work_items_.Waiting()) {
    const proto::Route* route = work_items_.FindRoute(lease, agent_.configuration());
    const std::string backend = route == nullptr ? "" : ChooseFreeBackend(*route, free);
    if (!backend.empty()) {
      --free[backend];
    }
  }
  return free;
}

bool BatchWorker::ShouldAcquire() const {
  return !draining_ && agent_.HasValidLease() && !work_items_.IsFull() &&
         !agent_.configuration().batch().paused();
}

void BatchWorker::Acquire() {
  if (!ShouldAcquire()) {
    return;
  }
  for (const AcquirePlan& plan :
       acquire_planner_.PlanRequests(environment_.Now(), OwningNodes(), UnclaimedCapacity())) {
    AcquireWork(plan, agent_.fleet().servers.at(plan.node));
  }
}

void BatchWorker::AcquireWork(const AcquirePlan& plan, const proto::Server& server) {
  proto::AcquireWorkRequest request;
  request.set_gateway_node_id(agent_.node_id().value());
  request.set_incarnation(agent_.incarnation().value());
  for (const auto& [backend, slots] : plan.capacity) {
    proto::BackendCapacity* capacity = request.add_capacity();
    capacity->set_backend(backend);
    capacity->set_slots(slots);
  }
  request.set_hold_ms(ToMilliseconds(plan.long_poll_time));
  request.set_configuration_version(agent_.configuration().version());
  request.set_zone(agent_.zone());
  const TimePoint sent = environment_.Now();
  CallPeer<proto::AcquireWorkResponse>(
      environment_, PeerEndpointFor(server), "queue.AcquireWork", request,
      plan.long_poll_time + options_.acquire_timeout,
      lifetime_.Wrap([this, sent, plan, gateway = agent_.node_id()](
                         const Result<proto::AcquireWorkResponse>& result) {
        OnAcquired(plan, gateway, sent, result);
      }));
}

void BatchWorker::OnAcquired(const AcquirePlan& plan, NodeId gateway, TimePoint sent,
                             const Result<proto::AcquireWorkResponse>& result) {
  if (!result.ok()) {
    acquire_planner_.RecordFailure(plan, environment_.Now() + options_.retry_delay);
    RecordQueueNodeFailure(environment_, agent_, "AcquireWork", plan.node, result.status());
    return;
  }
  acquire_planner_.RecordResponse(plan, BackendsOfGrants(*result), environment_.Now());
  HandleGrants(*result, gateway, sent);
  RequestTick();
}

std::set<std::string> BatchWorker::BackendsOfGrants(
    const proto::AcquireWorkResponse& response) const {
  std::set<std::string> backends;
  for (const proto::WorkGrant& grant : response.grants()) {
    const proto::Route* route = ResolveBatchRoute(agent_.configuration(), ReferenceOf(grant));
    if (route != nullptr) {
      for (const proto::WeightedBackend& weighted : BackendsOf(*route)) {
        backends.insert(weighted.backend());
      }
    }
  }
  return backends;
}

void BatchWorker::HandleGrants(const proto::AcquireWorkResponse& response, NodeId gateway,
                               TimePoint sent) {
  for (const proto::WorkGrant& grant : response.grants()) {
    if (!work_items_.Add(grant, gateway, sent, environment_.Now())) {
      environment_.metrics().Increment("batch_grants_repeated_total");
    }
  }
}

void BatchWorker::EndLease(WorkLeaseId lease) {
  if (work_items_.RecordLeaseEnded(lease) != EndedLeaseAction::kCancel) {
    return;
  }
  const auto call = calls_.find(lease);
  if (call != calls_.end()) {
    call->second->Cancel();
    calls_.erase(call);
  }
  work_items_.FinishCancelled(lease);
  environment_.metrics().Increment("batch_items_withdrawn_total");
}

}  // namespace cloverbank
