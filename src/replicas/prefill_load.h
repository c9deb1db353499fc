#pragma once
/// @file
/// How much prompt each model replica still has to read, as far as this gateway knows: its own
/// calls and those that its neighbours told of. Replicas read prompts in the order in which they
/// come, between the steps of what they generate, so a long prompt delays the first token of what
/// comes after it and every token of what runs beside it. Counting calls does not show that;
/// counting tokens does. Pure.
///
/// A part of a prompt that a replica has read lately is not read again: which keys were sent where
/// is remembered, a bounded number for each replica.

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

/// The prompt of a call, as far as its caller tells.
struct PromptShape {
  std::uint32_t prompt_tokens = 0;  ///< All of it; 0 is not told.
  std::uint32_t shared_tokens = 0;  ///< Its first part, which other calls have too.
  std::uint64_t shared_key = 0;     ///< Of the shared part; 0 is none.
  bool known() const { return prompt_tokens > 0; }
};

struct PrefillOptions {
  double first_tokens_per_ms = 180;        ///< Until answers show it.
  std::uint32_t learn_from_tokens = 1000;  ///< Shorter prompts say little of the rate.
  /// Of a first token, whatever the prompt: until answers show it.
  Duration first_fixed_latency = milliseconds(12);
  std::size_t keys_per_replica = 128;
  /// Prompts of at least that many tokens are long: they stop for a while what is generated beside
  /// them.
  std::uint32_t long_prompt_tokens = 20'000;
  /// How long after the last one long prompts are expected.
  Duration long_prompts_expected = seconds(10);
  /// How much of an answer's unexpected delay counts against its replica, and how fast that fades:
  /// prompts of gateways that this one does not hear of, and slow replicas, show in nothing else.
  double delay_weight = 0.5;
  Duration delay_half_life = milliseconds(400);
  /// How fast what a replica was given to read fades, see `Lately`.
  Duration recent_load_half_life = milliseconds(300);
  /// Delays up to this are noise of the way and of processor time, and say nothing of a replica.
  Duration delay_tolerance = milliseconds(10);
};

class PrefillLoad {
 public:
  explicit PrefillLoad(PrefillOptions options) : options_(options) {}

  /// Takes up a replica, or notes the back end of a known one: until its own answers show its rate,
  /// it counts as being as fast as the others of its back end.
  void Watch(const std::string& replica, const std::string& backend);

  /// @return how long the replica is busy with prompts that came before, as far as is known, and
  /// what its last answers were late beyond that.
  Duration Backlog(std::string_view replica, TimePoint now) const;
  /// @return how long what the replica was given lately takes to read, fading with time: where much
  /// was read, answers are being generated, which further prompts would stop.
  Duration Lately(std::string_view replica, TimePoint now) const;
  /// @return tokens that it would have to read. @param home whether calls of this key go there when
  /// nothing speaks against it, so that its shared part is probably kept there.
  std::uint32_t TokensToRead(std::string_view replica, const PromptShape& shape, bool home) const;
  /// @return how long the replica takes to read that many.
  Duration TimeFor(std::string_view replica, std::uint32_t tokens) const;

  /// A call with `tokens` to read goes to the replica. @param key of its shared part.
  void OnStart(const std::string& replica, std::uint32_t tokens, std::uint64_t key, TimePoint now);
  /// The first byte came `latency` after a call with that many tokens was sent to a replica that
  /// had `backlog` before it.
  void OnFirstByte(const std::string& replica, std::uint32_t tokens, Duration backlog,
                   Duration latency, TimePoint now);
  void Remove(const std::string& replica) { replicas_.erase(replica); }

  bool IsLong(std::uint32_t tokens) const { return tokens >= options_.long_prompt_tokens; }
  /// Whether a long prompt went to a replica of the same back end lately.
  bool ExpectsLongPrompts(std::string_view replica, TimePoint now) const;

  /// @return the rate at which the replica reads prompts of that length.
  double TokensPerMs(std::string_view replica, std::uint32_t tokens) const;
  /// @return the part of the latency of a first token that is the same for all prompts.
  Duration FixedLatency(std::string_view replica) const;

 private:
  struct Replica {
    TimePoint busy_until{};
    std::string backend;
    PrefillThroughput speed;
    Duration lately{};  ///< Reading begun, decayed, as of `recent_load_at`.
    TimePoint recent_load_at{};
    Duration delay{};  ///< Unexpected, as of `delay_at`.
    TimePoint delay_at{};
    std::list<std::uint64_t> recent;  ///< Keys, the one used last first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;
  };
  /// What is known of the replicas of a back end together.
  struct BackendSpeed {
    PrefillThroughput speed;
    RecentQuantile fixed_latency_ms{1};
    std::optional<TimePoint> last_long_prompt;
  };

  const BackendSpeed* FindBackend(std::string_view replica) const;
  void Learn(const std::string& replica, std::uint32_t tokens, Duration latency);
  void Remember(Replica& replica, std::uint64_t key);
  Duration DelayOf(const Replica& replica, TimePoint now) const;
  Duration RecentLoadAt(const Replica& replica, TimePoint now) const;

  PrefillOptions options_;
  std::map<std::string, Replica, std::less<>> replicas_;
  std::map<std::string, BackendSpeed> backends_;
};

}  // namespace cloverbank
