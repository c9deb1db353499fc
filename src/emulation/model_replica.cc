#include "emulation/model_replica.h"

#include <algorithm>
#include <array>

#include "base/checksum.h"

namespace cloverbank {
namespace {

constexpr std::uint32_t kBytesPerToken = 4;
constexpr std::uint32_t kDefaultAnswerTokens = 16;
constexpr std::array<std::string_view, 16> kWords = {
    "the ", "save ", "holds ", "three ", "items ", "near ", "a ",   "gate ",
    "and ", "dock ", "seven ", "is ",    "open ",  "for ",  "two ", "riders "};

std::uint32_t AnswerTokens(const proto::CallRequest& request) {
  return request.max_tokens() == 0 ? kDefaultAnswerTokens : request.max_tokens();
}

}  // namespace

std::string ExpectedToken(std::string_view prompt, std::uint64_t index) {
  return std::string(kWords[Checksum(prompt, index) % kWords.size()]);
}

std::string ExpectedAnswer(std::string_view prompt, std::uint32_t tokens) {
  std::string answer;
  const std::uint32_t count = tokens == 0 ? kDefaultAnswerTokens : tokens;
  for (std::uint32_t index = 0; index < count; ++index) {
    answer += ExpectedToken(prompt, index);
  }
  return answer;
}

std::uint32_t PromptTokens(std::string_view prompt) {
  return static_cast<std::uint32_t>((prompt.size() + kBytesPerToken - 1) / kBytesPerToken);
}

ModelReplica::ModelReplica(const BackendBehaviour& behaviour, std::uint32_t capacity,
                           std::string run_prefix, TimePoint started)
    : behaviour_(behaviour),
      capacity_(capacity),
      run_prefix_(std::move(run_prefix)),
      loaded_at_(started + behaviour.load_time) {}

std::uint32_t ModelReplica::RequiredKvTokens(const proto::CallRequest& request) const {
  const std::uint32_t prefix = request.prefix_key().empty() ? 0 : behaviour_.shared_prefix_tokens;
  return PromptTokens(request.prompt()) + AnswerTokens(request) + prefix;
}

StartOutcome ModelReplica::Start(TimePoint now, const std::string& call_key,
                                 const proto::CallRequest& request) {
  if (!Loaded(now)) {
    return StartOutcome::kLoading;
  }
  if (RequiredKvTokens(request) > behaviour_.kv_capacity_tokens) {
    return StartOutcome::kTooLarge;
  }
  const std::size_t accepted =
      waiting_.size() + decoding_.size() + (prefilling_.has_value() ? 1U : 0U);
  if (accepted >= capacity_) {
    return StartOutcome::kFull;
  }
  RunningCall call;
  call.call_key = call_key;
  call.request = request;
  call.run_id = run_prefix_ + "-" + std::to_string(++next_run_);
  waiting_.push_back(std::move(call));
  if (!step_end_) {
    BeginNextStep(now);
  }
  return StartOutcome::kAccepted;
}

void ModelReplica::Cancel(const std::string& call_key) {
  const auto matches = [&](const RunningCall& call) { return call.call_key == call_key; };
  std::erase_if(waiting_, matches);
  if (prefilling_ && matches(*prefilling_)) {
    kv_used_ -= prefilling_->kv_tokens;
    prefilling_.reset();
  }
  for (const RunningCall& call : decoding_) {
    if (matches(call)) {
      kv_used_ -= call.kv_tokens;
    }
  }
  decoding_.remove_if(matches);
}

std::optional<TimePoint> ModelReplica::NextEvent() const { return step_end_; }

std::vector<EmittedChunk> ModelReplica::Advance(TimePoint now) {
  std::vector<EmittedChunk> chunks;
  while (step_end_ && *step_end_ <= now) {
    const TimePoint ended = *step_end_;
    step_end_.reset();
    FinishStep(&chunks);
    BeginNextStep(ended);
  }
  return chunks;
}

double ModelReplica::kv_occupancy() const {
  const double prefix_tokens =
      static_cast<double>(prefixes_.size()) * behaviour_.shared_prefix_tokens;
  return (kv_used_ + prefix_tokens) / behaviour_.kv_capacity_tokens;
}

Duration ModelReplica::Slowed(Duration time) const {
  return Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) * slowdown_));
}

