#pragma once
/// @file
/// One outgoing call of `BeastHttpClient`. Internal to net/, because it exposes Boost types.
///
/// Threads: use only on the event loop's thread; callbacks run there.

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/connection_pool.h"
#include "net/http_types.h"

namespace cloverbank {

/// Time and size limits of one call.
struct ClientCallLimits {
  Duration deadline{};  ///< For the whole call, from `Start`.
  /// Longest wait for bytes of the response; zero: only the deadline applies.
  Duration idle_limit{};
  std::uint64_t maximum_body = 0;  ///< Largest response body in bytes; zero: unlimited.
};

class ClientCall : public HttpCall, public std::enable_shared_from_this<ClientCall> {
 public:
  ClientCall(std::shared_ptr<HttpClientShared> shared, Endpoint to, HttpRequest request,
             ClientCallLimits limits, HttpStreamCallbacks callbacks);

  /// Begins the call in a later action of the loop. The request's `can_send` is called immediately
  /// before the request is written.
  void Start();
  void Cancel() override;
  bool connection_reused() const override { return connection_reused_; }

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  void Begin();
  void Connect();
  void OnConnected(const boost::system::error_code& error);
  void Write();
  void OnWritten(const boost::system::error_code& error, std::size_t size);
  void ReadHead();
  void OnHead(const boost::system::error_code& error);
  void ReadBody();
  void OnBody(const boost::system::error_code& error);
  void ContinueBody();
  /// Ends the call with kUnknown. If fault injection blocks the peer, does nothing: the call then
  /// ends at its deadline.
  void FailAfterSending(const std::string& reason);
  void Finish(HttpOutcomeKind kind, std::string reason);
  void OnDeadline();
  void ArmStepTimer(Duration timeout, std::function<void()> action);
  void EndTimers();
  void CloseConnection();

  std::shared_ptr<HttpClientShared> shared_;
  Endpoint to_;
  ClientCallLimits limits_;
  boost::beast::http::request<boost::beast::http::string_body> request_;
  std::function<bool()> can_send_;
  bool accept_close_delimited_ = false;
  bool new_connection_ = false;
  Duration connect_timeout_;
  /// Null once the call has ended.
  std::shared_ptr<HttpStreamCallbacks> callbacks_;

  std::unique_ptr<ClientConnection> connection_;
  std::optional<Parser> parser_;
  std::vector<char> chunk_;
  int status_ = 0;
  bool connection_reused_ = false;     ///< Of the connection that the request was written to last.
  bool may_have_sent_ = false;         ///< A byte of the request may have left this process.
  bool waiting_for_receiver_ = false;  ///< `on_bytes` ran and its `more` was not called yet.
  TimerId deadline_timer_ = 0;
  TimerId step_timer_ = 0;  ///< Connect timeout, later the idle limit.
};

}  // namespace cloverbank
