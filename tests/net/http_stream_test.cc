// Streamed responses: order, back-pressure, and incomplete responses.
#include "net/net_fixture.h"

namespace cloverbank {
namespace {

using ResponderPointer = std::shared_ptr<HttpResponder>;

class HttpStreamTest : public NetFixture {
 protected:
  /// Serves GET / by sending the response headers and passing the responder to `serve`.
  void ServeStream(std::function<void(const ResponderPointer&)> serve) {
    server_->Handle(
        "GET", "/",
        [serve = std::move(serve)](const HttpRequest&, const ResponderPointer& responder) {
          responder->StartStream(200, {{"X-Kind", "stream"}});
          serve(responder);
        });
  }

  /// Streams GET / and runs the loop until the response ends.
  void StreamAndWait(Duration idle_limit = seconds(20)) {
    HttpStreamCallbacks callbacks;
    callbacks.on_head = [this](int status, const HttpHeaders& headers) {
      status_ = status;
      kind_header_ = FindHeader(headers, "X-Kind");
    };
    callbacks.on_bytes = [this](const std::string& bytes, const std::function<void()>& more) {
      body_ += bytes;
      more();
    };
    callbacks.on_end = [this](HttpOutcome outcome) {
      outcome_ = std::move(outcome);
      loop_.Stop();
    };
    client_->Stream(server_->endpoint(), Get("/"), seconds(20), idle_limit, callbacks);
    RunUntilStopped();
  }

  int status_ = 0;
  std::string kind_header_;
  std::string body_;
  HttpOutcome outcome_;
};

TEST_F(HttpStreamTest, DeliversChunksInOrderAndReusesConnection) {
  ServeStream([](const ResponderPointer& responder) {
    responder->WriteChunk("one ", nullptr);
    responder->WriteChunk("", nullptr);
    responder->WriteChunk("two ", [responder](bool alive) {
      EXPECT_TRUE(alive);
      responder->WriteChunk("three", nullptr);
      responder->FinishStream();
    });
  });
  StreamAndWait();
  EXPECT_EQ(outcome_.kind, HttpOutcomeKind::kAnswered);
  EXPECT_EQ(status_, 200);
  EXPECT_EQ(kind_header_, "stream");
  EXPECT_EQ(body_, "one two three");
  EXPECT_EQ(client_->idle_connection_count(), 1U);
}

TEST_F(HttpStreamTest, ReceivesResponseWithContentLength) {
  server_->Handle("GET", "/", [](const HttpRequest&, const ResponderPointer& responder) {
    responder->Send({503, {{"X-Kind", "refusal"}}, std::string(100'000, 'r')});
  });
  StreamAndWait();
  EXPECT_EQ(outcome_.kind, HttpOutcomeKind::kAnswered) << outcome_.reason;
  EXPECT_EQ(status_, 503);
  EXPECT_EQ(kind_header_, "refusal");
  EXPECT_EQ(body_.size(), 100'000U);
}

TEST_F(HttpStreamTest, WriterWaitsWhenReaderStopsReading) {
  constexpr std::size_t kChunkBytes = 1U << 20U;
  constexpr int kChunks = 64;
  int written = 0;
  std::function<void(const ResponderPointer&)> write_next = [&](const ResponderPointer& responder) {
    responder->WriteChunk(std::string(kChunkBytes, 'x'), [&, responder](bool alive) {
      if (alive && ++written < kChunks) {
        write_next(responder);
      } else {
        responder->FinishStream();
      }
    });
  };
  ServeStream([&](const ResponderPointer& responder) { write_next(responder); });
  std::function<void()> held_more;
  std::size_t received = 0;
  HttpStreamCallbacks callbacks;
  callbacks.on_bytes = [&](const std::string& bytes, std::function<void()> more) {
    received += bytes.size();
    if (held_more) {
      more();
      return;
    }
    held_more = std::move(more);
    loop_.ScheduleAfter(milliseconds(100), [this] { loop_.Stop(); });
  };
  callbacks.on_end = [&](const HttpOutcome&) { loop_.Stop(); };
  client_->Stream(server_->endpoint(), Get("/"), seconds(30), seconds(30), callbacks);
  RunUntilStopped();
  EXPECT_LT(written, kChunks) << "the writer did not wait for a reader that had stopped reading";
  held_more();
  RunUntilStopped();
  EXPECT_EQ(received, kChunks * kChunkBytes);
}

TEST_F(HttpStreamTest, AbortedStreamIsUnknown) {
  ServeStream([](const ResponderPointer& responder) {
    responder->WriteChunk("part", [responder](bool) { responder->Abort(); });
  });
  StreamAndWait();
  EXPECT_EQ(body_, "part");
  EXPECT_EQ(outcome_.kind, HttpOutcomeKind::kUnknown);
  EXPECT_EQ(client_->idle_connection_count(), 0U);
}

TEST_F(HttpStreamTest, StreamWithoutBytesWithinIdleLimitIsUnknown) {
  ResponderPointer held;
  ServeStream([&](const ResponderPointer& responder) {
    held = responder;
    responder->WriteChunk("part", nullptr);
  });
  StreamAndWait(milliseconds(50));
  EXPECT_EQ(body_, "part");
  EXPECT_EQ(outcome_.kind, HttpOutcomeKind::kUnknown);
}

TEST_F(HttpStreamTest, WriterIsToldThatReaderDisconnected) {
  bool reader_disconnected = false;
  std::shared_ptr<HttpCall> call;
  ServeStream([&](const ResponderPointer& responder) {
    responder->OnDisconnect([&, responder] {
      reader_disconnected = true;
      responder->WriteChunk("after disconnect", [this](bool alive) {
        EXPECT_FALSE(alive);
        loop_.Stop();
      });
    });
    responder->WriteChunk("part", nullptr);
  });
  HttpStreamCallbacks callbacks;
  callbacks.on_bytes = [&](const std::string&, const std::function<void()>&) { call->Cancel(); };
  callbacks.on_end = [](const HttpOutcome&) {
    ADD_FAILURE() << "the callback of a cancelled call ran";
  };
  call = client_->Stream(server_->endpoint(), Get("/"), seconds(20), seconds(20), callbacks);
  RunUntilStopped();
  EXPECT_TRUE(reader_disconnected);
}

}  // namespace
}  // namespace cloverbank
