#pragma once
/// @file
/// An accelerator that serves one model, as the emulator plays it: prompts are prefilled one at a
/// time, running calls decode one token each a step, and a KV cache holds running calls and the
/// prompt prefixes seen lately. A pure core: it is told the time and answers with the pieces that
/// are due.
///
/// Threads: none of its own; used from one thread.

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "deployment/deployment.h"
#include "proto/live.pb.h"

namespace cloverbank {

/// @return token `index` of the answer to `prompt`. Callers use it to check that a stream is
/// complete.
std::string ExpectedToken(std::string_view prompt, std::uint64_t index);
/// @return the complete answer to `prompt` with `tokens` tokens.
std::string ExpectedAnswer(std::string_view prompt, std::uint32_t tokens);
/// @return how many tokens `prompt` counts as (four bytes each, rounded up).
std::uint32_t PromptTokens(std::string_view prompt);

/// One token of one call.
struct EmittedChunk {
  std::string call_key;  ///< As given to `Start`.
  proto::StreamChunk chunk;
};

enum class StartOutcome : std::uint8_t {
  kAccepted,
  kFull,      ///< Running and waiting calls fill its capacity.
  kLoading,   ///< Cold: the model is still being loaded.
  kTooLarge,  ///< The call can never fit into the KV cache.
};

class ModelReplica {
 public:
  /// @param run_prefix makes run ids of this instance unique.
  ModelReplica(const BackendBehaviour& behaviour, std::uint32_t capacity, std::string run_prefix,
               TimePoint started);

  /// Takes a call to run it, or refuses it before anything ran.
  StartOutcome Start(TimePoint now, const std::string& call_key, const proto::CallRequest& request);
  /// Ends a call whose caller left.
  void Cancel(const std::string& call_key);

  /// @return when `Advance` has something to do, if ever.
  std::optional<TimePoint> NextEvent() const;
  /// Does what is due by `now`. @return the pieces made, in order.
  std::vector<EmittedChunk> Advance(TimePoint now);

  bool Loaded(TimePoint now) const { return now >= loaded_at_; }
  std::uint32_t running() const { return static_cast<std::uint32_t>(decoding_.size()); }
  std::uint32_t queued() const { return static_cast<std::uint32_t>(waiting_.size()); }
  std::uint32_t capacity() const { return capacity_; }
  std::uint64_t prefix_hits() const { return prefix_hits_; }
  std::uint64_t prefix_misses() const { return prefix_misses_; }
  /// @return share of the KV cache in use, 0 to 1.
  double kv_occupancy() const;
  /// Multiplies the time of every later step (a slow replica); 1 is normal.
  void SetSlowdown(double factor) { slowdown_ = factor; }

 private:
  struct RunningCall {
    std::string call_key;
    proto::CallRequest request;
    std::string run_id;
    std::uint64_t next_sequence = 0;
    std::uint32_t kv_tokens = 0;
  };

  void BeginNextStep(TimePoint now);
  bool BeginPrefill(TimePoint now);
  void FinishStep(std::vector<EmittedChunk>* chunks);
  std::uint32_t KvNeed(const proto::CallRequest& request) const;
  bool CachePrefix(const std::string& prefix_key);
  void EvictPrefixes();
  Duration Slowed(Duration time) const;

  BackendBehaviour behaviour_;
  std::uint32_t capacity_;
  std::string run_prefix_;
  TimePoint loaded_at_;
  double slowdown_ = 1;
  std::uint64_t next_run_ = 0;
  std::deque<RunningCall> waiting_;  ///< Not prefilled yet.
  std::optional<RunningCall> prefilling_;
  std::list<RunningCall> decoding_;
  std::optional<TimePoint> step_end_;  ///< Set while a prefill or a decode step is under way.
  bool last_step_was_prefill_ = false;
  std::uint32_t kv_used_ = 0;        ///< Tokens of running calls.
  std::list<std::string> prefixes_;  ///< Cached prefixes, most recently used first.
  std::uint64_t prefix_hits_ = 0;
  std::uint64_t prefix_misses_ = 0;
};

}  // namespace cloverbank
