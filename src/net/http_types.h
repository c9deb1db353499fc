#pragma once
/// @file
/// HTTP as the adapters see it, free of any library's types. Implemented in net/ over Boost.Beast
/// and by fakes in tests. All functions and callbacks belong to one event loop.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/status.h"
#include "base/time.h"

namespace cloverbank {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// @return the value of the first header named `name` (any case), or "".
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

struct HttpRequest {
  std::string method;  ///< "GET", "POST", ...
  std::string path;    ///< Without the query, decoded.
  HttpHeaders query;   ///< Decoded query parameters, in order.
  /// The request target exactly as it came, or is to be sent. Outgoing calls: empty builds it from
  /// `path` and `query`. A "Host" among the headers of a call with a target is sent as it is.
  std::string target = {};
  HttpHeaders headers;
  std::string body;
  std::string peer_address;  ///< IP number of the caller.
  /// Outgoing calls: asked once, immediately before the first byte leaves (the connection stands by
  /// then). False ends the call as kNotSent. Empty means always. It lets a right that ran out while
  /// the connection was being made, or while the process was frozen, stop the call.
  std::function<bool()> can_send;
  /// Outgoing calls: whether an answer may be ended by its connection (neither length nor chunks).
  /// A connection that is reset still makes it kUnknown.
  bool accept_unframed = false;
  /// Outgoing calls: longest wait for a connection; zero takes the client's own.
  Duration connect_timeout{};
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

/// Writes the response to one request. Owned by its handler; a call after the client disconnected
/// is ignored. Exactly one of `Send` and `StartStream` is used.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;
  /// Sends a complete response.
  virtual void Send(HttpResponse response) = 0;
  /// Sends the head of a chunked answer.
  virtual void StartStream(int status, HttpHeaders headers) = 0;
  /// Sends one chunk. `written` runs when the caller's socket took it (back-pressure), with false
  /// if the client has disconnected.
  virtual void WriteChunk(std::string chunk, std::function<void(bool alive)> written) = 0;
  /// Ends the chunked answer in the regular way.
  virtual void FinishStream() = 0;
  /// Breaks the connection, so that the client can not mistake the response for a complete one.
  virtual void Abort() = 0;
  /// `on_disconnect` runs once if the client disconnects before the response is complete.
  virtual void OnDisconnect(std::function<void()> on_disconnect) = 0;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

/// Where adapters register what they serve.
class HttpRouter {
 public:
  virtual ~HttpRouter() = default;
  /// Serves `method` on paths matching `pattern`, whose segments in braces match any one segment
  /// ("/v1/batches/{id}/results"); handlers read them with `PathSegment`.
  virtual void Handle(std::string_view method, std::string_view pattern, HttpHandler handler) = 0;
};

/// @return segment `index` (from 0) of a path: PathSegment("/v1/batches/7", 2) is "7".
std::string_view PathSegment(std::string_view path, std::size_t index);

/// How far an outgoing call got.
enum class HttpOutcomeKind : std::uint8_t {
  kAnswered,  ///< A complete, well-formed response was received.
  kNotSent,   ///< No byte of the request left this process: safe to try elsewhere.
  kUnknown,   ///< Bytes were sent, no complete response came (timeout or reset).
};

struct HttpOutcome {
  HttpOutcomeKind kind = HttpOutcomeKind::kNotSent;
  HttpResponse response;  ///< Set when answered (body empty for streamed answers).
  std::string reason;     ///< For people and logs, e.g. "connect refused", "deadline".
};

/// Callbacks of a streamed call. `on_head` runs at most once, before chunks; `on_end` exactly
/// once.
struct HttpStreamCallbacks {
  std::function<void(int status, const HttpHeaders& headers)> on_head;
  /// One read's worth of body. `more` must be called to receive the next (back-pressure).
  std::function<void(std::string bytes, std::function<void()> more)> on_bytes;
  /// kAnswered: the body ended regularly.
  std::function<void(HttpOutcome)> on_end;
};

/// A running outgoing call. Destroying it does not cancel.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  /// Closes the connection; no further callback runs.
  virtual void Cancel() = 0;
};

/// Makes outgoing calls from the process's own address. A connection whose call did not end in a
/// complete response is closed, never reused.
class HttpClient {
 public:
  virtual ~HttpClient() = default;
  virtual std::shared_ptr<HttpCall> Call(const Endpoint& to, HttpRequest request, Duration deadline,
                                         std::function<void(HttpOutcome)> done) = 0;
  /// @param deadline for the whole call.
  /// @param idle_limit longest time between reads before the call ends as kUnknown.
  virtual std::shared_ptr<HttpCall> Stream(const Endpoint& to, HttpRequest request,
                                           Duration deadline, Duration idle_limit,
                                           HttpStreamCallbacks callbacks) = 0;
};

}  // namespace cloverbank
