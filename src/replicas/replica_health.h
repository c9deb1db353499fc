#pragma once
/// @file
/// Health of replicas and their limits of concurrent calls: outlier ejection by passive observation
/// of calls, active health checks (probes), half-open trials and slow start. Pure.
///
/// States of a replica:
///
///     kUnproven --good probe--> kHealthy
///     kHealthy --one timeout--> kSuspect --good probe or call--> kHealthy
///     any --hard evidence, or enough soft evidence--> kEjected
///     kEjected --ejection time over and a good probe--> kTrial --one good call--> kHealthy
///     kTrial --a bad call--> kEjected, for longer
///
/// Hard evidence (repeated timeouts or refused connections) always ejects a replica. Soft evidence
/// (failed or slow responses) ejects it only while no more than `maximum_ejected_percent` of the
/// back end's replicas are ejected, since the requests themselves may be the cause.
///
/// Slow start: a replica that becomes kHealthy gets one call at a time until a response shows that
/// it works; then its limit grows linearly to its capacity. The limit applies to the calls of all
/// gateways, as far as they are known. Each gateway starts after its own delay, so that they do not
/// all send the first call at the same time.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace cloverbank {

struct ReplicaHealthOptions {
  /// Whether replicas are probed. If not, a listed replica counts as healthy and warm until calls
  /// show otherwise, and when the ejection time of a replica is over, a single call is its trial.
  bool probed = true;
  std::uint32_t failures_to_eject = 4;         ///< Consecutive failed responses (soft).
  std::uint32_t timeouts_to_eject = 2;         ///< Consecutive timeouts of calls or probes (hard).
  std::uint32_t maximum_ejected_percent = 50;  ///< Of a back end's replicas, by soft evidence.
  /// A replica with calls in flight that sent nothing for this long is used only as a last resort.
  /// Zero: no limit.
  Duration stall_limit{};
  Duration base_ejection = seconds(1);  ///< Ejection time; doubles with each ejection in a row.
  Duration maximum_ejection = seconds(30);
  Duration ejection_decay_interval =
      seconds(30);  ///< Healthy time after which one ejection no longer counts.
  Duration slow_start_time = seconds(6);  ///< Until the limit has grown from 1 call to capacity.
  double slow_latency_factor = 4;  ///< Multiple of the peers' median latency that counts as slow.
  Duration slow_latency_minimum = milliseconds(500);  ///< A lower latency never counts as slow.
  std::uint32_t minimum_latency_samples = 10;  ///< Responses before the latency is evaluated.
};

/// The result of a call, as evidence of the replica's health.
enum class CallOutcome : std::uint8_t {
  kSuccess,
  kRefused,       ///< Status 429 or 503: full or stopping, but alive.
  kFailed,        ///< The response shows a fault (status 5xx, broken stream).
  kNoResponse,    ///< Bytes were sent and no response was received in time.
  kNotConnected,  ///< The connection was refused or could not be established.
  kCancelled,     ///< Cancelled by this gateway; no evidence.
};

/// State of a replica; see the transitions above.
enum class ReplicaCondition : std::uint8_t { kUnproven, kHealthy, kSuspect, kEjected, kTrial };

/// Whether a call may be sent to a replica now.
enum class Usability : std::uint8_t {
  kNo,
  kLastResort,  ///< Only if no other replica is left.
  kYes,
};

class ReplicaHealth {
 public:
  explicit ReplicaHealth(ReplicaHealthOptions options) : options_(options) {}

  /// Adds a replica, or discards the observations of one that restarted; its calls in flight stay
  /// counted. @param start_delay between its first good probe and the first call of this gateway.
  void Reset(const std::string& id, const std::string& backend, Duration start_delay);
  void Remove(const std::string& id);

  /// A probe has ended. @param healthy whether the replica responded as healthy.
  /// @param warm whether the replica was already serving calls; it skips slow start then.
  void OnProbe(const std::string& id, bool healthy, bool warm, TimePoint now);
  /// The replica was observed serving a call of any gateway: its slow start begins, and a trial
  /// ends successfully.
  void OnServingObserved(const std::string& id, TimePoint now);
  /// A call of this gateway was sent to the replica, or has ended.
  void OnCallStarted(const std::string& id, TimePoint now);
  void OnCallEnded(const std::string& id, CallOutcome outcome, TimePoint now);
  /// Bytes were received from the replica.
  void OnBytesReceived(const std::string& id, TimePoint now);
  /// Adds a time to first byte to the replica's average latency.
  void OnLatency(const std::string& id, Duration latency);
  /// Ejects slow replicas and decays the count of past ejections; to be called about once a second.
  void Evaluate(TimePoint now);

  /// Whether the replica has calls in flight and has sent nothing for longer than the stall limit.
  bool IsStalled(const std::string& id, TimePoint now) const;
  Usability GetUsability(const std::string& id, TimePoint now) const;
  ReplicaCondition GetCondition(const std::string& id) const;
  /// Whether a suspect replica may get one batch item as a trial: no call is in flight there, and
  /// `wait` has passed since the last call of this gateway showed it as suspect. Without it a
  /// replica that serves batch work alone would stay suspect, since only a call ends that state.
  bool IsSuspectTrialDue(const std::string& id, Duration wait, TimePoint now) const;
  /// @param capacity calls that the replica runs concurrently.
  /// @return the current limit of concurrent calls of all gateways together; 0 for an unknown
  /// replica.
  std::uint32_t GetLimit(const std::string& id, std::uint32_t capacity, TimePoint now) const;
  /// Whether the replica is in slow start or on trial.
  bool IsInSlowStart(const std::string& id, TimePoint now) const;

 private:
  struct ReplicaState {
    std::string backend;
    ReplicaCondition condition = ReplicaCondition::kUnproven;
    std::uint32_t failures = 0;              ///< Consecutive failed responses.
    std::uint32_t consecutive_timeouts = 0;  ///< Of calls or probes.
    std::uint32_t ejections = 0;             ///< In a row; decays while healthy.
    std::uint32_t successes = 0;             ///< Since slow start began.
    std::uint32_t in_flight = 0;             ///< Calls of this gateway.
    /// When bytes were last received, or a call started while no other was in flight.
    TimePoint last_activity{};
    std::uint32_t warm_level = 0;  ///< Calls known to be safe when slow start began.
    std::uint32_t latency_samples = 0;
    Duration latency{};            ///< Moving average.
    bool seen_serving = false;     ///< Observed serving a call since it became healthy.
    TimePoint slow_start_began{};  ///< When it was first observed serving a call.
    TimePoint suspected_at{};      ///< When a call or probe last left the replica suspect.
    TimePoint ejected_until{};
    TimePoint healthy_since{};
    TimePoint ejections_decayed_at{};  ///< When it became healthy, or `ejections` last dropped.
    Duration start_delay{};
  };

  ReplicaState* Find(const std::string& id);
  const ReplicaState* Find(const std::string& id) const;
  bool IsStalled(const ReplicaState& state, TimePoint now) const;
  void MarkHealthy(ReplicaState& state, TimePoint now);
  void Eject(ReplicaState& state, TimePoint now);
  void EjectOnSoftEvidence(ReplicaState& state, TimePoint now);
  void OnTimeout(ReplicaState& state, TimePoint now);
  void OnSuccess(ReplicaState& state, TimePoint now);
  bool IsSoftEjectionAllowed(const std::string& backend) const;
  void EvaluateLatency(const std::vector<ReplicaState*>& peers, TimePoint now);

  ReplicaHealthOptions options_;
  std::map<std::string, ReplicaState, std::less<>> replicas_;
};

}  // namespace cloverbank
