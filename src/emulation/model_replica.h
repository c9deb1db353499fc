#pragma once
/// @file
/// Emulates an accelerator that serves one model. It prefills one prompt at a time, decodes one
/// token of each running call per step, and has a KV cache for the running calls and recently used
/// prompt prefixes. It does no I/O and reads no clock: the caller passes the time and gets the
/// chunks that are due.
///
/// Threads: starts none; use it from one thread.

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

/// @return token `index` of the answer to `prompt`. Clients use it to check that a stream is
/// complete.
std::string ExpectedToken(std::string_view prompt, std::uint64_t index);
/// @return the complete answer to `prompt` with `tokens` tokens; 0 means the default number, 16.
std::string ExpectedAnswer(std::string_view prompt, std::uint32_t tokens);
/// @return the number of tokens of `prompt`: one per four bytes, rounded up.
std::uint32_t PromptTokens(std::string_view prompt);

/// One token of one call.
struct EmittedChunk {
  std::string call_key;  ///< As given to `Start`.
  proto::StreamChunk chunk;
};

enum class StartOutcome : std::uint8_t {
  kAccepted,
  kFull,      ///< The number of running and waiting calls has reached the capacity.
  kLoading,   ///< The model is still being loaded.
  kTooLarge,  ///< The call can never fit into the KV cache.
};

class ModelReplica {
 public:
  /// @param capacity maximum number of running and waiting calls.
  /// @param run_prefix start of the run ids of this instance, to make them unique.
  ModelReplica(const BackendBehaviour& behaviour, std::uint32_t capacity, std::string run_prefix,
               TimePoint started);

  /// Accepts a call, or refuses it before any of it has run.
  /// @param call_key identifies the call in `Cancel` and in the emitted chunks.
  StartOutcome Start(TimePoint now, const std::string& call_key, const proto::CallRequest& request);
  /// Ends a call whose caller has disconnected.
  void Cancel(const std::string& call_key);

  /// @return when `Advance` has to be called next; nothing if no step is in progress.
  std::optional<TimePoint> NextEvent() const;
  /// Runs all steps that end by `now`.
  /// @return the chunks that they produced, in order.
  std::vector<EmittedChunk> Advance(TimePoint now);

  bool Loaded(TimePoint now) const { return now >= loaded_at_; }
  std::uint32_t running() const { return static_cast<std::uint32_t>(decoding_.size()); }
  std::uint32_t queued() const { return static_cast<std::uint32_t>(waiting_.size()); }
  std::uint32_t capacity() const { return capacity_; }
  std::uint64_t prefix_hits() const { return prefix_hits_; }
  std::uint64_t prefix_misses() const { return prefix_misses_; }
  /// @return the fraction of the KV cache in use, from 0 to 1.
  double kv_occupancy() const;
  /// Multiplies the duration of every later step, to emulate a slow replica; 1 is normal.
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
  void FinishPrefill();
  /// Emits one token of each running call.
  void FinishDecodeStep(std::vector<EmittedChunk>* chunks);
  /// @return the KV cache tokens that the call needs: its prompt, its answer and its shared prefix.
  std::uint32_t RequiredKvTokens(const proto::CallRequest& request) const;
  /// Marks the prefix as most recently used, adding it if it is not cached.
  /// @return whether it was cached.
  bool CachePrefix(const std::string& prefix_key);
  /// Evicts the least recently used prefixes until the limits of the cache are met.
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
  std::optional<TimePoint> step_end_;  ///< Set while a prefill or a decode step runs.
  bool last_step_was_prefill_ = false;
  std::uint32_t kv_used_ = 0;        ///< Tokens of running calls.
  std::list<std::string> prefixes_;  ///< Cached prefixes, most recently used first.
  std::uint64_t prefix_hits_ = 0;
  std::uint64_t prefix_misses_ = 0;
};

}  // namespace cloverbank
