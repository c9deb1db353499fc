#pragma once
/// @file
/// The exchange of requests that are passed on unchanged: method, target, headers and body go to a
/// replica as they came, and its answer comes back as it is, whole or as a stream of whole events.
///
/// A stream that breaks off goes on at another replica after its last whole event, if the route
/// allows; what the caller gets keeps the head of the first answer. Nothing of an answer that is
/// not this call's, or that is cut short, is ever handed on as whole.
///
/// Threads: the owner's event loop only.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "calls/call_exchange.h"
#include "calls/event_stream.h"
#include "proto/common.pb.h"

namespace cloverbank {

/// Where the answer goes.
class ForwardSink {
 public:
  virtual ~ForwardSink() = default;
  /// A whole answer of a replica.
  virtual void OnComplete(HttpResponse response) = 0;
  /// The first whole event of a stream has come; its head goes before it.
  virtual void OnStreamHead(int status, HttpHeaders headers) = 0;
  /// One whole event; `more` asks for the next one.
  virtual void OnEvent(StreamEvent event, std::function<void()> more) = 0;
};

/// What is passed on, and how.
struct ForwardCall {
  std::string call_id;
  std::string prefix_key;
  PromptShape prompt;
  proto::ForwardedRequest request;
  bool streamed = false;     ///< A successful answer is a stream of events.
  Duration target{};         ///< Of its route: when the answer should have begun.
  Duration longest_pause{};  ///< Of its route: between two events of a stream.
  bool resumable = false;    ///< A broken stream may go on at another replica.
  /// The caller can not be told a replica's own failure: it becomes the end of the attempt.
  bool classify_failures = false;
  /// Failures of replicas, by their own word, after which it is not tried further; 0 is no bound.
  std::uint32_t maximum_failures = 0;
  std::uint32_t earlier_failures = 0;  ///< Before this exchange.
};

class ForwardExchange final : public CallExchange,
                              public std::enable_shared_from_this<ForwardExchange> {
 public:
  /// @param sink outlives the exchange's attempts.
  ForwardExchange(ForwardCall call, const ReplicaHeaderNames& names, ForwardSink& sink)
      : call_(std::move(call)), names_(names), sink_(sink), failures_(call_.earlier_failures) {}

  std::shared_ptr<CallAttempt> NewAttempt(const AttemptContext& context, AttemptRequest request,
                                          ExchangeEvents events) override;
  const std::string& call_id() const override { return call_.call_id; }
  const std::string& prefix_key() const override { return call_.prefix_key; }
  PromptShape prompt() const override { return call_.prompt; }
  std::size_t request_bytes() const override { return call_.request.body().size(); }

  // ---- For its attempts ----

  const ForwardCall& call() const { return call_; }
  const ReplicaHeaderNames& names() const { return names_; }
  ForwardSink& sink() { return sink_; }
  /// Replica of the newest attempt; empty before the first one.
  const std::string& last_replica() const { return last_replica_; }
  /// Whether events are with the caller already.
  bool started() const { return started_; }
  std::optional<std::uint64_t> last_event() const { return last_event_; }
  /// Notes a head that is about to be handed on.
  void RecordStarted() { started_ = true; }
  void RecordEvent(const StreamEvent& event) { last_event_ = event.id; }
  /// Whether another replica could go on after what the caller has.
  bool CanResume() const { return call_.resumable && (!started_ || last_event_.has_value()); }

  /// The last replica's own failure (5xx), to be passed on if the call ends with it.
  const std::optional<HttpResponse>& failure() const { return failure_; }
  void RecordFailure(HttpResponse response) { failure_ = std::move(response); }
  void ForgetFailure() { failure_.reset(); }
  /// Failures of replicas that ran the request, by their own word.
  std::uint32_t failures() const { return failures_; }
  void CountFailure() { ++failures_; }
  bool FailedForGood() const {
    return call_.maximum_failures > 0 && failures_ >= call_.maximum_failures;
  }

 private:
  const ForwardCall call_;
  const ReplicaHeaderNames& names_;
  ForwardSink& sink_;
  bool started_ = false;
  std::string last_replica_;
  std::optional<std::uint64_t> last_event_;
  std::optional<HttpResponse> failure_;
  std::uint32_t failures_;
};

}  // namespace cloverbank
