#pragma once
/// @file
/// One attempt of a `ForwardExchange` at one replica: sends the request unchanged, and forwards the
/// response while checking that it is complete and belongs to the call. Threads: the owner's event
/// loop only.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "calls/attempt_session.h"
#include "calls/forward_exchange.h"
#include "calls/response_origin.h"

namespace cloverbank {

/// Why a response is not one complete response to this call.
enum class ResponseFault : std::uint8_t {
  /// The replica has not responded to any call of this gateway for too long, or was restarted.
  kNoResponse,
  kOtherCall,      ///< The response has another call id, or none.
  kUnidentified,   ///< A refusal without a call id, which may be about an earlier call.
  kTooLarge,       ///< A body that is not streamed exceeds the limit.
  kEventTooLarge,  ///< An event exceeds the limit.
  kGap,            ///< An event of the stream does not follow the last event that was forwarded.
  kTruncated,      ///< The body ended within an event, or before the first one.
  kNotResumed,     ///< A response other than a stream where a stream should have been resumed.
};
/// @return the stable snake_case name, for metrics, logs and messages.
std::string_view ResponseFaultName(ResponseFault fault);

class ForwardAttempt final : public CallAttempt,
                             public std::enable_shared_from_this<ForwardAttempt> {
 public:
  ForwardAttempt(const AttemptContext& context, AttemptRequest request,
                 std::shared_ptr<ForwardExchange> exchange, ExchangeEvents events);

  void Start() override;
  CancelResult Cancel() override;

 private:
  /// How the body of the response is read.
  enum class BodyMode : std::uint8_t {
    kIgnore,    ///< No head was received yet, or the body is discarded.
    kComplete,  ///< Buffered, and forwarded when complete.
    kEvents,    ///< Forwarded event by event.
  };

  HttpRequest MakeRequest(Duration remaining) const;
  /// Schedules the next `CheckResponseTimeout`.
  void ArmResponseTimer();
  /// Runs periodically: ends the attempt if the replica stopped responding, so that an idempotent
  /// call is retried at another one.
  void CheckResponseTimeout();
  void OnHead(int status, const HttpHeaders& headers);
  /// @return why a response of this origin is not a response to this call; nothing if it is one.
  std::optional<ResponseFault> FindOriginFault(ResponseOrigin origin, bool refused) const;
  /// Counts and logs a response that is a refusal or that does not echo this call's id.
  void RecordUnusualHead(ResponseOrigin origin, std::string_view echoed, bool refused);
  void OnBytes(const std::string& bytes, std::function<void()> more);
  void OnEnd(HttpOutcome outcome);
  /// Processes buffered input. Not re-entrant: `more` may be called from within `OnEvent`.
  void ProcessInput();
  /// Forwards the next event, or reads more, or completes. @return whether there is more to do now.
  bool ProcessNextInput();
  void Forward(StreamEvent event);
  /// Whether the id of `event` follows that of the last event. True if there is no last id.
  bool IsNextEvent(const StreamEvent& event) const;
  /// Finishes the attempt after the body or the connection ended.
  void Complete();
  void CompleteWithoutResponse();
  void CompleteStream();
  /// Finishes after a complete response that is not a stream of events.
  void CompleteResponse();
  void FinishReplicaFailure(HttpResponse response);
  void FinishSuccessfully();
  void AbortResponse(ResponseFault fault);
  void FinishWith(AttemptEnd end, const std::string& code, const std::string& message,
                  CallOutcome health);
  void Finish(AttemptResult result, CallOutcome health);
  void Release(CallOutcome health);

  AttemptContext context_;
  AttemptRequest request_;
  std::shared_ptr<ForwardExchange> exchange_;
  ExchangeEvents events_;
  AttemptSession session_;
  EventSplitter splitter_;
  std::shared_ptr<HttpCall> call_;
  BodyMode body_mode_ = BodyMode::kIgnore;
  int status_ = 0;  ///< 0 until the head was received.
  HttpHeaders headers_;
  std::string body_;
  std::function<void()> read_more_;     ///< Requests more of the body, if that is due.
  std::optional<HttpOutcome> outcome_;  ///< Set when the HTTP call has ended.
  TimerId response_timer_ = 0;
  bool received_since_check_ = false;  ///< Whether anything was received since the last check.
  bool not_run_ = false;               ///< The replica reported that it did not run the request.
  bool event_in_flight_ = false;       ///< The sink has not requested the next event yet.
  bool processing_ = false;            ///< `ProcessInput` is running.
};

}  // namespace cloverbank
