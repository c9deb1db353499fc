#pragma once
/// @file
/// Test fixture of net/: an event loop with a server and a client on loopback addresses, and raw
/// sockets for peers that violate the protocol.

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "base/metrics.h"
#include "net/beast_http_client.h"
#include "net/beast_http_server.h"
#include "net/event_loop.h"
#include "net/fault_injector.h"
#include "support/raw_socket.h"

namespace cloverbank {

inline constexpr const char* kServerHost = "127.30.0.1";
inline constexpr const char* kClientHost = "127.30.0.2";

/// A listening socket on a free port of `kServerHost`.
class RawListener {
 public:
  RawListener() : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address = ToSocketAddress({kServerHost, 0});
    EXPECT_EQ(bind(socket_.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof(address)),
              0);
    EXPECT_EQ(listen(socket_.descriptor(), 16), 0);
    socklen_t size = sizeof(address);
    getsockname(socket_.descriptor(), reinterpret_cast<sockaddr*>(&address), &size);
    endpoint_ = {kServerHost, ntohs(address.sin_port)};
  }
  const Endpoint& endpoint() const { return endpoint_; }
  std::unique_ptr<RawSocket> Accept() const {
    return std::make_unique<RawSocket>(accept(socket_.descriptor(), nullptr, nullptr));
  }

 private:
  RawSocket socket_;
  Endpoint endpoint_;
};

class NetFixture : public ::testing::Test {
 protected:
  NetFixture() { RestartServer({}); }

  /// Replaces the server by a new one with `options`, on a free port.
  void RestartServer(HttpServerOptions options) {
    server_.reset();
    options.listen = {kServerHost, 0};
    server_ = std::make_unique<BeastHttpServer>(loop_, options, metrics_, &faults_);
    const Status listening = server_->Listen();
    ASSERT_TRUE(listening.ok()) << listening.ToString();
  }

  /// Runs the loop until a callback stops it. The watchdog timer fails a test that would hang.
  void RunUntilStopped() {
    const TimerId watchdog = loop_.ScheduleAfter(seconds(30), [this] {
      ADD_FAILURE() << "the loop was not stopped";
      loop_.Stop();
    });
    loop_.Run();
    loop_.CancelTimer(watchdog);
  }

  static HttpRequest Get(const std::string& path) {
    HttpRequest request;
    request.method = "GET";
    request.path = path;
    return request;
  }
  static HttpRequest Post(const std::string& path, std::string body) {
    HttpRequest request = Get(path);
    request.method = "POST";
    request.body = std::move(body);
    return request;
  }

  /// Makes a call, runs the loop until the call ends and returns the outcome.
  HttpOutcome CallAndWait(const Endpoint& to, HttpRequest request,
                          Duration deadline = seconds(20)) {
    HttpOutcome result;
    client_->Call(to, std::move(request), deadline, [&](HttpOutcome outcome) {
      result = std::move(outcome);
      loop_.Stop();
    });
    RunUntilStopped();
    return result;
  }

  /// Calls a peer that sends `answer` after the request's headers and closes the connection.
  HttpOutcome CallCannedPeer(const std::string& answer) {
    const RawListener listener;
    std::thread peer([&] {
      const auto connection = listener.Accept();
      connection->ReadUntil("\r\n\r\n");
      connection->Send(answer);
    });
    HttpOutcome outcome = CallAndWait(listener.endpoint(), Get("/"));
    peer.join();
    return outcome;
  }

  Metrics metrics_;
  FaultInjector faults_;
  EventLoop loop_;
  std::unique_ptr<BeastHttpServer> server_;
  std::unique_ptr<BeastHttpClient> client_ = std::make_unique<BeastHttpClient>(
      loop_, HttpClientOptions{.local_address = kClientHost}, &faults_);
};

}  // namespace cloverbank
