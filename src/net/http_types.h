#pragma once
/// @file
/// HTTP types and interfaces that use no library's types. net/ implements them over Boost.Beast,
/// tests use fakes. Call all functions on the thread of one event loop; callbacks run there too.

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
  std::string path;    ///< Percent-decoded, without the query.
  HttpHeaders query;   ///< Percent-decoded query parameters, in order.
  /// The request target exactly as it was received or is to be sent. Outgoing calls: if empty, it
  /// is built from `path` and `query`. A "Host" header of a call that sets `target` is sent
  /// unchanged.
  std::string target = {};
  HttpHeaders headers;
  std::string body;
  std::string peer_address;  ///< IP address of the caller.
  /// Outgoing calls: called once for each connection that the call uses, when the connection is
  /// established and immediately before the first byte is written (a second time only if a pooled
  /// connection proved closed). False ends the call as kNotSent; an empty function permits every
  /// call. It stops the call if a lease expired while the connection was being established or the
  /// process was frozen.
  std::function<bool()> can_send;
  /// Outgoing calls: whether to accept a close-delimited response (neither Content-Length nor
  /// chunked). If the connection is reset, the call is still kUnknown.
  bool accept_unframed = false;
  /// Outgoing calls: whether to open a connection for this call instead of using a pooled one.
  bool new_connection = false;
  /// Outgoing calls: longest wait for the connection; zero uses the client's default.
  Duration connect_timeout{};
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

/// Writes the response to one request. The handler owns it and uses exactly one of `Send` and
/// `StartStream`. Calls after the client disconnected are ignored.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;
  /// Sends a complete response.
  virtual void Send(HttpResponse response) = 0;
  /// Sends the status and headers of a chunked response.
  virtual void StartStream(int status, HttpHeaders headers) = 0;
  /// Sends one chunk. `written` runs on the loop, with true when the socket has accepted the chunk
  /// (back-pressure) and with false if the client has disconnected.
  virtual void WriteChunk(std::string chunk, std::function<void(bool alive)> written) = 0;
  /// Completes the chunked response.
  virtual void FinishStream() = 0;
  /// Closes the connection, so that the client cannot mistake the response for a complete one.
  virtual void Abort() = 0;
  /// `on_disconnect` runs once on the loop if the client disconnects before the response is
  /// complete.
  virtual void OnDisconnect(std::function<void()> on_disconnect) = 0;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

/// Registers the handlers of requests.
class HttpRouter {
 public:
  virtual ~HttpRouter() = default;
  /// Serves `method` on paths matching `pattern`, whose segments in braces match any one segment
  /// ("/v1/batches/{id}/results"); handlers read them with `PathSegment`.
  virtual void Handle(std::string_view method, std::string_view pattern, HttpHandler handler) = 0;
};

/// @return segment `index` (from 0) of a path: PathSegment("/v1/batches/7", 2) is "7".
std::string_view PathSegment(std::string_view path, std::size_t index);

/// How an outgoing call ended.
enum class HttpOutcomeKind : std::uint8_t {
  kAnswered,  ///< A complete, well-formed response was received.
  kNotSent,   ///< No byte of the request left this process: safe to retry elsewhere.
  kUnknown,   ///< Bytes were sent and no complete response came (timeout or reset).
};

struct HttpOutcome {
  HttpOutcomeKind kind = HttpOutcomeKind::kNotSent;
  HttpResponse response;  ///< Set for kAnswered; the body is empty for streamed responses.
  std::string reason;     ///< For people and logs, e.g. "connect timed out", "deadline".
};

/// Callbacks of a streamed call; they run on the loop. `on_head` runs at most once, before any
/// `on_bytes`; `on_end` runs exactly once, unless the call is cancelled.
struct HttpStreamCallbacks {
  std::function<void(int status, const HttpHeaders& headers)> on_head;
  /// Receives the next bytes of the body. No further bytes are read until `more` is called
  /// (back-pressure).
  std::function<void(std::string bytes, std::function<void()> more)> on_bytes;
  /// Receives the outcome; kAnswered means that the body is complete.
  std::function<void(HttpOutcome)> on_end;
};

/// An outgoing call in progress. Dropping the pointer to it does not cancel it.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  /// Closes the connection; no further callback runs.
  virtual void Cancel() = 0;
  /// Whether the request was written to a connection that had carried other requests before. False
  /// until the request is written.
  virtual bool connection_reused() const = 0;
};

/// Makes outgoing calls from the process's own address. A connection whose call did not end with a
/// complete response is closed, never reused.
class HttpClient {
 public:
  virtual ~HttpClient() = default;
  /// Sends `request` to `to`. `done` runs exactly once on the loop with the outcome and the whole
  /// body, unless the call is cancelled.
  /// @param deadline for the whole call, from now.
  virtual std::shared_ptr<HttpCall> Call(const Endpoint& to, HttpRequest request, Duration deadline,
                                         std::function<void(HttpOutcome)> done) = 0;
  /// Like `Call`, but passes on the body as it is received.
  /// @param deadline for the whole call, from now.
  /// @param idle_limit if no bytes arrive for this long, the call ends as kUnknown.
  virtual std::shared_ptr<HttpCall> Stream(const Endpoint& to, HttpRequest request,
                                           Duration deadline, Duration idle_limit,
                                           HttpStreamCallbacks callbacks) = 0;
};

}  // namespace cloverbank
