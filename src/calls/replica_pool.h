#pragma once
/// @file
/// All replicas as this gateway sees them: connects the platform's list, health checks, load and
/// the router, and records every call to a replica. Threads: the owner's event loop only.

#include <functional>
#include <memory>
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

/// One use of a replica by a call.
struct ReplicaUse {
  std::string id;
  std::string instance_id;
  WorkKind work = WorkKind::kLive;
  std::uint32_t prompt_tokens = 0;  ///< Estimated tokens to prefill.
  std::uint64_t shared_key = 0;     ///< Identifies the prefix shared with other calls.
  Duration backlog{};               ///< Time to prefill the prompts before it.
};

class ReplicaPool {
 public:
  ReplicaPool(Environment& environment, HttpClient& client, const ServingPermission& permission,
              const GatewayOptions& options);
  ~ReplicaPool();
  ReplicaPool(const ReplicaPool&) = delete;
  ReplicaPool& operator=(const ReplicaPool&) = delete;

  void Start();
  /// A newer configuration applies: zones may have opened or closed.
  void OnConfiguration();

  RoutingChoice Choose(const RoutingQuery& query);
  std::uint32_t FreeBatchSlots(const std::string& backend) const;
  /// Whether a call of `route` may be sent to this incarnation of a replica now: it is listed as
  /// ready in a fresh list, and in a zone that is open and allowed.
  bool CanSend(const ReplicaUse& use, const proto::Route& route) const;

  /// @return the use of `replica` by a call with the prompt.
  ReplicaUse MakeUse(const ReplicaRecord& replica, WorkKind work, const PromptShape& prompt,
                     std::string_view prefix_key) const;
  void OnCallStarted(const ReplicaUse& use);
  /// Another gateway sent a prompt to the replica; unknown replicas are ignored.
  void OnRemotePrompt(const std::string& replica, std::uint32_t tokens, std::uint64_t key);
  /// Runs for each prompt that this gateway sends.
  using PromptObserver =
      std::function<void(const std::string& replica, std::uint32_t tokens, std::uint64_t key)>;
  void OnPrompt(PromptObserver observer) { on_prompt_ = std::move(observer); }
  void OnCallEnded(const ReplicaUse& use, CallEnd end);
  /// The head of a response was received `latency` after the request was sent.
  void OnResponseHead(const ReplicaUse& use, const HttpHeaders& headers, Duration latency);

  /// Whether the replica does not respond to running calls, or is another incarnation now.
  bool IsStalled(const ReplicaUse& use) const;
  /// Bytes of a response were received.
  void OnBytesReceived(const ReplicaUse& use);

  /// Sets this gateway's part of the rates of warming replicas and of batch capacity.
  void SetQuota(const GatewayQuota& quota);

  /// Runs when a replica may have free capacity again.
  void OnCapacity(std::function<void()> observer) { on_capacity_ = std::move(observer); }
  /// Expires with the pool, for calls whose connection outlives it.
  std::weak_ptr<const void> lifetime() const { return lifetime_; }
  bool list_loaded() const { return poller_.loaded(); }
  /// Whether a list was read and is not stale.
  bool list_usable() const { return poller_.loaded() && poller_.Fresh(); }
  const ReplicaDirectory& directory() const { return directory_; }
  const ReplicaHealth& health() const { return health_; }
  const LoadTable& loads() const { return loads_; }

 private:
  Status OnList(const proto::ReplicaList& list);
  void OnProbe(const std::string& id, const std::string& instance_id, bool answered,
               const HttpHeaders& headers);
  /// @param restarted replicas that began a new incarnation.
  void RefreshActive(const std::vector<std::string>& restarted);
  void ResetHealth(const ActiveReplicas::Change& change);
  /// @param added health checks of these come first.
  void UpdateProbeTargets(const std::vector<std::string>& added);
  void RemoveLoadIfUnused(const std::string& id);
  bool IsCurrent(const std::string& id, const std::string& instance_id) const;
  void ApplyLoadReport(const std::string& id, const HttpHeaders& headers);
  /// Grants what this gateway may send to a replica until its next report.
  void UpdateAllowances(const std::string& id);
  /// Notifies of capacity soon: with slow start, time alone brings some.
  void ScheduleCapacityNotification();
  void EvaluateHealth();
  void PublishMetrics();
  void NotifyCapacity() {
    if (on_capacity_) {
      on_capacity_();
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
  std::function<void()> on_capacity_;
  PromptObserver on_prompt_;
  TimerId evaluation_timer_ = 0;
  TimerId capacity_timer_ = 0;
  const bool probed_;
  std::shared_ptr<const void> lifetime_ = std::make_shared<int>(0);
};

}  // namespace cloverbank
