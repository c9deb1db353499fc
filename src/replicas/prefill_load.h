#pragma once
/// @file
/// The prefill work that each model replica still has, as far as this gateway knows from its own
/// calls and from the announcements of its neighbours. Replicas prefill prompts in order of
/// arrival, between decode steps, so a long prompt delays the first token of later calls and every
/// token of concurrent ones. The number of calls does not show that; the number of tokens does.
/// Pure.
///
/// A shared prefix that a replica has prefilled recently is in its prefix cache: the keys sent to
/// each replica are remembered, up to a bound.

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

/// The size of a call's prompt, as far as the client gives it.
struct PromptShape {
  std::uint32_t prompt_tokens = 0;  ///< Of the whole prompt; 0: unknown.
  std::uint32_t shared_tokens = 0;  ///< Of its prefix that other calls share.
  std::uint64_t shared_key = 0;     ///< Of the shared prefix; 0: none.
  bool known() const { return prompt_tokens > 0; }
};

struct PrefillOptions {
  double initial_tokens_per_ms = 180;          ///< Prefill throughput assumed until it is learned.
  std::uint32_t minimum_sample_tokens = 1000;  ///< Shorter prompts are dominated by fixed latency.
  /// Latency of a first token that does not depend on the prompt, assumed until it is learned.
  Duration initial_fixed_latency = milliseconds(12);
  std::size_t keys_per_replica = 128;
  /// Prompts of at least this length are long: they noticeably stall concurrent decoding.
  std::uint32_t long_prompt_tokens = 20'000;
  /// How long after a long prompt further ones are expected.
  Duration long_prompts_expected_for = seconds(10);
  /// Weight of the unexpected delay of a response in its replica's backlog, and its half-life. Such
  /// delays are the only sign of prompts from other zones' gateways and of slow replicas.
  double delay_weight = 0.5;
  Duration delay_half_life = milliseconds(400);
  /// Half-life of the recent prefill load, see `RecentLoad`.
  Duration recent_load_half_life = milliseconds(300);
  /// Delays up to this are noise of the network and of scheduling.
  Duration delay_tolerance = milliseconds(10);
};

class PrefillLoad {
 public:
  explicit PrefillLoad(PrefillOptions options) : options_(options) {}

  /// Adds a replica, or records the back end of a known one. Until its own throughput is learned,
  /// it counts as fast as the others of its back end.
  void Watch(const std::string& replica, const std::string& backend);

  /// @return how long the replica is busy with earlier prompts, as far as is known, plus the recent
  /// unexpected delay of its responses.
  Duration Backlog(std::string_view replica, TimePoint now) const;
  /// @return the prefill time of recent prompts of the replica, decaying with time: where much was
  /// prefilled, responses are being decoded, which further prompts would stall.
  Duration RecentLoad(std::string_view replica, TimePoint now) const;
  /// @return the tokens that the replica would have to prefill. @param home whether it is the
  /// preferred replica for the key, so that the shared prefix is probably cached there.
  std::uint32_t TokensToRead(std::string_view replica, const PromptShape& shape,
                             bool preferred) const;
  /// @return the time to prefill that many tokens.
  Duration PrefillTime(std::string_view replica, std::uint32_t tokens) const;

  /// A call with `tokens` to prefill is sent to the replica. @param key of its shared prefix.
  void OnStart(const std::string& replica, std::uint32_t tokens, std::uint64_t key, TimePoint now);
  /// The first byte came `latency` after a call with that many tokens was sent to a replica that
  /// had `backlog` before it.
  void OnFirstByte(const std::string& replica, std::uint32_t tokens, Duration backlog,
                   Duration latency, TimePoint now);
  void Remove(const std::string& replica) { replicas_.erase(replica); }

  bool IsLong(std::uint32_t tokens) const { return tokens >= options_.long_prompt_tokens; }
  /// Whether a long prompt was recently sent to a replica of the same back end.
  bool ExpectsLongPrompts(std::string_view replica, TimePoint now) const;

  /// @return the prefill throughput of the replica for prompts of that length.
  double TokensPerMillisecond(std::string_view replica, std::uint32_t tokens) const;
  /// @return the latency of a first token that does not depend on the prompt.
  Duration FixedLatency(std::string_view replica) const;

 private:
  struct Replica {
    TimePoint busy_until{};
    std::string backend;
    PrefillThroughput throughput;
    Duration recent_load{};  ///< Decayed, as of `recent_load_at`.
    TimePoint recent_load_at{};
    Duration delay{};  ///< Unexpected and decayed, as of `delay_at`.
    TimePoint delay_at{};
    std::list<std::uint64_t> recent_keys;  ///< Keys, most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> key_positions;
  };
  /// What was learned of all replicas of a back end together.
  struct BackendThroughput {
    PrefillThroughput throughput;
    RecentQuantile fixed_latency_ms{1};
    std::optional<TimePoint> last_long_prompt;
  };

  const BackendThroughput* FindBackend(std::string_view replica) const;
  void AddLatencySample(const std::string& replica, std::uint32_t tokens, Duration latency);
  void RecordKey(Replica& replica, std::uint64_t key);
  Duration DecayedDelay(const Replica& replica, TimePoint now) const;
  Duration DecayedRecentLoad(const Replica& replica, TimePoint now) const;

  PrefillOptions options_;
  std::map<std::string, Replica, std::less<>> replicas_;
  std::map<std::string, BackendThroughput> backends_;
};

}  // namespace cloverbank
