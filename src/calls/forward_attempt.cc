#include "calls/forward_attempt.h"

#include <algorithm>
#include <utility>

#include "base/ascii.h"
#include "base/logging.h"
#include "calls/backend_caller.h"
#include "net/http_headers.h"
#include "net/http_status.h"

namespace cloverbank {
namespace {

constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;

bool IsSuccess(int status) { return status < kFirstClientError; }

/// Statuses with which a replica refuses a request. Only together with the header
/// `ReplicaHeaderNames::not_run` do 429 and 503 guarantee that the request did not run.
bool IsRefusalStatus(int status) {
  return status == kHttpMisdirected || status == kHttpTooManyRequests || status == kHttpUnavailable;
}

/// Whether a response with this status, without a sign that the request did not run, counts as a
/// run that failed.
bool IsReplicaFailure(int status) {
  return status >= kFirstServerError || status == kHttpTooManyRequests;
}

std::string DescribeStatus(int status) {
  return "the replica responded with status " + std::to_string(status);
}

std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace

std::string_view ResponseFaultName(ResponseFault fault) {
  switch (fault) {
    case ResponseFault::kNoResponse:
      return "silent";
    case ResponseFault::kOtherCall:
      return "other_call";
    case ResponseFault::kUnidentified:
      return "unidentified";
    case ResponseFault::kTooLarge:
      return "too_large";
    case ResponseFault::kEventTooLarge:
      return "event_too_large";
    case ResponseFault::kGap:
      return "gap";
    case ResponseFault::kTruncated:
      return "cut_event";
    case ResponseFault::kNotResumed:
      return "not_resumed";
  }
  return "cut_event";
}

std::shared_ptr<CallAttempt> ForwardExchange::NewAttempt(const AttemptContext& context,
                                                         AttemptRequest request,
                                                         ExchangeEvents events) {
  ClearFailure();
  last_replica_ = request.use.id;
  return std::make_shared<ForwardAttempt>(context, std::move(request), shared_from_this(),
                                          std::move(events));
}

ForwardAttempt::ForwardAttempt(const AttemptContext& context, AttemptRequest request,
                               std::shared_ptr<ForwardExchange> exchange, ExchangeEvents events)
    : context_(context),
      request_(std::move(request)),
      exchange_(std::move(exchange)),
      events_(std::move(events)),
      session_(context_, request_),
      splitter_(context.options.maximum_chunk_bytes) {}

HttpRequest ForwardAttempt::MakeRequest(Duration remaining) const {
  const proto::ForwardedRequest& forwarded = exchange_->call().request;
  const ReplicaHeaderNames& names = exchange_->names();
  HttpRequest http;
  http.method = forwarded.method();
  http.target = forwarded.target();
  const bool resumed = exchange_->started() && exchange_->last_event().has_value();
  for (const proto::HttpField& field : forwarded.headers()) {
    if (!resumed || !EqualIgnoringCase(field.name(), names.resume_after)) {
      http.headers.emplace_back(field.name(), field.value());
    }
  }
  http.headers.emplace_back(names.deadline_ms,
                            std::to_string(std::max<std::int64_t>(1, ToMilliseconds(remaining))));
  http.headers.emplace_back(names.expected_instance, request_.use.instance_id);
  if (resumed) {
    http.headers.emplace_back(names.resume_after, std::to_string(*exchange_->last_event()));
  }
  http.body = forwarded.body();
  http.accept_unframed = true;
  http.new_connection = request_.new_connection;
  http.connect_timeout = context_.options.replica_connect_timeout;
  return http;
}

void ForwardAttempt::Start() {
  const Duration remaining = session_.Begin();
  HttpRequest http = MakeRequest(remaining);
  const std::weak_ptr<ForwardAttempt> weak = weak_from_this();
  http.can_send = [weak] {
    const auto self = weak.lock();
    return self != nullptr && self->session_.CanSend();
  };
  HttpStreamCallbacks callbacks;
  callbacks.on_head = [weak](int status, const HttpHeaders& headers) {
    if (const auto self = weak.lock()) {
      self->OnHead(status, headers);
    }
  };
  callbacks.on_bytes = [weak](const std::string& bytes, std::function<void()> more) {
    if (const auto self = weak.lock()) {
      self->OnBytes(bytes, std::move(more));
    }
  };
  // `on_end` keeps the attempt alive until the HTTP call has ended.
  callbacks.on_end = [self = shared_from_this()](HttpOutcome outcome) {
    self->OnEnd(std::move(outcome));
  };
  // A live call has no idle limit: without data it ends at the client's deadline.
  const Duration idle_limit =
      exchange_->call().classify_failures ? context_.options.batch_idle_limit : Duration::zero();
  call_ = context_.client.Stream(request_.endpoint, std::move(http), remaining, idle_limit,
                                 std::move(callbacks));
  if (!exchange_->call().classify_failures) {
    ArmResponseTimer();
  }
}

void ForwardAttempt::ArmResponseTimer() {
  const Duration timeout =
      std::max(context_.options.response_timeout, 2 * exchange_->call().first_byte_target);
  response_timer_ = context_.environment.ScheduleAfter(timeout, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->response_timer_ = 0;
      self->CheckResponseTimeout();
    }
  });
}

