#include <optional>
#include <utility>

#include "base/logging.h"
#include "calls/attempt_session.h"
#include "calls/call_attempt.h"
#include "calls/line_reader.h"
#include "calls/response_origin.h"
#include "calls/stream_check.h"
#include "json/json.h"
#include "net/http_status.h"

namespace cloverbank {
namespace {

constexpr std::string_view kGeneratePath = "/generate";
constexpr std::size_t kMaximumErrorBodyBytes = std::size_t{64} << 10U;

/// An attempt at a model: a generation streamed as JSON lines. Checks and forwards one chunk at a
/// time, and reads no more from the replica until the client has taken the previous one.
class StreamAttempt final : public CallAttempt, public std::enable_shared_from_this<StreamAttempt> {
 public:
  StreamAttempt(const AttemptContext& context, JsonAttemptRequest request,
                JsonAttemptCallbacks callbacks)
      : context_(context),
        request_(std::move(request)),
        callbacks_(std::move(callbacks)),
        session_(context_, request_),
        check_(request_.body.call_id()),
        lines_(context.options.maximum_chunk_bytes) {}

  void Start() override {
    const Duration remaining = session_.Begin();
    request_.body.set_stream(true);
    HttpRequest http = MakeReplicaRequest(kGeneratePath, request_, remaining);
    const std::weak_ptr<StreamAttempt> weak = weak_from_this();
    http.can_send = [weak] {
      const auto self = weak.lock();
      return self != nullptr && self->session_.CanSend();
    };
    HttpStreamCallbacks stream;
    stream.on_head = [weak](int status, const HttpHeaders& headers) {
      if (const auto self = weak.lock()) {
        self->OnHead(status, headers);
      }
    };
    stream.on_bytes = [weak](const std::string& bytes, std::function<void()> more) {
      if (const auto self = weak.lock()) {
        self->OnBytes(bytes, std::move(more));
      }
    };
    // `on_end` keeps the attempt alive until the HTTP call has ended.
    stream.on_end = [self = shared_from_this()](HttpOutcome outcome) {
      self->OnEnd(std::move(outcome));
    };
    call_ = context_.client.Stream(request_.endpoint, std::move(http), remaining,
                                   context_.options.stream_idle_limit, std::move(stream));
  }

  CancelResult Cancel() override {
    if (session_.done()) {
      return CancelResult::kNotInProgress;
    }
    session_.MarkDone();
    CloseUpstream();
    session_.Release(CallOutcome::kCancelled);
    return session_.cancel_result();
  }

 private:
  void OnHead(int status, const HttpHeaders& headers) {
    if (session_.done()) {
      return;
    }
    status_ = status;
    echoed_id_ = FindHeader(headers, kCallIdHeader);
    context_.pool.OnResponseHead(request_.use, headers, session_.Elapsed());
    const ResponseOrigin origin = FindResponseOrigin(echoed_id_, request_.body.call_id());
    if (origin == ResponseOrigin::kOtherCall) {
      check_.RecordOtherCall();
      AbortResponse();
    }
  }

  void OnBytes(const std::string& bytes, std::function<void()> more) {
    if (session_.done()) {
      HandleDataAfterEnd();
      return;
    }
    if (status_ != kHttpOk) {
      const std::size_t free_bytes =
          kMaximumErrorBodyBytes - std::min(kMaximumErrorBodyBytes, error_body_.size());
      error_body_.append(bytes, 0, free_bytes);
      more();
      return;
    }
    lines_.Append(bytes);
    read_more_ = std::move(more);
    ProcessInput();
  }

  /// Something follows the regular last chunk: closes the connection, which must not be reused.
  void HandleDataAfterEnd() {
    context_.environment.metrics().Increment("gateway_stream_faults_total",
                                             {{"fault", StreamFaultName(StreamFault::kAfterEnd)}});
    CloseUpstream();
    session_.Release(CallOutcome::kSuccess);
  }

  void OnEnd(HttpOutcome outcome) {
    const bool complete = outcome.kind == HttpOutcomeKind::kAnswered;
    outcome_ = std::move(outcome);
    if (session_.done()) {
      session_.Release(CallOutcome::kSuccess);
    } else if (complete) {
      ProcessInput();
    } else {
      Complete();  // At once, even if the client has not taken the last chunk.
    }
  }

  /// Processes buffered input. Not re-entrant: `more` may be called from within `on_chunk`.
  void ProcessInput() {
    if (processing_) {
      return;
    }
    processing_ = true;
    while (ProcessNextInput()) {
    }
    processing_ = false;
  }

  /// Forwards the next chunk, or reads more, or completes. @return whether there is more to do now.
  bool ProcessNextInput() {
    if (session_.done() || chunk_in_flight_) {
      return false;
    }
    if (const std::optional<std::string> line = lines_.Next()) {
      HandleLine(*line);
      return true;
    }
    if (lines_.IsTooLong()) {
      check_.RecordMalformed();
      AbortResponse();
      return false;
    }
    if (outcome_) {
      Complete();
      return !session_.done();
    }
    if (!read_more_) {
      return false;
    }
    std::exchange(read_more_, nullptr)();
    return read_more_ != nullptr || outcome_.has_value();
  }

