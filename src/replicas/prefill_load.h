#pragma once
/// @file
/// Estimates the outstanding prefill work of each model replica, from the calls of this gateway and
/// the announcements of its neighbours. Replicas prefill prompts in order of arrival, between
/// decode steps, so a long prompt delays the first token of later calls and every token of
/// concurrent ones. The number of calls does not show that; the number of tokens does. Pure.
///
/// A shared prefix that a replica has prefilled recently is in its prefix cache, so the prefix keys
/// sent to each replica are recorded, up to `PrefillOptions::keys_per_replica`.

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/time.h"
#include "replicas/prefill_throughput.h"

namespace cloverbank {

/// The size of a call's prompt, as far as the client states it.
struct PromptShape {
  std::uint32_t prompt_tokens = 0;  ///< Tokens of the whole prompt; 0: unknown.
  std::uint32_t shared_tokens = 0;  ///< Tokens of the prefix that it shares with other calls.
  std::uint64_t shared_key = 0;     ///< Key of the shared prefix; 0: none.
  bool known() const { return prompt_tokens > 0; }
};

struct PrefillOptions {
  double initial_tokens_per_ms = 180;          ///< Prefill throughput assumed until it is learned.
  std::uint32_t minimum_sample_tokens = 1000;  ///< Shorter prompts are dominated by fixed latency.
  /// The part of the time to first token that does not depend on the prompt; assumed until it is
  /// learned.
  Duration initial_fixed_latency = milliseconds(12);
  /// Prefix keys recorded for each replica; the least recently used one is dropped.
  std::size_t keys_per_replica = 128;
  /// Prompts of at least this length are long: they noticeably stall concurrent decoding.
  std::uint32_t long_prompt_tokens = 20'000;
  /// How long after a long prompt more of them are expected.
  Duration long_prompts_expected_for = seconds(10);
  /// Weight of a new sample in the average of unexpected delays, which counts as backlog, and the
  /// half-life of that average. Unexpected delays are the only sign of prompts from other zones'
  /// gateways and of slow replicas.
  double delay_weight = 0.5;
  Duration delay_half_life = milliseconds(400);
  /// Half-life of the recent prefill load; see `RecentLoad`.
  Duration recent_load_half_life = milliseconds(300);
  /// Delays up to this are ignored as noise of the network and of scheduling.
  Duration delay_tolerance = milliseconds(10);
};

class PrefillLoad {
 public:
  explicit PrefillLoad(PrefillOptions options) : options_(options) {}

  /// Adds a replica, or sets the back end of a known one. Until its own throughput is learned, that
  /// of its back end's replicas together is assumed.
  void AddReplica(const std::string& replica, const std::string& backend);

  /// @return how long the replica is still busy with earlier known prompts, plus the recent
  /// unexpected delay of its responses.
  Duration Backlog(std::string_view replica, TimePoint now) const;
  /// @return the total prefill time of the replica's recent prompts, decayed by their age. After
  /// much prefill, many responses are being decoded, and further prompts would stall these.
  Duration RecentLoad(std::string_view replica, TimePoint now) const;
  /// @return the number of tokens that the replica would have to prefill.
  /// @param preferred whether it is the preferred replica for the prefix key, so that the shared
  /// prefix is probably cached there.
  std::uint32_t TokensToPrefill(std::string_view replica, const PromptShape& shape,
                                bool preferred) const;
  /// @return the estimated time that the replica needs to prefill that many tokens.
  Duration PrefillTime(std::string_view replica, std::uint32_t tokens) const;

  /// A call with `tokens` to prefill is sent to the replica.
  /// @param key of its shared prefix; 0: none.
  void OnStart(const std::string& replica, std::uint32_t tokens, std::uint64_t key, TimePoint now);
  /// The first byte of a response was received.
  /// @param tokens that the call had to prefill. @param backlog of the replica before the call.
  /// @param latency from sending the call to the first byte.
  void OnFirstByte(const std::string& replica, std::uint32_t tokens, Duration backlog,
                   Duration latency, TimePoint now);
  void Remove(const std::string& replica) { replicas_.erase(replica); }

  /// Whether a prompt of that length is long; see `PrefillOptions::long_prompt_tokens`.
  bool IsLong(std::uint32_t tokens) const { return tokens >= options_.long_prompt_tokens; }
  /// Whether a long prompt was recently sent to a replica of the same back end.
  bool ExpectsLongPrompts(std::string_view replica, TimePoint now) const;

  /// @return the prefill throughput of the replica for prompts of that length.
  double TokensPerMillisecond(std::string_view replica, std::uint32_t tokens) const;
  /// @return the part of the time to first token that does not depend on the prompt.
  Duration FixedLatency(std::string_view replica) const;

 private:
  struct Replica {
    TimePoint busy_until{};  ///< When the known prompts are prefilled.
    std::string backend;
    PrefillThroughput throughput;
    Duration recent_load{};  ///< As of `recent_load_at`; decays afterwards.
    TimePoint recent_load_at{};
    Duration delay{};  ///< Average unexpected delay as of `delay_at`; decays afterwards.
    TimePoint delay_at{};
    std::list<std::uint64_t> recent_keys;  ///< Keys, most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> key_positions;
  };
  /// Estimates from the responses of all replicas of a back end together.
  struct BackendThroughput {
    PrefillThroughput throughput;
    RecentQuantile fixed_latency_ms{1};
    std::optional<TimePoint> last_long_prompt;
  };

  const BackendThroughput* FindBackend(std::string_view replica) const;
  /// Learns throughput or fixed latency from a response. @param latency without the backlog.
  void AddLatencySample(const std::string& replica, std::uint32_t tokens, Duration latency);
  /// Records a prefix key as the most recently used one of the replica.
  void RecordKey(Replica& replica, std::uint64_t key);
  Duration DecayedDelay(const Replica& replica, TimePoint now) const;
  Duration DecayedRecentLoad(const Replica& replica, TimePoint now) const;

  PrefillOptions options_;
  std::map<std::string, Replica, std::less<>> replicas_;
  std::map<std::string, BackendThroughput> backends_;
};

}  // namespace cloverbank
