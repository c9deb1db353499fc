#pragma once
/// @file
/// Which replicas can be trusted with a call, and with how many at once: outlier ejection from
/// passive observation, active probes, half-open trials and slow start. Pure.
///
/// States of a replica:
///
///     kUnproven --good probe--> kHealthy <--good probe-- kSuspect <--one silence-- kHealthy
///     any --hard evidence, or enough soft evidence--> kEjected
///     kEjected --ejection time over and a good probe--> kTrial --one good call--> kHealthy
///     kTrial --a bad call--> kEjected, for longer
///
/// Hard evidence (repeated silence or refused connections) always ejects. Soft evidence (failed or
/// slow answers) ejects only while no more than a share of the back end's replicas is ejected,
/// since it may be caused by the requests themselves.
///
/// Slow start: whoever becomes kHealthy is cold. It takes one call until it is seen at work, from
/// then on its limit grows evenly to its capacity. The limit is on the calls of all gateways
/// together, as far as they are known; each gateway begins after a delay of its own, so that they
/// do not all send the first call at once.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace cloverbank {

struct ReplicaHealthOptions {
  /// Whether probes tell who is well. If not, a listed replica counts as well and warm until calls
  /// show otherwise, and one call tries an ejected one again when its time is over.
  bool probed = true;
  std::uint32_t failures_to_eject = 4;         ///< Consecutive failed answers (soft).
  std::uint32_t timeouts_to_eject = 2;         ///< Consecutive silent calls or probes (hard).
  std::uint32_t maximum_ejected_percent = 50;  ///< Of a back end's replicas, by soft evidence.
  /// Nothing heard of it for this long while calls wait there: only a last resort. Zero: never.
  Duration stall_limit{};
  Duration base_ejection = seconds(1);  ///< Doubles with each ejection in a row.
  Duration maximum_ejection = seconds(30);
  Duration forgive_after = seconds(30);     ///< Healthy time after which one ejection is forgotten.
  Duration slow_start_time = seconds(6);    ///< From one call to full capacity.
  double slow_factor = 4;                   ///< Times the median of its peers that counts as slow.
  Duration slow_floor = milliseconds(500);  ///< Never slow below this.
  std::uint32_t slow_samples = 10;          ///< Answers needed before judging.
};

/// How a call at a replica ended, as far as health is concerned.
enum class CallEnd : std::uint8_t {
  kSuccess,
  kRefused,       ///< 429 or 503: full or stopping, but alive.
  kFailed,        ///< An answer that shows a fault (5xx, broken stream).
  kNoResponse,    ///< Bytes went out and nothing came back in time.
  kNotConnected,  ///< The connection was refused or could not be made.
  kWithdrawn,     ///< Ended by this gateway; says nothing of the replica.
};

enum class ReplicaCondition : std::uint8_t { kUnproven, kHealthy, kSuspect, kEjected, kTrial };

/// Whether a call may go to a replica now.
enum class Usability : std::uint8_t {
  kNo,
  kLastResort,  ///< Only if no other replica is left.
  kYes,
};

class ReplicaHealth {
 public:
  explicit ReplicaHealth(ReplicaHealthOptions options) : options_(options) {}

  /// Begins to watch a cold replica, or restarts the watch of one that came back.
  /// @param start_delay how long after its first good probe it gets its first call from here.
  void Reset(const std::string& id, const std::string& backend, Duration start_delay);
  void Remove(const std::string& id);

  /// @param warm whether it was at work before this gateway began to watch it: no slow start then.
  void OnProbe(const std::string& id, bool answered, bool warm, TimePoint now);
  /// It was seen at work, for this gateway or for others: its slow start begins, and a trial is
  /// over.
  void OnWorkSeen(const std::string& id, TimePoint now);
  void OnCallStarted(const std::string& id, TimePoint now);
  void OnCallEnded(const std::string& id, CallEnd end, TimePoint now);
  /// Bytes of it came in.
  void OnHeard(const std::string& id, TimePoint now);
  /// Time to the first byte of an answer.
  void OnLatency(const std::string& id, Duration latency);
  /// Judges slowness and lets ejections decay; to be called about once a second.
  void Evaluate(TimePoint now);

  /// Whether it has calls and nothing was heard of it for longer than the stall limit.
  bool Stalled(const std::string& id, TimePoint now) const;
  Usability UsabilityOf(const std::string& id, TimePoint now) const;
  ReplicaCondition ConditionOf(const std::string& id) const;
  /// @return the most calls of everyone that it should have now.
  std::uint32_t LimitOf(const std::string& id, std::uint32_t capacity, TimePoint now) const;
  /// Whether it is in slow start or on trial.
  bool Ramping(const std::string& id, TimePoint now) const;

 private:
  struct Watch {
    std::string backend;
    ReplicaCondition condition = ReplicaCondition::kUnproven;
    std::uint32_t failures = 0;              ///< In a row.
    std::uint32_t consecutive_timeouts = 0;  ///< In a row.
    std::uint32_t ejections = 0;             ///< In a row; decays.
    std::uint32_t successes = 0;             ///< Since the ramp began.
    std::uint32_t in_flight = 0;
    /// When it was last heard, or got its first call after it had none.
    TimePoint quiet_since{};
    std::uint32_t warm_level = 0;  ///< Calls known to be safe when the ramp began.
    std::uint32_t latency_samples = 0;
    Duration latency{};            ///< Moving average.
    bool at_work = false;          ///< Seen at work since it became healthy.
    TimePoint slow_start_began{};  ///< When it was first seen at work.
    TimePoint ejected_until{};
    TimePoint healthy_since{};
    TimePoint forgiven_at{};  ///< When it became healthy, or last had an ejection forgotten.
    Duration start_delay{};
  };

  Watch* Find(const std::string& id);
  const Watch* Find(const std::string& id) const;
  bool IsStalled(const Watch& watch, TimePoint now) const;
  void BecomeHealthy(Watch& watch, TimePoint now);
  void Eject(Watch& watch, TimePoint now);
  void EjectSoftly(Watch& watch, TimePoint now);
  void OnTimeout(Watch& watch, TimePoint now);
  void OnGoodCall(Watch& watch, TimePoint now);
  bool IsSoftEjectionAllowed(const std::string& backend) const;
  void EvaluateLatency(const std::vector<Watch*>& peers, TimePoint now);

  ReplicaHealthOptions options_;
  std::map<std::string, Watch, std::less<>> watches_;
};

}  // namespace cloverbank