void ModelReplica::BeginNextStep(TimePoint now) {
  // Prefill and decode steps alternate, so that many new prompts don't stop the running calls.
  const bool decode_first = last_step_was_prefill_ && !decoding_.empty();
  if (!decode_first && BeginPrefill(now)) {
    last_step_was_prefill_ = true;
    return;
  }
  if (decoding_.empty()) {
    return;
  }
  last_step_was_prefill_ = false;
  const auto calls = static_cast<Duration::rep>(decoding_.size());
  step_end_ = now + Slowed(behaviour_.decode_step + behaviour_.decode_step_per_call * calls);
}

bool ModelReplica::BeginPrefill(TimePoint now) {
  if (waiting_.empty() || prefilling_) {
    return false;
  }
  const std::uint32_t need = RequiredKvTokens(waiting_.front().request);
  if (kv_used_ + need > behaviour_.kv_capacity_tokens) {
    return false;  // The call waits until running calls end.
  }
  prefilling_ = std::move(waiting_.front());
  waiting_.pop_front();
  prefilling_->kv_tokens = need;
  kv_used_ += need;
  EvictPrefixes();
  std::uint32_t tokens = PromptTokens(prefilling_->request.prompt());
  const std::string& prefix_key = prefilling_->request.prefix_key();
  if (!prefix_key.empty() && !CachePrefix(prefix_key)) {
    tokens += behaviour_.shared_prefix_tokens;
  }
  step_end_ = now + Slowed(behaviour_.prefill_per_token * tokens);
  return true;
}

bool ModelReplica::CachePrefix(const std::string& prefix_key) {
  const auto found = std::find(prefixes_.begin(), prefixes_.end(), prefix_key);
  if (found != prefixes_.end()) {
    prefixes_.splice(prefixes_.begin(), prefixes_, found);
    ++prefix_hits_;
    return true;
  }
  ++prefix_misses_;
  prefixes_.push_front(prefix_key);
  EvictPrefixes();
  return false;
}

void ModelReplica::EvictPrefixes() {
  const auto over_limit = [this] {
    const std::uint64_t prefix_tokens = prefixes_.size() * behaviour_.shared_prefix_tokens;
    return prefixes_.size() > behaviour_.prefix_cache_entries ||
           kv_used_ + prefix_tokens > behaviour_.kv_capacity_tokens;
  };
  while (!prefixes_.empty() && over_limit()) {
    prefixes_.pop_back();
  }
}

void ModelReplica::FinishStep(std::vector<EmittedChunk>* chunks) {
  if (last_step_was_prefill_) {
    FinishPrefill();
  } else {
    FinishDecodeStep(chunks);
  }
}

void ModelReplica::FinishPrefill() {
  if (prefilling_) {  // Else the call was cancelled meanwhile.
    decoding_.push_back(std::move(*prefilling_));
    prefilling_.reset();
  }
}

void ModelReplica::FinishDecodeStep(std::vector<EmittedChunk>* chunks) {
  for (auto call = decoding_.begin(); call != decoding_.end();) {
    EmittedChunk emitted;
    emitted.call_key = call->call_key;
    emitted.chunk.set_run_id(call->run_id);
    emitted.chunk.set_call_id(call->request.call_id());
    emitted.chunk.set_sequence(call->next_sequence);
    emitted.chunk.set_text(ExpectedToken(call->request.prompt(), call->next_sequence));
    ++call->next_sequence;
    const bool last = call->next_sequence >= AnswerTokens(call->request);
    emitted.chunk.set_end(last);
    chunks->push_back(std::move(emitted));
    if (last) {
      kv_used_ -= call->kv_tokens;
      call = decoding_.erase(call);
    } else {
      ++call;
    }
  }
}

}  // namespace cloverbank
