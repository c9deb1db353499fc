#pragma once
/// @file
/// The state of all replicas as this gateway knows it: connects the platform's list, health checks,
/// load and the router, and records every call to a replica. Threads: the owner's event loop only.

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "calls/active_replicas.h"
#include "calls/capacity_allowances.h"
#include "calls/gateway_options.h"
#include "calls/serving_permission.h"
#include "calls/slow_start_quota.h"
#include "net/http_types.h"
#include "replicas/replica_directory.h"
#include "replicas/replica_health.h"
#include "replicas/replica_list_poller.h"
#include "replicas/replica_load.h"
#include "replicas/replica_prober.h"
#include "routing/router.h"
#include "runtime/environment.h"

namespace cloverbank {

/// The use of one incarnation of a replica by one attempt.
struct ReplicaUse {
  std::string id;
  std::string instance_id;
  WorkKind work = WorkKind::kLive;
  std::uint32_t prompt_tokens = 0;  ///< Estimated tokens to prefill.
  std::uint64_t shared_key = 0;     ///< Identifies the prefix shared with other calls; 0: none.
  Duration backlog{};               ///< Estimated time to prefill the prompts sent before.
};

class ReplicaPool {
 public:
  ReplicaPool(Environment& environment, HttpClient& client, const ServingPermission& permission,
              const GatewayOptions& options);
  ~ReplicaPool();
  ReplicaPool(const ReplicaPool&) = delete;
  ReplicaPool& operator=(const ReplicaPool&) = delete;

  /// Starts to read the list, to probe replicas and to evaluate their health.
  void Start();
  /// A newer configuration applies: zones may have opened or closed.
  void OnConfiguration();

  /// Chooses a replica for a call. If none is chosen while a replica is warming up, the capacity
  /// observer runs soon.
  RoutingChoice Choose(const RoutingQuery& query);
  /// @return how many more batch items may start now on replicas of `backend`.
  std::uint32_t FreeBatchSlots(const std::string& backend) const;
  /// Whether a call of `route` may be sent to this incarnation of a replica now: a list that is not
  /// stale has it as ready, the route allows its back end, and its zone is open and allowed.
  bool CanSend(const ReplicaUse& use, const proto::Route& route) const;

  /// @return the use of `replica` by a call with this prompt.
  ReplicaUse MakeUse(const ReplicaRecord& replica, WorkKind work, const PromptShape& prompt,
                     std::string_view prefix_key) const;
  /// An attempt is handed to the HTTP client; each one must be followed by one `OnCallEnded`.
  void OnCallStarted(const ReplicaUse& use);
  /// Another gateway sent a prompt to the replica; unknown replicas are ignored.
  /// @param tokens to prefill. @param key of the shared prefix.
  void OnRemotePrompt(const std::string& replica, std::uint32_t tokens, std::uint64_t key);
  /// Runs within `OnCallStarted` for each prompt that this gateway sends, if it has tokens to
  /// prefill. `tokens` and `key` are as for `OnRemotePrompt`.
  using PromptObserver =
      std::function<void(const std::string& replica, std::uint32_t tokens, std::uint64_t key)>;
  void SetPromptObserver(PromptObserver observer) { prompt_observer_ = std::move(observer); }
  /// @param outcome what the end of the call says about the replica's health; it is no evidence if
  /// the replica is another incarnation now.
  void OnCallEnded(const ReplicaUse& use, CallOutcome outcome);
  /// The head of a response was received `latency` after the request was sent.
  void OnResponseHead(const ReplicaUse& use, const HttpHeaders& headers, Duration latency);

  /// Whether the replica has not responded to running calls for longer than the stall limit, or is
  /// another incarnation now.
  bool IsStalled(const ReplicaUse& use) const;
  /// Bytes of a response were received.
  void OnBytesReceived(const ReplicaUse& use);

  /// A refusal without a call id was received on a connection that had carried other requests, so
  /// it shows nothing about the call. From now on each call to this replica needs a connection of
  /// its own.
  void OnUnidentifiedRefusal(const ReplicaUse& use);
  /// Whether calls to the replica need connections of their own.
  bool NeedsNewConnections(const std::string& id) const { return omits_call_ids_.contains(id); }

  /// Sets this gateway's part of the call rates of warming replicas and of the batch capacity.
  void SetQuota(const GatewayQuota& quota);

  /// Sets the observer that runs whenever a replica may have free capacity again.
  void SetCapacityObserver(std::function<void()> observer) {
    capacity_observer_ = std::move(observer);
  }
  /// Expires when the pool is destroyed. Calls whose connection may outlive the pool check it.
  std::weak_ptr<const void> lifetime() const { return lifetime_; }
  bool list_loaded() const { return poller_.loaded(); }
  /// Whether a list was read and is not stale.
  bool list_usable() const { return poller_.loaded() && poller_.IsFresh(); }
  const ReplicaDirectory& directory() const { return directory_; }
  const ReplicaHealth& health() const { return health_; }
  const LoadTable& loads() const { return loads_; }

 private:
  /// Applies a newly read list. @return kInvalidArgument if the list was not applied.
  Status OnList(const proto::ReplicaList& list);
  void OnProbe(const std::string& id, const std::string& instance_id, bool answered,
               const HttpHeaders& headers);
  /// Recomputes the active replicas. @param restarted ids of replicas that began a new incarnation.
  void RefreshActive(const std::vector<std::string>& restarted);
  void ResetHealth(const ActiveReplicas::Change& change);
  /// Probes all active replicas. @param added ids of replicas that are probed first, those in the
  /// own zone before the others.
  void UpdateProbeTargets(const std::vector<std::string>& added);
  void RemoveLoadIfUnused(const std::string& id);
  /// Whether the list has this incarnation of the replica.
  bool IsCurrent(const std::string& id, const std::string& instance_id) const;
  /// Stores the load that a response reports in its headers, if any.
  void ApplyLoadReport(const std::string& id, const HttpHeaders& headers);
  /// Sets how many calls this gateway may send to a replica until the replica's next report.
  void UpdateAllowances(const std::string& id);
  /// Schedules a run of the capacity observer: a replica that is warming up gets new capacity just
  /// by the passing of time, without any event.
  void ScheduleCapacityNotification();
  void EvaluateHealth();
  void PublishMetrics();
  void NotifyCapacity() {
    if (capacity_observer_) {
      capacity_observer_();
    }
  }

  Environment& environment_;
  const ServingPermission& permission_;
  const std::string own_zone_;
  const Duration maximum_start_delay_;
  ReplicaDirectory directory_;
  ReplicaHealth health_;
  LoadTable loads_;
  SlowStartQuota slow_start_;
  PrefillLoad prefill_;
  Router router_;
  ReplicaListPoller poller_;
  ReplicaProber prober_;
  CapacityAllowances allowances_;
  ActiveReplicas active_;
  std::set<std::string> omits_call_ids_;  ///< Replicas whose refusals have no call id.
  std::function<void()> capacity_observer_;
  PromptObserver prompt_observer_;
  TimerId evaluation_timer_ = 0;
  TimerId capacity_timer_ = 0;
  const bool probed_;  ///< Whether this gateway sends health checks.
  std::shared_ptr<const void> lifetime_ = std::make_shared<int>(0);
};

}  // namespace cloverbank
