// Limits of what a client can use of the server, and how the server drains.
#include "net/net_fixture.h"

namespace cloverbank {
namespace {

using ResponderPointer = std::shared_ptr<HttpResponder>;
class HttpLimitsTest : public NetFixture {
 protected:
  ResponderPointer kept_;  ///< Of a request that gets no response.
};

TEST_F(HttpLimitsTest, RefusesOversizedHeadersAndBodies) {
  RestartServer({.maximum_header_bytes = 1024, .maximum_body_bytes = 1000});
  HttpRequest large_header = Get("/");
  large_header.headers.emplace_back("X-Large", std::string(2000, 'h'));
  EXPECT_EQ(CallAndWait(server_->endpoint(), large_header).response.status, 431);
  const HttpOutcome large_body =
      CallAndWait(server_->endpoint(), Post("/", std::string(1001, 'b')));
  EXPECT_EQ(large_body.response.status, 413);
  EXPECT_NE(large_body.response.body.find("EXECUTED_NO"), std::string::npos);
  EXPECT_EQ(client_->idle_connection_count(), 0U);
}

TEST_F(HttpLimitsTest, RefusesConnectionsBeyondTheLimit) {
  RestartServer({.maximum_connections = 1});
  server_->Handle("GET", "/slow", [this](const HttpRequest&, const ResponderPointer& responder) {
    kept_ = responder;
    loop_.Stop();
  });
  const auto first = RawConnect(server_->endpoint());
  first->Send("GET /slow HTTP/1.1\r\nHost: x\r\n\r\n");
  RunUntilStopped();
  const HttpOutcome refused = CallAndWait(server_->endpoint(), Get("/"));
  EXPECT_EQ(refused.response.status, 503);
  EXPECT_EQ(FindHeader(refused.response.headers, "Retry-After"), "1");
}

TEST_F(HttpLimitsTest, ClosesLongestIdleConnectionAtTheLimit) {
  RestartServer({.maximum_connections = 2});
  server_->Handle("GET", "/", [](const HttpRequest&, const ResponderPointer& responder) {
    responder->Send({200, {}, "served"});
  });
  const auto idle_connection = RawConnect(server_->endpoint());
  const auto used_connection = RawConnect(server_->endpoint());
  used_connection->Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_EQ(CallAndWait(server_->endpoint(), Get("/")).response.status, 200);
  std::thread reader([&] {
    EXPECT_NE(used_connection->ReadUntil("served"), "");
    EXPECT_EQ(idle_connection->ReadUntil(""), "")
        << "received bytes before the connection was closed";
    loop_.Stop();
  });
  RunUntilStopped();
  reader.join();
}

TEST_F(HttpLimitsTest, ClientKeepsAtMostMaximumIdleConnections) {
  server_->Handle("GET", "/", [](const HttpRequest&, const ResponderPointer& responder) {
    responder->Send({200, {}, ""});
  });
  HttpClientOptions options;
  options.maximum_idle = 0;
  client_ = std::make_unique<BeastHttpClient>(loop_, options, nullptr);
  EXPECT_EQ(CallAndWait(server_->endpoint(), Get("/")).response.status, 200);
  EXPECT_EQ(client_->idle_connection_count(), 0U);
}

TEST_F(HttpLimitsTest, ClosesConnectionsWithSlowHeaders) {
  RestartServer({.header_timeout = milliseconds(50)});
  const auto slow = RawConnect(server_->endpoint());
  slow->Send("GET / HTTP/1.1\r\nHost:");
  std::string received = "not closed";
  std::thread reader([&] {
    received = slow->ReadUntil("");
    loop_.Stop();
  });
  RunUntilStopped();
  reader.join();
  EXPECT_EQ(received, "");
}

TEST_F(HttpLimitsTest, ClosesConnectionOfClientThatNeverReads) {
  RestartServer({.write_timeout = milliseconds(50)});
  server_->Handle("GET", "/", [this](const HttpRequest&, const ResponderPointer& responder) {
    responder->OnDisconnect([this] { loop_.Stop(); });
    responder->Send({200, {}, std::string(64U << 20U, 'x')});
  });
  const auto slow = RawConnect(server_->endpoint());
  slow->Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  RunUntilStopped();
  EXPECT_EQ(server_->calls_in_progress(), 0U);
}

TEST_F(HttpLimitsTest, SendsContinueWhenClientExpectsIt) {
  server_->Handle("POST", "/", [](const HttpRequest& request, const ResponderPointer& responder) {
    responder->Send({200, {}, request.body});
  });
  std::string answer;
  std::thread caller([&] {
    const auto raw = RawConnect(server_->endpoint());
    raw->Send("POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    raw->ReadUntil("100 Continue\r\n\r\n");
    raw->Send("body");
    answer = raw->ReadUntil("body");
    loop_.Stop();
  });
  RunUntilStopped();
  caller.join();
  EXPECT_NE(answer.find("200 OK"), std::string::npos);
}

TEST_F(HttpLimitsTest, AnswersPipelinedRequestsInOrder) {
  server_->Handle("GET", "/{name}",
                  [](const HttpRequest& request, const ResponderPointer& responder) {
                    responder->Send({200, {}, request.path});
                  });
  std::string answers;
  std::thread caller([&] {
    const auto raw = RawConnect(server_->endpoint());
    raw->Send("GET /first HTTP/1.1\r\nHost: x\r\n\r\nGET /second HTTP/1.1\r\nHost: x\r\n\r\n");
    answers = raw->ReadUntil("/second");
    loop_.Stop();
  });
  RunUntilStopped();
  caller.join();
  EXPECT_LT(answers.find("/first"), answers.find("/second"));
  EXPECT_NE(answers.find("/second"), std::string::npos);
}

TEST_F(HttpLimitsTest, DrainCompletesResponsesInProgress) {
  std::string events;
  const auto record_event = [&](const std::string& event) {
    events += event;
    if (events.size() == 3) {
      loop_.Stop();
    }
  };
  server_->Handle("GET", "/", [&](const HttpRequest&, const ResponderPointer& responder) {
    server_->Drain([&] { record_event("i"); });
    loop_.ScheduleAfter(milliseconds(10), [&record_event, responder] {
      record_event("s");
      responder->Send({200, {}, "a"});
    });
  });
  client_->Call(server_->endpoint(), Get("/"), seconds(20),
                [&](const HttpOutcome& outcome) { record_event(outcome.response.body); });
  RunUntilStopped();
  EXPECT_EQ(events.front(), 's') << "Drain reported idle before the response was sent";
  EXPECT_NE(events.find('a'), std::string::npos);
  EXPECT_EQ(CallAndWait(server_->endpoint(), Get("/")).kind, HttpOutcomeKind::kNotSent);
}

TEST_F(HttpLimitsTest, DrainServesRequestOnIdleConnectionThenClosesIt) {
  RestartServer({.drain_idle_grace = milliseconds(200)});
  server_->Handle("GET", "/", [](const HttpRequest&, const ResponderPointer& responder) {
    responder->Send({200, {}, "ok"});
  });
  CallAndWait(server_->endpoint(), Get("/"));
  ASSERT_EQ(client_->idle_connection_count(), 1U);
  bool idle = false;
  server_->Drain([&] {
    idle = true;
    loop_.Stop();
  });
  EXPECT_EQ(CallAndWait(server_->endpoint(), Get("/")).response.body, "ok");
  EXPECT_EQ(client_->idle_connection_count(), 0U);
  EXPECT_FALSE(idle);
  RunUntilStopped();
  EXPECT_TRUE(idle);
}

TEST_F(HttpLimitsTest, DrainAnswersARequestThatIsBeingReceived) {
  RestartServer({.drain_idle_grace = milliseconds(20)});
  server_->Handle("POST", "/", [](const HttpRequest& request, const ResponderPointer& responder) {
    responder->Send({200, {}, request.body});
  });
  bool idle = false;
  std::string answer;
  std::thread caller([&] {
    const auto raw = RawConnect(server_->endpoint());
    raw->Send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nfirst");
    raw->ReadUntil("first");
    raw->Send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbo");
    std::this_thread::sleep_for(milliseconds(50));
    loop_.Post([&] {
      server_->Drain([&] {
        idle = true;
        loop_.Stop();
      });
    });
    std::this_thread::sleep_for(milliseconds(100));
    loop_.Post([&] { EXPECT_FALSE(idle); });
    raw->Send("dy");
    answer = raw->ReadUntil("body");
  });
  RunUntilStopped();
  RestartServer({});  // Closes the connection, so that the caller ends in any case.
  caller.join();
  EXPECT_NE(answer.find("200 OK"), std::string::npos);
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
}

TEST_F(HttpLimitsTest, DrainAnswersARequestBehindAResponseThatKeptTheConnection) {
  RestartServer({.drain_idle_grace = milliseconds(20)});
  ResponderPointer stream;
  server_->Handle("GET", "/stream", [&](const HttpRequest&, const ResponderPointer& responder) {
    stream = responder;
    responder->StartStream(200, {});
    server_->Drain([&] { loop_.Stop(); });
    loop_.ScheduleAfter(milliseconds(60), [&] {
      stream->FinishStream();
      stream = nullptr;
    });
  });
  server_->Handle("GET", "/next", [](const HttpRequest&, const ResponderPointer& responder) {
    responder->Send({200, {}, "next"});
  });
  std::string answers;
  std::thread caller([&] {
    const auto raw = RawConnect(server_->endpoint());
    raw->Send("GET /stream HTTP/1.1\r\nHost: x\r\n\r\nGET /next HTTP/1.1\r\nHost: x\r\n\r\n");
    answers = raw->ReadUntil("");
  });
  RunUntilStopped();
  RestartServer({});  // Closes the connection, so that the caller ends in any case.
  caller.join();
  EXPECT_NE(answers.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(answers.ends_with("next"));
}

}  // namespace
}  // namespace cloverbank
