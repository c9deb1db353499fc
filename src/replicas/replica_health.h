#pragma once
/// @file
/// Health of replicas and their limits of concurrent calls: outlier ejection from passive
/// observation, active health checks, half-open trials and slow start. Pure.
///
/// States of a replica:
///
///     kUnproven --good probe--> kHealthy <--good probe-- kSuspect <--one timeout-- kHealthy
///     any --hard evidence, or enough soft evidence--> kEjected
///     kEjected --ejection time over and a good probe--> kTrial --one good call--> kHealthy
///     kTrial --a bad call--> kEjected, for longer
///
/// Hard evidence (repeated timeouts or refused connections) always ejects. Soft evidence (failed or
/// slow answers) ejects only while no more than a share of the back end's replicas is ejected,
/// since it may be caused by the requests themselves.
///
/// Slow start: a replica that becomes kHealthy gets one call until a response shows that it works,
/// then its limit grows linearly to its capacity. The limit covers the calls of all gateways, as
/// far as they are known; each gateway starts after a delay of its own, so that they do not all
/// send the first call at once.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace cloverbank {

struct ReplicaHealthOptions {
  /// Whether replicas are probed. If not, a listed replica counts as healthy and warm until calls
  /// show otherwise, and a single call is the trial of an ejected one when its time is over.
  bool probed = true;
  std::uint32_t failures_to_eject = 4;         ///< Consecutive failed responses (soft).
  std::uint32_t timeouts_to_eject = 2;         ///< Consecutive timeouts of calls or probes (hard).
  std::uint32_t maximum_ejected_percent = 50;  ///< Of a back end's replicas, by soft evidence.
  /// A replica with calls in flight that sent nothing for this long is a last resort. Zero: never.
  Duration stall_limit{};
  Duration base_ejection = seconds(1);  ///< Doubles with each ejection in a row.
  Duration maximum_ejection = seconds(30);
  Duration ejection_decay_interval =
      seconds(30);                        ///< Healthy time after which one ejection is forgotten.
  Duration slow_start_time = seconds(6);  ///< From one call to full capacity.
  double slow_latency_factor = 4;  ///< Multiple of its peers' median latency that counts as slow.
  Duration slow_latency_minimum = milliseconds(500);  ///< Never slow below this.
  std::uint32_t minimum_latency_samples = 10;         ///< Responses needed for an evaluation.
};

/// The result of a call at a replica, as far as its health is concerned.
enum class CallEnd : std::uint8_t {
  kSuccess,
  kRefused,       ///< 429 or 503: full or stopping, but alive.
  kFailed,        ///< The response shows a fault (5xx, broken stream).
  kNoResponse,    ///< Bytes were sent and no response came in time.
  kNotConnected,  ///< The connection was refused or could not be made.
  kWithdrawn,     ///< Cancelled by this gateway; no evidence.
};

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

  /// Adds a replica, or starts one anew that came back. @param start_delay between its first good
  /// probe and the first call of this gateway.
  void Reset(const std::string& id, const std::string& backend, Duration start_delay);
  void Remove(const std::string& id);

  /// @param warm whether the replica was already serving: no slow start then.
  void OnProbe(const std::string& id, bool healthy, bool warm, TimePoint now);
  /// The replica was seen serving a call of any gateway: its slow start begins, a trial ends.
  void OnWorkSeen(const std::string& id, TimePoint now);
  void OnCallStarted(const std::string& id, TimePoint now);
  void OnCallEnded(const std::string& id, CallEnd end, TimePoint now);
  /// Bytes of the replica were received.
  void OnHeard(const std::string& id, TimePoint now);
  /// Adds a time to first byte.
  void OnLatency(const std::string& id, Duration latency);
  /// Evaluates latencies and forgets old ejections; to be called about once a second.
  void Evaluate(TimePoint now);

  /// Whether it has calls in flight and sent nothing for longer than the stall limit.
  bool Stalled(const std::string& id, TimePoint now) const;
  Usability GetUsability(const std::string& id, TimePoint now) const;
  ReplicaCondition GetCondition(const std::string& id) const;
  /// @return the limit of concurrent calls of all gateways together.
  std::uint32_t GetLimit(const std::string& id, std::uint32_t capacity, TimePoint now) const;
  /// Whether it is in slow start or on trial.
  bool IsInSlowStart(const std::string& id, TimePoint now) const;

 private:
  struct ReplicaState {
    std::string backend;
    ReplicaCondition condition = ReplicaCondition::kUnproven;
    std::uint32_t failures = 0;              ///< In a row.
    std::uint32_t consecutive_timeouts = 0;  ///< In a row.
    std::uint32_t ejections = 0;             ///< In a row; decays.
    std::uint32_t successes = 0;             ///< Since the ramp began.
    std::uint32_t in_flight = 0;
    /// When it was last heard, or got its first call after it had none.
    TimePoint last_activity{};
    std::uint32_t warm_level = 0;  ///< Calls known to be safe when the ramp began.
    std::uint32_t latency_samples = 0;
    Duration latency{};            ///< Moving average.
    bool seen_serving = false;     ///< Seen at work since it became healthy.
    TimePoint slow_start_began{};  ///< When it was first seen at work.
    TimePoint ejected_until{};
    TimePoint healthy_since{};
    TimePoint
        ejections_decayed_at{};  ///< When it became healthy, or last had an ejection forgotten.
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
