#pragma once
/// @file
/// One try of a call at one replica: a generation streamed as JSON lines (stream_attempt.cc), one
/// JSON request and answer (service_attempt.cc), or a request passed on unchanged
/// (forward_attempt.h). An attempt tells the pool how it went, decides what may be said of it, and
/// passes only checked pieces on. Threads: the owner's event loop only.

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
  /// Whether another replica could be tried now, after a silence; empty means never.
  std::function<bool()> can_retry_elsewhere;
  /// Asked immediately before the first byte leaves. False: certainly not run.
  std::function<bool()> may_send;
};

struct AttemptResult {
  AttemptEnd end = AttemptEnd::kUnknown;
  proto::CallError error;  ///< Code and message, when not whole.
  bool final = false;      ///< Another try could not do better.
};

/// What attempts need of the gateway.
struct AttemptContext {
  Environment& environment;
  HttpClient& client;
  ReplicaPool& pool;
  const CallOptions& options;
};

/// How far an attempt was when it was cancelled.
enum class CancelledWhen : std::uint8_t {
  kNotUnderWay,  ///< Before its first byte left, or after its end.
  kMaybeSent,    ///< Bytes may have reached the replica.
};

class CallAttempt {
 public:
  virtual ~CallAttempt() = default;
  virtual void Start() = 0;
  /// Closes the connection to the replica; no callback runs after.
  virtual CancelledWhen Cancel() = 0;
};

// ---- Attempts of the JSON interface ----

struct JsonAttemptRequest : AttemptRequest {
  proto::CallRequest body;  ///< With call id and model.
};

struct JsonAttemptResult : AttemptResult {
  proto::CallAnswer answer;  ///< Of a service, when whole.
};

struct JsonAttemptCallbacks {
  /// A checked piece, the regular last one included. `more` asks for the next one.
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

/// What an answer without success says of the call and of the replica's health.
struct FailureReading {
  JsonAttemptResult result;
  CallEnd health = CallEnd::kFailed;
};

/// Reads the status and body of an answer other than 200.
FailureReading ReadRefusal(int status, const std::string& body);
/// What is known of a call that ended without a whole answer.
struct NoResponseContext {
  bool send_denied = false;    ///< `may_send` said no.
  bool head_received = false;  ///< The replica had begun to answer.
  bool deadline_reached = false;
  Duration time_allowed{};  ///< How long the replica had.
};

/// Reads a call that ended without a whole answer.
FailureReading ClassifyTimeout(const HttpOutcome& outcome, const NoResponseContext& known,
                               const CallOptions& options);
/// @return the request to `path` at a replica.
HttpRequest MakeReplicaRequest(std::string_view path, const JsonAttemptRequest& request,
                               Duration remaining);

}  // namespace cloverbank
