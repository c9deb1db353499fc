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

namespace cloverbank {

/// Why a response is not one complete response to this call.
enum class ResponseFault : std::uint8_t {
  kNoResponse,     ///< The replica has responded to nobody here for too long.
  kOtherCall,      ///< It responds to another call.
  kTooLarge,       ///< A complete body beyond the limit.
  kEventTooLarge,  ///< An event beyond the limit.
  kGap,            ///< A resumed stream that does not go on after the last event.
  kTruncated,      ///< The body ended within an event, or without any.
  kNotResumed,     ///< An error where a stream should have been resumed.
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
    kIgnore,    ///< No head yet, or a body that is ignored.
    kComplete,  ///< Buffered, forwarded when complete.
    kEvents,    ///< Forwarded event by event.
  };

  HttpRequest MakeRequest(Duration remaining) const;
  /// Checks periodically whether the replica stopped responding, so that an idempotent call is
  /// retried at another one.
  void ArmResponseTimer();
  void CheckResponseTimeout();
  void OnHead(int status, const HttpHeaders& headers);
  void OnBytes(const std::string& bytes, std::function<void()> more);
  void OnEnd(HttpOutcome outcome);
  /// Processes buffered input. Not re-entrant: `more` may be called from within `OnEvent`.
  void ProcessInput();
  bool ProcessNextInput();
  void Forward(StreamEvent event);
  bool IsNextEvent(const StreamEvent& event) const;
  /// The body ended, or the connection did.
  void Complete();
  void CompleteWithoutResponse();
  void CompleteStream();
  /// A response that is not a stream of events is complete.
  void CompleteResponse();
  void FinishReplicaFailure(HttpResponse response);
  void FinishSuccessfully();
  void AbortResponse(ResponseFault fault);
  void FinishWith(AttemptEnd end, const std::string& code, const std::string& message,
                  CallEnd health);
  void Finish(AttemptResult result, CallEnd health);
  void Release(CallEnd health);

  AttemptContext context_;
  AttemptRequest request_;
  std::shared_ptr<ForwardExchange> exchange_;
  ExchangeEvents events_;
  AttemptSession session_;
  EventSplitter splitter_;
  std::shared_ptr<HttpCall> call_;
  BodyMode body_mode_ = BodyMode::kIgnore;
  int status_ = 0;  ///< 0 until the head came.
  HttpHeaders headers_;
  std::string body_;
  std::function<void()> read_more_;
  std::optional<HttpOutcome> outcome_;
  TimerId response_timer_ = 0;
  bool received_since_check_ = false;  ///< Whether anything was received since the last check.
  bool not_run_ = false;               ///< The replica reported that it did not run the request.
  bool event_in_flight_ = false;
  bool processing_ = false;
};

}  // namespace cloverbank
