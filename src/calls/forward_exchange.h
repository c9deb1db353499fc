#pragma once
/// @file
/// The exchange of requests that are forwarded unchanged: a replica gets method, target, headers
/// and body as the client sent them, and the client gets the replica's response, unchanged except
/// for hop-by-hop headers, in one piece or as a stream of complete events.
///
/// A broken stream is resumed at another replica after its last complete event if the route allows
/// that; the client keeps the head of the first response. A response that belongs to another call
/// or is truncated is never forwarded as a complete one.
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

/// Receives the response of a forwarded call: either one `OnComplete`, or one `OnStreamHead` and
/// then events.
class ForwardSink {
 public:
  virtual ~ForwardSink() = default;
  /// A response in one piece.
  virtual void OnComplete(HttpResponse response) = 0;
  /// The head of a stream; runs when the first complete event was received, before `OnEvent`.
  virtual void OnStreamHead(int status, HttpHeaders headers) = 0;
  /// One complete event; `more` requests the next one.
  virtual void OnEvent(StreamEvent event, std::function<void()> more) = 0;
};

/// A request to forward, and how to forward it.
struct ForwardCall {
  std::string call_id;
  std::string prefix_key;  ///< See `CallExchange::prefix_key`.
  PromptShape prompt;
  proto::ForwardedRequest request;
  bool streamed = false;         ///< A successful response is a stream of events.
  Duration first_byte_target{};  ///< The route's target until the first byte of the response.
  Duration pause_target{};  ///< The route's target for the pause between two events of a stream.
  bool resumable = false;   ///< A broken stream may be resumed at another replica.
  /// Of batch items: a replica's error response ends the attempt instead of being forwarded.
  bool classify_failures = false;
  /// Number of failures reported by replicas after which the call is not retried; 0: no limit.
  std::uint32_t maximum_failures = 0;
  /// Number of failures before this exchange; they count towards `maximum_failures`.
  std::uint32_t earlier_failures = 0;
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
  /// Id of the replica of the newest attempt; empty before the first one.
  const std::string& last_replica() const { return last_replica_; }
  /// Whether a stream to the client was started.
  bool started() const { return started_; }
  /// Id of the last event that was sent to the client, if it has one.
  std::optional<std::uint64_t> last_event() const { return last_event_; }
  /// The head of a stream is about to be sent to the client.
  void RecordStarted() { started_ = true; }
  void RecordEvent(const StreamEvent& event) { last_event_ = event.id; }
  /// Whether another replica could resume after what the client has received.
  bool CanResume() const { return call_.resumable && (!started_ || last_event_.has_value()); }

  /// The error response (429 or 5xx) of the last replica, which may be forwarded if the call ends
  /// with it.
  const std::optional<HttpResponse>& failure() const { return failure_; }
  void RecordFailure(HttpResponse response) { failure_ = std::move(response); }
  void ClearFailure() { failure_.reset(); }
  /// Number of runs whose failure a replica reported, including `ForwardCall::earlier_failures`.
  std::uint32_t failures() const { return failures_; }
  void CountFailure() { ++failures_; }
  bool IsFailureLimitReached() const {
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
