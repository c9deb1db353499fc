#pragma once
/// @file
/// One attempt of a call at one replica: a generation streamed as JSON lines (stream_attempt.cc),
/// one JSON request and response (service_attempt.cc), or a request forwarded unchanged
/// (forward_attempt.h). An attempt reports its end to the pool, classifies it for retries, and
/// forwards only checked chunks. Threads: the owner's event loop only.

#include <functional>
#include <memory>

#include "calls/gateway_options.h"
#include "calls/replica_pool.h"
#include "calls/retry_policy.h"
#include "net/http_types.h"
#include "proto/live.pb.h"
#include "runtime/environment.h"

namespace cloverbank {

/// Where and what to send.
struct AttemptRequest {
  Endpoint endpoint;
  ReplicaUse use;
  std::string backend;  ///< Model or service that was chosen.
  proto::BackendKind kind = proto::BACKEND_KIND_UNSPECIFIED;
  TimePoint deadline;
  /// Whether the call could be retried at another replica now, after a timeout; empty means never.
  std::function<bool()> can_retry_elsewhere;
  /// Evaluated immediately before the first byte is sent. False: the call certainly did not run.
  std::function<bool()> may_send;
};

struct AttemptResult {
  AttemptEnd end = AttemptEnd::kUnknown;
  proto::CallError error;  ///< Code and message, unless complete.
  bool permanent = false;  ///< A retry would fail in the same way.
};

/// What attempts need of the gateway.
struct AttemptContext {
  Environment& environment;
  HttpClient& client;
  ReplicaPool& pool;
  const CallOptions& options;
};

/// How far an attempt was when it was cancelled.
enum class CancelResult : std::uint8_t {
  kNotInProgress,  ///< Before its first byte was sent, or after its end.
  kMaybeSent,      ///< Bytes may have reached the replica.
};

class CallAttempt {
 public:
  virtual ~CallAttempt() = default;
  virtual void Start() = 0;
  /// Closes the connection to the replica; no callback runs after.
  virtual CancelResult Cancel() = 0;
};

// ---- Attempts of the JSON interface ----

struct JsonAttemptRequest : AttemptRequest {
  proto::CallRequest body;  ///< With call id and model.
};

struct JsonAttemptResult : AttemptResult {
  proto::CallAnswer answer;  ///< Of a service, when complete.
};

struct JsonAttemptCallbacks {
  /// A checked chunk, including the regular last one. `more` requests the next one.
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

/// What a failed response says about the call and about the replica's health.
struct FailureClassification {
  JsonAttemptResult result;
  CallEnd health = CallEnd::kFailed;
};

/// Classifies the status and body of a response other than 200.
FailureClassification ClassifyErrorResponse(int status, const std::string& body);
/// What is known of a call that ended without a complete response.
struct IncompleteResponseContext {
  bool send_denied = false;    ///< `may_send` returned false: nothing was sent.
  bool head_received = false;  ///< The head of the response was received.
  bool deadline_reached = false;
  Duration time_allowed{};  ///< Time from sending the request to its deadline.
};

/// Classifies a call that ended without a complete response.
FailureClassification ClassifyIncompleteResponse(const HttpOutcome& outcome,
                                                 const IncompleteResponseContext& context,
                                                 const CallOptions& options);
/// @return the request to `path` at a replica.
HttpRequest MakeReplicaRequest(std::string_view path, const JsonAttemptRequest& request,
                               Duration remaining);

}  // namespace cloverbank
