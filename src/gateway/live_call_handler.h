#pragma once
/// @file
/// Adapter: live calls over HTTP.
///
///     POST /v1/call/{route}
///         body     CallRequest as JSON
///         headers  X-Tenant         tenant of the call, for rate limits
///                  X-Deadline-Ms    the client's timeout; at most the route's deadline
///                  Idempotency-Key  a repeated request with the same key gets the first response
///         answer   CallAnswer, or, with "stream": true, one StreamChunk a line (NDJSON); an error
///         before the first chunk is an ErrorBody, a later one an error chunk
///
/// Threads: the owner's event loop only.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "calls/call_runner.h"
#include "calls/idempotency_cache.h"
#include "gateway/live_call.h"
#include "net/http_types.h"

namespace cloverbank {

/// The headers of a live call, valid as long as its request.
struct LiveCallHeaders {
  std::string_view tenant;
  std::string_view idempotency_key;  ///< Empty: none.
  bool has_deadline = false;
  std::optional<milliseconds> deadline;  ///< Unset: none, or malformed.
};

class LiveCallHandler {
 public:
  LiveCallHandler(const CallContext& context, const GatewayOptions& options);
  ~LiveCallHandler();
  LiveCallHandler(const LiveCallHandler&) = delete;
  LiveCallHandler& operator=(const LiveCallHandler&) = delete;

  void Register(HttpRouter& router);
  /// Refuses new calls from now on; running calls continue.
  void Drain() { draining_ = true; }
  /// Gives every call an answer whose response has not begun, because the process is about to end.
  void EndUnansweredCalls();
  std::size_t calls_in_flight() const { return calls_.size(); }

 private:
  using Responder = std::shared_ptr<HttpResponder>;
  struct RequestProblem {
    int http_status = 0;
    std::string code;
    std::string message;
  };

  void Handle(const HttpRequest& request, const Responder& responder);
  /// Checks that this gateway may serve now.
  /// @return the route that the path names, or nullptr if a refusal was sent.
  const proto::Route* FindRouteOrRefuse(const HttpRequest& request, HttpResponder& responder);
  /// @return what is wrong with the size of the body or with a header; nothing if both are valid.
  std::optional<RequestProblem> FindProblem(const HttpRequest& request,
                                            const LiveCallHeaders& headers) const;
  /// Reserves a key in the idempotency cache for a new call.
  /// @param fingerprint checksum of the body.
  /// @return whether the call is new; if not, this function has sent a response, or the running
  /// call with the same key will provide it.
  bool ReserveKey(const std::string& key, std::uint64_t fingerprint, bool stream,
                  const Responder& responder);
  /// @param key reserved in the idempotency cache, or empty.
  /// @return false if a refusal was sent and the key was released.
  bool Admit(const proto::Route& route, std::string_view tenant_name, const std::string& key,
             HttpResponder& responder);
  CallSpec MakeSpec(const proto::Route& route, const LiveCallHeaders& headers) const;
  void StartCall(const Responder& responder, CallSpec spec, LiveCall::Options options,
                 proto::CallRequest body);
  /// Sends an error of a request that was not executed.
  /// @param retry_after sent with random variation; not sent if less than 1 ms.
  void Refuse(HttpResponder& responder, int http_status, const std::string& code,
              const std::string& message, Duration retry_after);
  std::string NewCallId();
  void OnCallFinished(const std::string& call_id, const std::string& route);

  CallContext context_;
  const GatewayOptions& options_;
  IdempotencyCache idempotency_cache_;
  std::unordered_map<std::string, std::shared_ptr<LiveCall>> calls_;  ///< By call id.
  std::uint64_t call_id_prefix_;  ///< Random, so that ids of different gateways differ.
  std::uint64_t next_call_number_ = 1;
  bool draining_ = false;
};

}  // namespace cloverbank
