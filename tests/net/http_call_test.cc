// Calls with complete responses, and the outcome that each kind of failure reports to the caller.
#include <future>

#include "net/net_fixture.h"

namespace cloverbank {
namespace {

using ResponderPointer = std::shared_ptr<HttpResponder>;

class HttpCallTest : public NetFixture {
 protected:
  /// Serves GET / without a response, keeps the responder and stops the loop when the client
  /// disconnects.
  void HoldCalls() {
    server_->Handle("GET", "/", [this](const HttpRequest&, ResponderPointer responder) {
      held_ = std::move(responder);
      held_->OnDisconnect([this] {
        client_disconnected_ = true;
        loop_.Stop();
      });
    });
  }

  ResponderPointer held_;
  bool client_disconnected_ = false;
};

TEST_F(HttpCallTest, TransfersCompleteRequestAndResponse) {
  HttpRequest seen;
  server_->Handle("POST", "/v1/echo/{name}",
                  [&](HttpRequest request, const ResponderPointer& responder) {
                    seen = request;
                    responder->Send({201, {{"X-Answer", "yes"}}, std::move(request.body)});
                  });
  HttpRequest request = Post("/v1/echo/a b", std::string(300'000, 'x'));
  request.query = {{"limit", "5"}};
  request.headers = {{"X-Question", "why"}, {"X-Bad", "a\r\nX-Smuggled: 1"}};
  const HttpOutcome outcome = CallAndWait(server_->endpoint(), request);
  ASSERT_EQ(outcome.kind, HttpOutcomeKind::kAnswered) << outcome.reason;
  EXPECT_EQ(outcome.response.status, 201);
  EXPECT_EQ(FindHeader(outcome.response.headers, "x-answer"), "yes");
  EXPECT_EQ(outcome.response.body, request.body);
  EXPECT_EQ(seen.path, "/v1/echo/a b");
  EXPECT_EQ(seen.query, request.query);
  EXPECT_EQ(FindHeader(seen.headers, "X-Question"), "why");
  EXPECT_EQ(FindHeader(seen.headers, "X-Smuggled"), "");
  EXPECT_EQ(seen.peer_address, kClientHost);
}

TEST_F(HttpCallTest, ReusesConnectionAfterCompleteResponse) {
  server_->Handle("GET", "/", [](const HttpRequest&, const ResponderPointer& responder) {
    responder->Send({200, {}, "ok"});
  });
  for (int round = 0; round < 3; ++round) {
    EXPECT_EQ(CallAndWait(server_->endpoint(), Get("/")).response.body, "ok");
    EXPECT_EQ(client_->idle_connection_count(), 1U);
  }
}

TEST_F(HttpCallTest, ANewConnectionIsNotTakenFromThePool) {
  server_->Handle("GET", "/", [](const HttpRequest&, const ResponderPointer& responder) {
    responder->Send({200, {}, "ok"});
  });
  EXPECT_EQ(CallAndWait(server_->endpoint(), Get("/")).response.body, "ok");
  HttpRequest request = Get("/");
  request.new_connection = true;
  EXPECT_EQ(CallAndWait(server_->endpoint(), request).response.body, "ok");
  EXPECT_EQ(client_->idle_connection_count(), 2U);
}

TEST_F(HttpCallTest, UnansweredCallDoesNotBlockOtherCalls) {
  HoldCalls();
  server_->Handle("GET", "/quick", [&](const HttpRequest&, const ResponderPointer& responder) {
    responder->Send({200, {}, "quick"});
  });
  std::string order;
  client_->Call(server_->endpoint(), Get("/"), seconds(20), [&](const HttpOutcome& outcome) {
    order += outcome.response.body;
    loop_.Stop();
  });
  client_->Call(server_->endpoint(), Get("/quick"), seconds(20), [&](const HttpOutcome& outcome) {
    order += outcome.response.body + " ";
    held_->Send({200, {}, "held"});
  });
  RunUntilStopped();
  EXPECT_EQ(order, "quick held");
}

TEST_F(HttpCallTest, UnknownPathMethodOrDroppedResponderGetsError) {
  server_->Handle("GET", "/dropped", [](const HttpRequest&, const ResponderPointer&) {});
  EXPECT_EQ(CallAndWait(server_->endpoint(), Get("/none")).response.status, 404);
  EXPECT_EQ(CallAndWait(server_->endpoint(), Post("/dropped", "")).response.status, 405);
  const HttpOutcome dropped = CallAndWait(server_->endpoint(), Get("/dropped"));
  EXPECT_EQ(dropped.response.status, 500);
  EXPECT_NE(dropped.response.body.find("EXECUTED_UNKNOWN"), std::string::npos);
}

TEST_F(HttpCallTest, RefusedConnectionIsNotSent) {
  const Endpoint unused_endpoint = RawListener().endpoint();
  EXPECT_EQ(CallAndWait(unused_endpoint, Get("/")).kind, HttpOutcomeKind::kNotSent);
}

TEST_F(HttpCallTest, SendsNothingWhenCanSendIsFalse) {
  HoldCalls();
  HttpRequest request = Get("/");
  request.can_send = [] { return false; };
  EXPECT_EQ(CallAndWait(server_->endpoint(), request).kind, HttpOutcomeKind::kNotSent);
  EXPECT_EQ(held_, nullptr);
}

TEST_F(HttpCallTest, CancelWithinCanSendSendsNothing) {
  HoldCalls();
  std::shared_ptr<HttpCall> call;
  HttpRequest request = Get("/");
  request.can_send = [this, &call, keep = std::make_shared<int>(0)] {
    call->Cancel();
    loop_.ScheduleAfter(milliseconds(20), [this] { loop_.Stop(); });
    return *keep == 0;
  };
  call = client_->Call(server_->endpoint(), request, seconds(20), [](const HttpOutcome&) {
    ADD_FAILURE() << "the callback of a cancelled call ran";
  });
  request.can_send = nullptr;
  RunUntilStopped();
  EXPECT_EQ(held_, nullptr);
}

TEST_F(HttpCallTest, DeadlineIsUnknownAndClosesConnection) {
  HoldCalls();
  HttpOutcome outcome;
  client_->Call(server_->endpoint(), Get("/"), milliseconds(50),
                [&](HttpOutcome ended) { outcome = std::move(ended); });
  RunUntilStopped();
  EXPECT_EQ(outcome.kind, HttpOutcomeKind::kUnknown);
  EXPECT_TRUE(client_disconnected_);
  EXPECT_EQ(client_->idle_connection_count(), 0U);
  held_->Send({200, {}, "too late"});
}

TEST_F(HttpCallTest, CancelClosesConnectionAndRunsNoCallback) {
  HoldCalls();
  bool done = false;
  const auto call = client_->Call(server_->endpoint(), Get("/"), seconds(20),
                                  [&](const HttpOutcome&) { done = true; });
  server_->Handle("GET", "/cancel",
                  [&](const HttpRequest&, const ResponderPointer&) { call->Cancel(); });
  client_->Call(server_->endpoint(), Get("/cancel"), seconds(20), [](const HttpOutcome&) {});
  RunUntilStopped();
  EXPECT_TRUE(client_disconnected_);
  EXPECT_FALSE(done);
}

TEST_F(HttpCallTest, IncompleteResponsesAreUnknown) {
  for (const char* answer :
       {"", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        "HTTP/1.1 200 OK\r\n\r\nends with the connection", "nonsense\r\n\r\n"}) {
    EXPECT_EQ(CallCannedPeer(answer).kind, HttpOutcomeKind::kUnknown) << answer;
  }
  EXPECT_EQ(client_->idle_connection_count(), 0U);
}

TEST_F(HttpCallTest, DoesNotReuseConnectionWithUnreadBytes) {
  const HttpOutcome outcome =
      CallCannedPeer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
  EXPECT_EQ(outcome.response.body, "ok");
  EXPECT_EQ(client_->idle_connection_count(), 0U);
}

TEST_F(HttpCallTest, ReplacesIdleConnectionClosedByPeer) {
  const RawListener listener;
  std::promise<void> first_closed;
  std::thread peer([&] {
    for (int round = 0; round < 2; ++round) {
      auto connection = listener.Accept();
      connection->ReadUntil("\r\n\r\n");
      connection->Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      connection.reset();
      if (round == 0) {
        first_closed.set_value();
      }
    }
  });
  EXPECT_EQ(CallAndWait(listener.endpoint(), Get("/")).kind, HttpOutcomeKind::kAnswered);
  first_closed.get_future().wait();
  EXPECT_EQ(CallAndWait(listener.endpoint(), Get("/")).kind, HttpOutcomeKind::kAnswered);
  peer.join();
}

}  // namespace
}  // namespace cloverbank