  void HandleLine(const std::string& line) {
    proto::StreamChunk chunk;
    if (!FromJson(line, &chunk, UnknownFields::kIgnore).ok()) {
      check_.RecordMalformed();
      AbortResponse();
      return;
    }
    switch (check_.Check(chunk)) {
      case ChunkCheckResult::kPass:
        Forward(chunk);
        break;
      case ChunkCheckResult::kEnd:
        Forward(chunk);
        FinishSuccessfully();
        break;
      case ChunkCheckResult::kReplicaError:
        FinishWithReplicaError(chunk.error());
        break;
      case ChunkCheckResult::kInvalid:
        AbortResponse();
        break;
    }
  }

  void Forward(const proto::StreamChunk& chunk) {
    chunk_in_flight_ = true;
    callbacks_.on_chunk(chunk, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self != nullptr && self->chunk_in_flight_) {
        self->chunk_in_flight_ = false;
        self->ProcessInput();
      }
    });
  }

  /// Finishes after the body or the HTTP call ended without a regular last chunk.
  void Complete() {
    if (outcome_->kind != HttpOutcomeKind::kAnswered) {
      const FailureClassification classification =
          session_.ClassifyIncomplete(*outcome_, status_ != 0);
      Finish(classification.result, classification.health);
      return;
    }
    if (status_ != kHttpOk) {
      const FailureClassification classification = session_.ClassifyError(
          {status_, echoed_id_, error_body_, call_->connection_reused()}, request_.body.call_id());
      Finish(classification.result, classification.health);
      return;
    }
    const std::string rest = lines_.TakeRest();
    if (!rest.empty()) {
      HandleLine(rest);
      return;
    }
    check_.OnBodyEnd();
    AbortResponse();
  }

  void AbortResponse() {
    const std::string_view fault = StreamFaultName(check_.fault());
    context_.environment.metrics().Increment("gateway_stream_faults_total", {{"fault", fault}});
    Log(LogLevel::kWarning, "stream_broken",
        {{"call_id", request_.body.call_id()}, {"replica", request_.use.id}, {"fault", fault}});
    JsonAttemptResult result;
    result.end = AttemptEnd::kUnknown;
    result.error.set_code("stream_broken");
    result.error.set_message("the replica's stream is not one unbroken run: " + std::string(fault));
    Finish(std::move(result), CallOutcome::kFailed);
  }

  void FinishWithReplicaError(const proto::CallError& error) {
    JsonAttemptResult result;
    result.end = AttemptEnd::kUnknown;
    if (error.executed() == proto::EXECUTED_NO && check_.next_sequence() == 1) {
      result.end = AttemptEnd::kNotRun;
    } else if (error.executed() == proto::EXECUTED_YES) {
      result.end = AttemptEnd::kFailed;
    }
    result.error.set_code("replica_failed");
    result.error.set_message("the replica ended the stream with an error: " + error.message());
    Finish(std::move(result), CallOutcome::kFailed);
  }

  /// Finishes after the regular last chunk was forwarded. Reads the rest of the body, so that the
  /// connection can be reused.
  void FinishSuccessfully() {
    session_.MarkDone();
    if (outcome_) {
      session_.Release(CallOutcome::kSuccess);
    }
    if (read_more_) {
      std::exchange(read_more_, nullptr)();
    }
    JsonAttemptResult result;
    result.end = AttemptEnd::kComplete;
    callbacks_.on_done(std::move(result));
  }

  void Finish(JsonAttemptResult result, CallOutcome health) {
    session_.MarkDone();
    if (!outcome_) {
      CloseUpstream();
    }
    session_.Release(health);
    callbacks_.on_done(std::move(result));
  }

  void CloseUpstream() {
    if (call_ != nullptr) {
      call_->Cancel();
    }
  }

  AttemptContext context_;
  JsonAttemptRequest request_;
  JsonAttemptCallbacks callbacks_;
  AttemptSession session_;
  StreamCheck check_;
  LineReader lines_;
  std::shared_ptr<HttpCall> call_;
  int status_ = 0;                      ///< 0 until the head was received.
  std::string echoed_id_;               ///< The call id in the head; empty if it has none.
  std::string error_body_;              ///< Start of the body of an error response.
  std::function<void()> read_more_;     ///< Requests more of the body, if that is due.
  std::optional<HttpOutcome> outcome_;  ///< Set when the HTTP call has ended.
  bool chunk_in_flight_ = false;        ///< The client has not taken the last chunk yet.
  bool processing_ = false;             ///< `ProcessInput` is running.
};

}  // namespace

std::shared_ptr<CallAttempt> MakeStreamAttempt(const AttemptContext& context,
                                               JsonAttemptRequest request,
                                               JsonAttemptCallbacks callbacks) {
  return std::make_shared<StreamAttempt>(context, std::move(request), std::move(callbacks));
}

}  // namespace cloverbank
