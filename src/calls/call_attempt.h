#pragma once
/// @file
/// One attempt of a call at one replica: a generation streamed as JSON lines (stream_attempt.cc),
/// one JSON request and response (service_attempt.cc), or a request forwarded unchanged
/// (forward_attempt.h). An attempt reports its end to the replica pool, classifies the result for
/// the retry policy, and forwards only chunks that it has checked. Threads: the owner's event loop
/// only.

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "calls/gateway_options.h"
#include "calls/replica_pool.h"
#include "calls/retry_policy.h"
#include "net/http_types.h"
#include "proto/live.pb.h"
#include "runtime/environment.h"

namespace cloverbank {

/// The replica of an attempt, and the conditions under which it may be sent.
struct AttemptRequest {
  Endpoint endpoint;
  ReplicaUse use;
  std::string backend;  ///< Name of the model or service.
  proto::BackendKind kind = proto::BACKEND_KIND_UNSPECIFIED;
  TimePoint deadline;
  /// Whether to send on a new connection. A connection to this address that carried an earlier
  /// attempt of the same call may still bring a second response to that attempt, whose call id is
  /// the same.
  bool new_connection = false;
  /// Whether the call could be retried at another replica if this attempt timed out now; empty
  /// means never.
  std::function<bool()> can_retry_elsewhere;
  /// Evaluated immediately before the first byte is sent. If it returns false, nothing is sent, so
  /// the call certainly did not run.
  std::function<bool()> can_send;
};

struct AttemptResult {
  AttemptEnd end = AttemptEnd::kUnknown;
  proto::CallError error;  ///< Code and message, unless complete.
  bool permanent = false;  ///< A retry would fail in the same way, so none is made.
};

/// The parts of the gateway that attempts use.
struct AttemptContext {
  Environment& environment;
  HttpClient& client;
  ReplicaPool& pool;
  const CallOptions& options;
};

/// How far an attempt was when it was cancelled.
enum class CancelResult : std::uint8_t {
  kNotInProgress,  ///< No byte of it was sent, or it had ended.
  kMaybeSent,      ///< Bytes may have reached the replica.
};

class CallAttempt {
 public:
  virtual ~CallAttempt() = default;
  /// Hands the request to the HTTP client. To be called once.
  virtual void Start() = 0;
  /// Closes the connection to the replica; no callback runs afterwards.
  virtual CancelResult Cancel() = 0;
};

// ---- Attempts of the JSON interface ----

struct JsonAttemptRequest : AttemptRequest {
  proto::CallRequest body;  ///< Includes the call id and the model.
};

struct JsonAttemptResult : AttemptResult {
  proto::CallAnswer answer;  ///< The response of a service, when complete. Unused by streams.
};

struct JsonAttemptCallbacks {
  /// Runs for each checked chunk, including the regular last one. `more` requests the next one.
  std::function<void(const proto::StreamChunk& chunk, std::function<void()> more)> on_chunk;
  /// Runs exactly once unless the attempt is cancelled.
  std::function<void(JsonAttemptResult)> on_done;
};

std::shared_ptr<CallAttempt> MakeStreamAttempt(const AttemptContext& context,
                                               JsonAttemptRequest request,
                                               JsonAttemptCallbacks callbacks);
std::shared_ptr<CallAttempt> MakeServiceAttempt(const AttemptContext& context,
                                                JsonAttemptRequest request,
                                                JsonAttemptCallbacks callbacks);

/// What the end of an attempt says about the call and about the replica's health.
struct FailureClassification {
  JsonAttemptResult result;
  CallOutcome health = CallOutcome::kFailed;
  /// A refusal without a call id, which may be about an earlier call of the connection.
  bool unidentified_refusal = false;
};

/// Header in which calls of the JSON interface carry their id and replicas echo it.
inline constexpr std::string_view kCallIdHeader = "X-Call-Id";

/// A complete response whose status is not 200, and what shows which call it is about.
struct ErrorResponse {
  int status = 0;
  std::string echoed_id;  ///< Of `kCallIdHeader`; empty: the error body may have it.
  std::string body;
  bool connection_reused = false;  ///< As `HttpCall::connection_reused`.
};

/// Classifies an error response. The status, and `executed` of the error body if that is readable,
/// decide whether the call may have run. A response that is not proven to be about the call
/// `call_id` shows nothing: the call may have run.
FailureClassification ClassifyErrorResponse(const ErrorResponse& response,
                                            std::string_view call_id);
/// What is known of a call that ended without a complete response.
struct IncompleteResponseContext {
  bool send_denied = false;    ///< `can_send` returned false: nothing was sent.
  bool head_received = false;  ///< The head of the response was received.
  bool deadline_reached = false;
  Duration time_allowed{};  ///< Time from the start of the attempt to the call's deadline.
};

/// Classifies a call that ended without a complete response.
FailureClassification ClassifyIncompleteResponse(const HttpOutcome& outcome,
                                                 const IncompleteResponseContext& context,
                                                 const CallOptions& options);
/// @return the POST request to `path` at a replica, with the call id and the deadline as headers.
/// @param remaining time left until the deadline; sent as at least 1 ms.
HttpRequest MakeReplicaRequest(std::string_view path, const JsonAttemptRequest& request,
                               Duration remaining);

}  // namespace cloverbank