void ForwardAttempt::CheckResponseTimeout() {
  if (session_.done()) {
    return;
  }
  const bool received = std::exchange(received_since_check_, false);
  const bool can_retry = request_.can_retry_elsewhere && request_.can_retry_elsewhere();
  // Retry only if the replica responds to none of this gateway's calls. Otherwise it is only slow,
  // and the attempt goes on waiting.
  if (!received && can_retry && !event_in_flight_ && context_.pool.IsStalled(request_.use)) {
    AbortResponse(ResponseFault::kNoResponse);
    return;
  }
  ArmResponseTimer();
}

CancelResult ForwardAttempt::Cancel() {
  if (session_.done()) {
    return CancelResult::kNotInProgress;
  }
  session_.MarkDone();
  if (call_ != nullptr) {
    call_->Cancel();
  }
  Release(CallOutcome::kCancelled);
  return session_.cancel_result();
}

void ForwardAttempt::OnHead(int status, const HttpHeaders& headers) {
  if (session_.done()) {
    return;
  }
  received_since_check_ = true;
  status_ = status;
  headers_ = headers;
  const ReplicaHeaderNames& names = exchange_->names();
  const bool refused = status == kHttpMisdirected ||
                       (IsRefusalStatus(status) && !FindHeader(headers, names.not_run).empty());
  const std::string_view echoed = FindHeader(headers, names.call_id);
  const ResponseOrigin origin = FindResponseOrigin(echoed, exchange_->call_id());
  if (refused || origin != ResponseOrigin::kThisCall) {
    RecordUnusualHead(origin, echoed, refused);
  }
  if (const std::optional<ResponseFault> fault = FindOriginFault(origin, refused)) {
    if (*fault == ResponseFault::kUnidentified) {
      context_.pool.OnUnidentifiedRefusal(request_.use);
    }
    AbortResponse(*fault);
    return;
  }
  not_run_ = refused;
  context_.pool.OnResponseHead(request_.use, headers, session_.Elapsed());
  if (!not_run_) {
    const bool events = exchange_->call().streamed && IsSuccess(status);
    body_mode_ = events ? BodyMode::kEvents : BodyMode::kComplete;
  }
}

std::optional<ResponseFault> ForwardAttempt::FindOriginFault(ResponseOrigin origin,
                                                             bool refused) const {
  const bool is_own = refused ? ProvesNotRun(origin, call_->connection_reused())
                              : origin == ResponseOrigin::kThisCall;
  if (is_own) {
    return std::nullopt;
  }
  const bool unidentified = refused && origin == ResponseOrigin::kUnidentified;
  return unidentified ? ResponseFault::kUnidentified : ResponseFault::kOtherCall;
}

void ForwardAttempt::RecordUnusualHead(ResponseOrigin origin, std::string_view echoed,
                                       bool refused) {
  const std::string_view name = ResponseOriginName(origin);
  const std::string_view refusal = refused ? "yes" : "no";
  const std::string_view connection = call_->connection_reused() ? "reused" : "new";
  context_.environment.metrics().Increment(
      "gateway_unusual_responses_total",
      {{"origin", name}, {"refusal", refusal}, {"connection", connection}});
  const bool foreign = origin == ResponseOrigin::kOtherCall;
  Log(foreign ? LogLevel::kWarning : LogLevel::kInfo, "response_unusual",
      {{"call_id", exchange_->call_id()},
       {"replica", request_.use.id},
       {"status", status_},
       {"origin", name},
       {"echoed", echoed},
       {"refusal", refusal},
       {"connection", connection}});
}

void ForwardAttempt::OnBytes(const std::string& bytes, std::function<void()> more) {
  if (session_.done()) {
    return;
  }
  received_since_check_ = true;
  context_.pool.OnBytesReceived(request_.use);
  if (body_mode_ == BodyMode::kEvents) {
    splitter_.Append(bytes);
    read_more_ = std::move(more);
    ProcessInput();
    return;
  }
  if (body_mode_ == BodyMode::kComplete) {
    body_ += bytes;
  }
  if (body_.size() > context_.options.maximum_response_bytes) {
    AbortResponse(ResponseFault::kTooLarge);
    return;
  }
  more();
}

void ForwardAttempt::OnEnd(HttpOutcome outcome) {
  outcome_ = std::move(outcome);
  if (session_.done()) {
    Release(CallOutcome::kSuccess);
    return;
  }
  if (body_mode_ == BodyMode::kEvents) {
    ProcessInput();
    return;
  }
  Complete();
}

void ForwardAttempt::ProcessInput() {
  if (processing_) {
    return;
  }
  processing_ = true;
  while (ProcessNextInput()) {
  }
  processing_ = false;
}

