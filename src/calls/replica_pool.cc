#include "calls/replica_pool.h"

#include <algorithm>
#include <utility>

#include "base/logging.h"
#include "routes/route_match.h"

namespace cloverbank {
namespace {

constexpr Duration kEvaluationInterval = seconds(1);
/// Time between capacity notifications while replicas that are warming up delay calls.
constexpr Duration kSlowStartNotificationInterval = milliseconds(20);

RouterOptions MakeRouterOptions(const GatewayOptions& options) {
  RouterOptions router;
  router.zone = options.zone;
  router.load_reported = options.probe.enabled;
  return router;
}

ReplicaHealthOptions MakeHealthOptions(const GatewayOptions& options) {
  ReplicaHealthOptions health = options.health;
  health.probed = options.probe.enabled;
  if (!health.probed) {
    health.stall_limit = options.calls.stall_limit;
  }
  return health;
}

}  // namespace

ReplicaPool::ReplicaPool(Environment& environment, HttpClient& client,
                         const ServingPermission& permission, const GatewayOptions& options)
    : environment_(environment),
      permission_(permission),
      own_zone_(options.zone),
      maximum_start_delay_(options.sharing.maximum_start_delay),
      health_(MakeHealthOptions(options)),
      slow_start_(permission, directory_, GatewayQuota{options.zone}),
      prefill_(options.prefill),
      router_(MakeRouterOptions(options), directory_, health_, loads_, &slow_start_.slow_start(),
              &prefill_),
      poller_(environment, client, options.replica_list,
              [this](const proto::ReplicaList& list) { return OnList(list); }),
      prober_(environment, client, options.probe,
              [this](const std::string& id, const std::string& instance_id, bool answered,
                     const HttpHeaders& headers) { OnProbe(id, instance_id, answered, headers); }),
      allowances_(environment, router_, health_, options.sharing),
      probed_(options.probe.enabled) {}

ReplicaPool::~ReplicaPool() {
  environment_.CancelTimer(evaluation_timer_);
  environment_.CancelTimer(capacity_timer_);
}

void ReplicaPool::Start() {
  poller_.Start();
  if (probed_) {
    prober_.Start();
  }
  EvaluateHealth();
}

void ReplicaPool::OnConfiguration() {
  RefreshActive({});
  slow_start_.OnConfiguration(environment_.Now());
}

RoutingChoice ReplicaPool::Choose(const RoutingQuery& query) {
  const TimePoint now = environment_.Now();
  const RoutingChoice choice = router_.Choose(query, now);
  if (choice.replica == nullptr && slow_start_.slow_start().AnyWarmingUp(now)) {
    ScheduleCapacityNotification();
  }
  return choice;
}

void ReplicaPool::ScheduleCapacityNotification() {
  if (capacity_timer_ != 0) {
    return;
  }
  capacity_timer_ = environment_.ScheduleAfter(kSlowStartNotificationInterval, [this] {
    capacity_timer_ = 0;
    NotifyCapacity();
  });
}

void ReplicaPool::SetQuota(const GatewayQuota& quota) {
  if (slow_start_.SetQuota(quota, environment_.Now())) {
    router_.SetQuota(quota);
  }
}

std::uint32_t ReplicaPool::FreeBatchSlots(const std::string& backend) const {
  return router_.FreeBatchSlots(permission_.configuration(), backend, environment_.Now());
}

bool ReplicaPool::CanSend(const ReplicaUse& use, const proto::Route& route) const {
  const ReplicaRecord* record = directory_.Find(use.id);
  const bool listed = record != nullptr && record->ready && record->instance_id == use.instance_id;
  if (!listed) {
    return false;
  }
  const bool backend_allowed =
      route.backend_kind() != proto::BACKEND_KIND_HTTP || AllowsBackend(route, record->backend);
  return list_usable() && backend_allowed &&
         ZoneServes(permission_.configuration(), route, record->zone);
}

ReplicaUse ReplicaPool::MakeUse(const ReplicaRecord& replica, WorkKind work,
                                const PromptShape& prompt, std::string_view prefix_key) const {
  ReplicaUse use;
  use.id = replica.id;
  use.instance_id = replica.instance_id;
  use.work = work;
  if (prompt.known()) {
    use.prompt_tokens = prefill_.TokensToPrefill(replica.id, prompt,
                                                 router_.IsPreferredReplica(replica, prefix_key));
    use.shared_key = prompt.shared_key;
    use.backlog = prefill_.Backlog(replica.id, environment_.Now());
  }
  return use;
}

void ReplicaPool::OnRemotePrompt(const std::string& replica, std::uint32_t tokens,
                                 std::uint64_t key) {
  if (directory_.Find(replica) != nullptr) {
    prefill_.OnStart(replica, tokens, key, environment_.Now());
  }
}

void ReplicaPool::OnCallStarted(const ReplicaUse& use) {
  if (use.prompt_tokens > 0) {
    prefill_.OnStart(use.id, use.prompt_tokens, use.shared_key, environment_.Now());
    if (prompt_observer_) {
      prompt_observer_(use.id, use.prompt_tokens, use.shared_key);
    }
  }
  loads_[use.id].OnStart(use.work);
  slow_start_.slow_start().OnStart(use.id, environment_.Now());
  health_.OnCallStarted(use.id, environment_.Now());
}

void ReplicaPool::OnCallEnded(const ReplicaUse& use, CallOutcome outcome) {
  const TimePoint now = environment_.Now();
  const auto load = loads_.find(use.id);
  if (load != loads_.end()) {
    load->second.OnEnd(use.work);
    if (outcome == CallOutcome::kRefused) {
      load->second.OnRefused(now);
      if (use.work == WorkKind::kBatch) {
        allowances_.OnBatchRefused();
      }
    }
    if (directory_.Find(use.id) == nullptr) {
      RemoveLoadIfUnused(use.id);
    }
  }
  // A call to an earlier incarnation says nothing about the health of the current one.
  const bool current = IsCurrent(use.id, use.instance_id);
  health_.OnCallEnded(use.id, current ? outcome : CallOutcome::kCancelled, now);
  NotifyCapacity();
}

void ReplicaPool::OnResponseHead(const ReplicaUse& use, const HttpHeaders& headers,
                                 Duration latency) {
  if (!IsCurrent(use.id, use.instance_id)) {
    return;
  }
  ApplyLoadReport(use.id, headers);
  if (use.prompt_tokens > 0) {
    prefill_.OnFirstByte(use.id, use.prompt_tokens, use.backlog, latency, environment_.Now());
  }
  health_.OnLatency(use.id, latency);
  health_.OnBytesReceived(use.id, environment_.Now());
  health_.OnServingObserved(use.id, environment_.Now());
  UpdateAllowances(use.id);
}

bool ReplicaPool::IsStalled(const ReplicaUse& use) const {
  return !IsCurrent(use.id, use.instance_id) || health_.IsStalled(use.id, environment_.Now());
}

void ReplicaPool::OnBytesReceived(const ReplicaUse& use) {
  if (IsCurrent(use.id, use.instance_id)) {
    health_.OnBytesReceived(use.id, environment_.Now());
  }
}

void ReplicaPool::OnUnidentifiedRefusal(const ReplicaUse& use) {
  if (omits_call_ids_.insert(use.id).second) {
    Log(LogLevel::kWarning, "replica_omits_call_ids", {{"replica", use.id}});
  }
}

Status ReplicaPool::OnList(const proto::ReplicaList& list) {
  Result<DirectoryChange> change = directory_.Apply(list);
  if (!change.ok()) {
    return change.status();
  }
  if (change->skipped > 0) {
    environment_.metrics().Increment("gateway_replica_list_entries_skipped_total", {},
                                     change->skipped);
  }
  for (const std::string& id : change->removed) {
    prefill_.Remove(id);
    omits_call_ids_.erase(id);
    RemoveLoadIfUnused(id);
  }
  Log(LogLevel::kInfo, "replica_list_changed",
      {{"version", list.version()},
       {"cold", change->warming_up.size()},
       {"stopped", change->stopped.size()},
       {"removed", change->removed.size()}});
  for (const auto& [id, record] : directory_.records()) {
    prefill_.AddReplica(id, record.backend);
  }
  slow_start_.OnList(environment_.Now());
  RefreshActive(change->warming_up);
  return Status::Ok();
}

void ReplicaPool::RemoveLoadIfUnused(const std::string& id) {
  const auto load = loads_.find(id);
  if (load != loads_.end() && load->second.own() == 0) {
    loads_.erase(load);
  }
}

void ReplicaPool::RefreshActive(const std::vector<std::string>& restarted) {
  const ActiveReplicas::Change change =
      active_.Update(directory_, permission_.configuration(), restarted);
  ResetHealth(change);
  if (probed_) {
    UpdateProbeTargets(change.added);
  }
}

void ReplicaPool::ResetHealth(const ActiveReplicas::Change& change) {
  for (const std::string& id : change.removed) {
    health_.Remove(id);
  }
  for (const std::string& id : change.added) {
    Duration delay{};
    if (!change.initial) {
      const auto maximum = static_cast<std::uint64_t>(maximum_start_delay_.count());
      delay = Duration(static_cast<std::int64_t>(environment_.Random() % (maximum + 1)));
    }
    health_.Reset(id, directory_.Find(id)->backend, delay);
  }
}

void ReplicaPool::UpdateProbeTargets(const std::vector<std::string>& added) {
  std::vector<std::string> own_zone_first = added;
  std::stable_partition(
      own_zone_first.begin(), own_zone_first.end(),
      [this](const std::string& id) { return directory_.Find(id)->zone == own_zone_; });
  std::vector<ReplicaProber::Target> targets;
  targets.reserve(active_.ids().size());
  for (const std::string& id : active_.ids()) {
    const ReplicaRecord* record = directory_.Find(id);
    targets.push_back({id, record->endpoint, record->instance_id});
  }
  prober_.SetTargets(targets, own_zone_first);
}

void ReplicaPool::OnProbe(const std::string& id, const std::string& instance_id, bool answered,
                          const HttpHeaders& headers) {
  if (!active_.Contains(id) || !IsCurrent(id, instance_id)) {
    return;
  }
  const TimePoint now = environment_.Now();
  std::uint32_t other_calls = 0;
  if (answered) {
    ApplyLoadReport(id, headers);
    other_calls = loads_[id].others();
  }
  // A preexisting replica that serves calls of others is already warm: it needs no slow start.
  const bool preexisting = answered && active_.TakePreexisting(id);
  health_.OnProbe(id, answered, preexisting && other_calls > 0, now);
  if (other_calls > 0) {
    health_.OnServingObserved(id, now);
  }
  if (answered) {
    UpdateAllowances(id);
  }
  if (health_.IsInSlowStart(id, now)) {
    prober_.RepeatSoon(id);
  }
  NotifyCapacity();
}

bool ReplicaPool::IsCurrent(const std::string& id, const std::string& instance_id) const {
  const ReplicaRecord* record = directory_.Find(id);
  return record != nullptr && record->instance_id == instance_id;
}

void ReplicaPool::ApplyLoadReport(const std::string& id, const HttpHeaders& headers) {
  const std::optional<LoadReport> report = ParseLoadReport(FindHeader(headers, kLoadHeader));
  if (report) {
    loads_[id].OnReport(*report);
  }
}

void ReplicaPool::UpdateAllowances(const std::string& id) {
  allowances_.OnLoadReport(*directory_.Find(id), permission_.configuration(), loads_[id]);
}

void ReplicaPool::EvaluateHealth() {
  health_.Evaluate(environment_.Now());
  PublishMetrics();
  evaluation_timer_ = environment_.ScheduleAfter(kEvaluationInterval, [this] { EvaluateHealth(); });
}

void ReplicaPool::PublishMetrics() {
  std::uint32_t usable = 0;
  for (const std::string& id : active_.ids()) {
    const bool is_usable = health_.GetUsability(id, environment_.Now()) == Usability::kYes;
    usable += is_usable ? 1 : 0;
  }
  Metrics& metrics = environment_.metrics();
  metrics.SetGauge("gateway_replicas", usable, {{"state", "usable"}});
  metrics.SetGauge("gateway_replicas", static_cast<double>(active_.ids().size()),
                   {{"state", "active"}});
  metrics.SetGauge("gateway_replicas", static_cast<double>(directory_.records().size()),
                   {{"state", "listed"}});
  metrics.SetGauge("gateway_replica_list_usable", list_usable() ? 1 : 0);
  allowances_.PublishMetrics();
}

}  // namespace cloverbank
