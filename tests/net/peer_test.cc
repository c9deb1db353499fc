// Peer calls over sockets, and how the fault injector drops them.
#include "net/asio_environment.h"
#include "net/net_fixture.h"
#include "proto/common.pb.h"
#include "runtime/typed_peer.h"

namespace cloverbank {
namespace {

class PeerTest : public NetFixture {
 protected:
  PeerReply CallAndWaitPeer(const std::string& method, const std::string& body,
                            Duration deadline = seconds(20)) {
    PeerReply result;
    environment_.CallPeer(server_->endpoint(), method, body, deadline, [&](PeerReply reply) {
      result = std::move(reply);
      loop_.Stop();
    });
    RunUntilStopped();
    return result;
  }

  AsioEnvironment environment_{loop_, *client_, *server_, server_->endpoint(), metrics_};
};

TEST_F(PeerTest, TypedCallsCarryMessageAndPeerAddress) {
  ServePeer<proto::Endpoint, proto::Endpoint>(
      environment_, "test.Swap",
      [](const proto::Endpoint& request, const std::string& peer_address,
         const std::function<void(Result<proto::Endpoint>)>& reply) {
        proto::Endpoint response;
        response.set_host(peer_address);
        response.set_port(request.port() + 1);
        reply(response);
      });
  proto::Endpoint request;
  request.set_port(41);
  CallPeer<proto::Endpoint>(environment_, server_->endpoint(), "test.Swap", request, seconds(20),
                            [this](const Result<proto::Endpoint>& response) {
                              ASSERT_TRUE(response.ok()) << response.status().ToString();
                              EXPECT_EQ(response->host(), kClientHost);
                              EXPECT_EQ(response->port(), 42U);
                              loop_.Stop();
                            });
  RunUntilStopped();
}

TEST_F(PeerTest, RefusalsKeepTheirCodeMessageAndDetail) {
  for (int code = 1; code <= static_cast<int>(StatusCode::kInternal); ++code) {
    environment_.RegisterPeerMethod(
        "test.Refuse", [code](const PeerRequest&, const PeerReplyCallback& reply) {
          reply({Status(static_cast<StatusCode>(code), "why", "127.0.0.1:1"), {}});
        });
    const PeerReply reply = CallAndWaitPeer("test.Refuse", "");
    EXPECT_EQ(static_cast<int>(reply.status.code()), code);
    EXPECT_EQ(reply.status.message(), "why");
    EXPECT_EQ(reply.status.detail(), "127.0.0.1:1");
  }
}

TEST_F(PeerTest, UnregisteredMethodIsUnavailable) {
  EXPECT_EQ(CallAndWaitPeer("test.None", "").status.code(), StatusCode::kUnavailable);
}

TEST_F(PeerTest, TimeoutIsUnknownAndRefusedConnectionIsUnavailable) {
  PeerReplyCallback held;
  environment_.RegisterPeerMethod(
      "test.Hold", [&](const PeerRequest&, PeerReplyCallback reply) { held = std::move(reply); });
  EXPECT_EQ(CallAndWaitPeer("test.Hold", "", milliseconds(50)).status.code(),
            StatusCode::kUnknownOutcome);
  Status refused;
  environment_.CallPeer(RawListener().endpoint(), "test.Hold", "", seconds(20),
                        [&](const PeerReply& reply) {
                          refused = reply.status;
                          loop_.Stop();
                        });
  RunUntilStopped();
  EXPECT_EQ(refused.code(), StatusCode::kUnavailable);
}

TEST_F(PeerTest, CallToBlockedAddressTimesOut) {
  bool served = false;
  environment_.RegisterPeerMethod("test.Serve",
                                  [&](const PeerRequest&, const PeerReplyCallback& reply) {
                                    served = true;
                                    reply({Status::Ok(), "answer"});
                                  });
  faults_.SetBlocked({kServerHost});
  EXPECT_EQ(CallAndWaitPeer("test.Serve", "", milliseconds(50)).status.code(),
            StatusCode::kUnknownOutcome);
  EXPECT_FALSE(served);
  faults_.SetBlocked({});
  EXPECT_EQ(CallAndWaitPeer("test.Serve", "").body, "answer");
}

TEST_F(PeerTest, RequestsFromBlockedAddressAreNotServed) {
  bool served = false;
  environment_.RegisterPeerMethod("test.Serve",
                                  [&](const PeerRequest&, const PeerReplyCallback& reply) {
                                    served = true;
                                    reply({Status::Ok(), "answer"});
                                  });
  EXPECT_EQ(CallAndWaitPeer("test.Serve", "").body, "answer");
  served = false;
  faults_.SetBlocked({kClientHost});
  EXPECT_EQ(CallAndWaitPeer("test.Serve", "", milliseconds(50)).status.code(),
            StatusCode::kUnknownOutcome);
  EXPECT_FALSE(served);
}

TEST_F(PeerTest, BlockingDropsPendingResponses) {
  for (const char* blocked : {kClientHost, kServerHost}) {
    environment_.RegisterPeerMethod("test.Serve",
                                    [&](const PeerRequest&, const PeerReplyCallback& reply) {
                                      faults_.SetBlocked({blocked});
                                      reply({Status::Ok(), "answer"});
                                    });
    EXPECT_EQ(CallAndWaitPeer("test.Serve", "", milliseconds(50)).status.code(),
              StatusCode::kUnknownOutcome);
    faults_.SetBlocked({});
  }
}

TEST_F(PeerTest, BlockingAfterConnectDropsTheRequest) {
  bool served = false;
  server_->Handle("GET", "/", [&](const HttpRequest&, const std::shared_ptr<HttpResponder>&) {
    served = true;
  });
  HttpRequest request = Get("/");
  request.can_send = [this] {
    faults_.SetBlocked({kServerHost});
    return true;
  };
  EXPECT_EQ(CallAndWait(server_->endpoint(), request, milliseconds(50)).kind,
            HttpOutcomeKind::kUnknown);
  EXPECT_FALSE(served);
}

TEST_F(PeerTest, AdminInterfaceSetsBlockedAddresses) {
  faults_.ServeAdmin(*server_);
  const HttpOutcome set =
      CallAndWait(server_->endpoint(), Post("/admin/faults", R"({"blocked":["127.10.0.2"]})"));
  EXPECT_EQ(set.response.body, R"({"blocked":["127.10.0.2"]})");
  EXPECT_TRUE(faults_.IsBlocked("127.10.0.2"));
  EXPECT_EQ(CallAndWait(server_->endpoint(), Post("/admin/faults", "{")).response.status, 400);
  CallAndWait(server_->endpoint(), Post("/admin/faults", "{}"));
  EXPECT_FALSE(faults_.IsBlocked("127.10.0.2"));
}

}  // namespace
}  // namespace cloverbank