bool ForwardAttempt::ProcessNextInput() {
  if (session_.done() || event_in_flight_) {
    return false;
  }
  if (std::optional<StreamEvent> event = splitter_.Next()) {
    Forward(std::move(*event));
    return true;
  }
  if (splitter_.IsTooLarge()) {
    AbortResponse(ResponseFault::kEventTooLarge);
    return false;
  }
  if (outcome_) {
    Complete();
    return false;
  }
  if (!read_more_) {
    return false;
  }
  std::exchange(read_more_, nullptr)();
  return read_more_ != nullptr || outcome_.has_value();
}

bool ForwardAttempt::IsNextEvent(const StreamEvent& event) const {
  const std::optional<std::uint64_t> last = exchange_->last_event();
  return !exchange_->started() || !last || (event.id && *event.id == *last + 1);
}

void ForwardAttempt::Forward(StreamEvent event) {
  if (!IsNextEvent(event)) {
    AbortResponse(ResponseFault::kGap);
    return;
  }
  if (!exchange_->started()) {
    exchange_->RecordStarted();
    exchange_->sink().OnStreamHead(status_, EndToEndHeaders(headers_, {}));
  }
  exchange_->RecordEvent(event);
  if (!exchange_->CanResume()) {
    events_.on_committed();
  }
  event_in_flight_ = true;
  exchange_->sink().OnEvent(std::move(event), [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self != nullptr && self->event_in_flight_) {
      self->event_in_flight_ = false;
      self->ProcessInput();
    }
  });
}

void ForwardAttempt::Complete() {
  if (outcome_->kind != HttpOutcomeKind::kAnswered) {
    CompleteWithoutResponse();
  } else if (not_run_) {
    FinishWith(AttemptEnd::kNotRun, "replica_refused",
               DescribeStatus(status_) + " and did not run the request", CallOutcome::kRefused);
  } else if (body_mode_ == BodyMode::kComplete) {
    CompleteResponse();
  } else {
    CompleteStream();
  }
}

void ForwardAttempt::CompleteWithoutResponse() {
  FailureClassification classification = session_.ClassifyIncomplete(*outcome_, status_ != 0);
  if (not_run_) {
    // The head reported that the request did not run, so that holds without the body.
    classification.result.end = AttemptEnd::kNotRun;
  }
  Finish(std::move(classification.result), classification.health);
}

void ForwardAttempt::CompleteStream() {
  if (splitter_.HasPartial() || !exchange_->started()) {
    AbortResponse(ResponseFault::kTruncated);
    return;
  }
  FinishSuccessfully();
}

void ForwardAttempt::CompleteResponse() {
  HttpResponse response;
  response.status = status_;
  response.headers = EndToEndHeaders(headers_, {});
  response.body = std::move(body_);
  if (IsReplicaFailure(status_)) {
    FinishReplicaFailure(std::move(response));
    return;
  }
  if (!IsSuccess(status_) && exchange_->call().classify_failures) {
    FinishWith(AttemptEnd::kRejected, std::string(kReplicaRejectedCode), DescribeStatus(status_),
               CallOutcome::kSuccess);
    return;
  }
  if (exchange_->started()) {
    AbortResponse(ResponseFault::kNotResumed);
    return;
  }
  exchange_->sink().OnComplete(std::move(response));
  FinishSuccessfully();
}

void ForwardAttempt::FinishReplicaFailure(HttpResponse response) {
  exchange_->CountFailure();
  exchange_->RecordFailure(std::move(response));
  AttemptResult result;
  result.end = AttemptEnd::kFailed;
  result.error.set_code("replica_failed");
  result.error.set_message(DescribeStatus(status_));
  result.permanent = exchange_->IsFailureLimitReached();
  Finish(std::move(result), CallOutcome::kFailed);
}

void ForwardAttempt::FinishSuccessfully() {
  AttemptResult complete;
  complete.end = AttemptEnd::kComplete;
  Finish(std::move(complete), CallOutcome::kSuccess);
}

void ForwardAttempt::AbortResponse(ResponseFault fault) {
  const std::string_view name = ResponseFaultName(fault);
  context_.environment.metrics().Increment("gateway_stream_faults_total", {{"fault", name}});
  Log(LogLevel::kInfo, "response_broken",
      {{"call_id", exchange_->call_id()}, {"replica", request_.use.id}, {"fault", name}});
  FinishWith(AttemptEnd::kUnknown, "response_broken",
             "the replica's response is not a complete response to this call: " + std::string(name),
             fault == ResponseFault::kUnidentified ? CallOutcome::kRefused : CallOutcome::kFailed);
}

void ForwardAttempt::FinishWith(AttemptEnd end, const std::string& code, const std::string& message,
                                CallOutcome health) {
  AttemptResult result;
  result.end = end;
  result.error.set_code(code);
  result.error.set_message(message);
  Finish(std::move(result), health);
}

void ForwardAttempt::Finish(AttemptResult result, CallOutcome health) {
  session_.MarkDone();
  if (!outcome_ && call_ != nullptr) {
    call_->Cancel();
  }
  Release(health);
  events_.on_done(std::move(result));
}

void ForwardAttempt::Release(CallOutcome health) {
  context_.environment.CancelTimer(std::exchange(response_timer_, 0));
  session_.Release(health);
}

}  // namespace cloverbank
