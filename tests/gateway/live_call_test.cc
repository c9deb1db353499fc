#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "gateway_harness.h"

namespace cloverbank {
namespace {

using Mode = FakeReplica::Mode;

class LiveCallTest : public ::testing::Test {
 protected:
  LiveCallTest() {
    harness.AddRoute("ask", proto::BACKEND_KIND_MODEL, true);
    harness.AddRoute("once", proto::BACKEND_KIND_MODEL, false);
    harness.AddRoute("serve", proto::BACKEND_KIND_SERVICE, true);
    harness.AddRoute("unlock", proto::BACKEND_KIND_SERVICE, false);
  }
  std::size_t Received() const {
    std::size_t sum = 0;
    for (const auto& [id, replica] : harness.replicas) {
      sum += replica.received.size();
    }
    return sum;
  }
  GatewayHarness harness;
};

TEST_F(LiveCallTest, ServesModelAndServiceCalls) {
  harness.AddReplica("m1", "a", 4);
  harness.AddReplica("s1", "a", 4, proto::BACKEND_KIND_SERVICE);
  harness.StartWarm();
  const auto whole = harness.Call("once", R"({"prompt":"p"})");
  const auto stream = harness.Call("ask", R"({"prompt":"p","stream":true})");
  const auto served = harness.Call("unlock");
  harness.world.RunFor(seconds(1));
  proto::CallAnswer answer;
  ASSERT_TRUE(FromJson(whole->body, &answer, UnknownFields::kIgnore).ok());
  EXPECT_EQ(answer.text(), "hello world");
  EXPECT_EQ(answer.tokens(), 2U);
  EXPECT_EQ(stream->status, 200);
  EXPECT_EQ(stream->chunks, 2);
  EXPECT_TRUE(stream->complete);
  ASSERT_TRUE(FromJson(served->body, &answer, UnknownFields::kIgnore).ok());
  EXPECT_EQ(answer.text(), "served");
  EXPECT_EQ(harness.live->calls_in_flight(), 0U);
}

TEST_F(LiveCallTest, RefusesInvalidRequestsBeforeSending) {
  FakeReplica& replica = harness.AddReplica("m1", "a", 4);
  harness.StartWarm();
  EXPECT_EQ(harness.Call("nowhere")->status, 404);
  EXPECT_EQ(harness.Call("ask", "{nonsense")->status, 400);
  EXPECT_EQ(harness.Call("ask", "{}", {{"X-Deadline-Ms", "soon"}})->status, 400);
  EXPECT_EQ(harness.Call("ask", "{}", {{"Idempotency-Key", std::string(257, 'k')}})->status, 400);
  EXPECT_EQ(harness.Call("ask", std::string(harness.options.calls.maximum_request_bytes + 1, ' '))
                ->status,
            413);
  const auto no_backend = harness.Call("unlock");
  harness.world.RunFor(seconds(5));
  EXPECT_EQ(no_backend->status, 503);
  EXPECT_EQ(harness.ErrorIn(*no_backend).code(), "no_ready_replica");
  EXPECT_THAT(replica.received, ::testing::IsEmpty());
}

TEST_F(LiveCallTest, NeverRetriesANonIdempotentCall) {
  FakeReplica& first = harness.AddReplica("m1", "a", 4);
  first.mode = Mode::kScripted;
  harness.AddReplica("m2", "b", 4).mode = Mode::kScripted;
  harness.StartWarm();
  const auto silent = harness.Call("once", "{}", {{"X-Deadline-Ms", "2000"}});
  const auto reset = harness.Call("once");
  harness.world.RunFor(milliseconds(100));
  ASSERT_EQ(first.exchanges.size(), 2U);
  first.exchanges[1]->End(HttpOutcomeKind::kUnknown, "reset");
  harness.world.RunFor(seconds(20));
  EXPECT_EQ(Received(), 2U);
  for (const auto& client : {silent, reset}) {
    EXPECT_EQ(client->answers, 1);
    EXPECT_EQ(client->status, 504);
    EXPECT_EQ(harness.ErrorIn(*client).executed(), proto::EXECUTED_UNKNOWN);
  }
}

TEST_F(LiveCallTest, RetriesAnIdempotentCallAfterAReset) {
  FakeReplica& first = harness.AddReplica("m1", "a", 4);
  first.mode = Mode::kScripted;
  harness.AddReplica("m2", "b", 4);
  harness.StartWarm();
  const auto client = harness.Call("ask");
  harness.world.RunFor(milliseconds(10));
  ASSERT_EQ(first.received.size(), 1U);
  first.exchanges[0]->End(HttpOutcomeKind::kUnknown, "reset");
  harness.world.RunFor(seconds(1));
  EXPECT_EQ(client->status, 200);
  EXPECT_EQ(Received(), 2U);
}

TEST_F(LiveCallTest, RetriesARefusedNonIdempotentCall) {
  FakeReplica& first = harness.AddReplica("m1", "a", 4);
  first.mode = Mode::kRefuse;
  harness.AddReplica("m2", "b", 4);
  harness.StartWarm();
  const auto client = harness.Call("once");
  harness.world.RunFor(seconds(1));
  EXPECT_EQ(client->status, 200);
  EXPECT_EQ(first.received.size(), 1U);
}

TEST_F(LiveCallTest, RefusalOfAnotherCallDoesNotPermitASecondRun) {
  FakeReplica& first = harness.AddReplica("m1", "a", 4);
  first.mode = Mode::kScripted;
  harness.AddReplica("m2", "b", 4).mode = Mode::kScripted;
  harness.StartWarm();
  const std::vector<HttpHeaders> responses = {{{"X-Call-Id", "another"}}, {}};
  for (std::size_t index = 0; index < responses.size(); ++index) {
    const auto client = harness.Call("once");
    harness.world.RunFor(milliseconds(10));
    ASSERT_EQ(first.exchanges.size(), index + 1);
    first.exchanges[index]->reused = true;
    first.exchanges[index]->Answer({503, responses[index], ""});
    harness.world.RunFor(seconds(1));
    EXPECT_EQ(Received(), index + 1);
    EXPECT_EQ(client->status, 504);
  }
}

TEST_F(LiveCallTest, ErrorBodiesThatAreNotUtf8GetAnError) {
  FakeReplica& replica = harness.AddReplica("m1", "a", 4);
  replica.mode = Mode::kScripted;
  harness.StartWarm();
  const std::vector<std::string> bodies = {"\xff", "{\"error\":{\"message\":\"\xff\"}}"};
  for (std::size_t index = 0; index < bodies.size(); ++index) {
    const auto client = harness.Call("once");
    harness.world.RunFor(milliseconds(10));
    ASSERT_EQ(replica.exchanges.size(), index + 1);
    replica.exchanges[index]->Answer({500, {}, bodies[index]});
    harness.world.RunFor(seconds(1));
    EXPECT_EQ(client->answers, 1);
    EXPECT_GE(client->status, 500);
  }
}

TEST_F(LiveCallTest, AForeignResponseClosesItsConnection) {
  FakeReplica& model = harness.AddReplica("m1", "a", 4);
  FakeReplica& service = harness.AddReplica("s1", "a", 4, proto::BACKEND_KIND_SERVICE);
  model.mode = Mode::kScripted;
  service.mode = Mode::kScripted;
  harness.StartWarm();
  for (const auto& [route, replica] : {std::pair("once", &model), std::pair("unlock", &service)}) {
    const auto client = harness.Call(route);
    harness.world.RunFor(milliseconds(10));
    ASSERT_EQ(replica->exchanges.size(), 1U);
    replica->exchanges[0]->Head(503, {{"X-Call-Id", "another"}});
    harness.world.RunFor(milliseconds(10));
    EXPECT_TRUE(replica->exchanges[0]->cancelled) << route;
    EXPECT_EQ(client->status, 504) << route;
  }
}

TEST_F(LiveCallTest, SendsNothingAfterReportingNotRun) {
  FakeReplica& only = harness.AddReplica("m1", "a", 1);
  only.mode = Mode::kRefuse;
  harness.StartWarm();
  std::vector<std::shared_ptr<FakeResponder>> clients;
  clients.reserve(20);
  for (int call = 0; call < 20; ++call) {
    clients.push_back(harness.Call("once"));
  }
  const auto all_answered = [&] {
    return std::all_of(clients.begin(), clients.end(),
                       [](const auto& client) { return client->complete; });
  };
  ASSERT_TRUE(harness.world.RunUntil(all_answered, seconds(10)));
  const std::size_t sent_before = only.received.size();
  only.mode = Mode::kServe;
  harness.world.RunFor(seconds(20));
  EXPECT_EQ(only.received.size(), sent_before);
  for (const auto& client : clients) {
    EXPECT_EQ(client->answers, 1);
    EXPECT_EQ(client->status, 503);
    EXPECT_EQ(harness.ErrorIn(*client).executed(), proto::EXECUTED_NO);
    EXPECT_FALSE(FindHeader(client->headers, "Retry-After").empty());
  }
}

TEST_F(LiveCallTest, ExpiredLeaseStopsAConnectingCall) {
  FakeReplica& replica = harness.AddReplica("m1", "a", 4);
  harness.StartWarm();
  harness.client->connect_time = milliseconds(200);
  const auto connecting = harness.Call("once");
  harness.world.RunFor(milliseconds(100));
  harness.permission.valid = false;  // Expires while the connection is being made.
  harness.world.RunFor(seconds(1));
  EXPECT_EQ(connecting->status, 503);
  EXPECT_EQ(harness.ErrorIn(*connecting).executed(), proto::EXECUTED_NO);
  EXPECT_EQ(harness.Call("once")->status, 503);
  EXPECT_THAT(replica.received, ::testing::IsEmpty());
}

TEST_F(LiveCallTest, SendsNothingToADrainingReplica) {
  FakeReplica& leaving = harness.AddReplica("m1", "a", 8);
  harness.AddReplica("m2", "b", 8);
  harness.StartWarm();
  for (int step = 0; step < 100; ++step) {
    harness.Call("ask");
    harness.world.RunFor(milliseconds(10));
  }
  ASSERT_GT(leaving.received.size(), 0U);
  harness.SetState(leaving, proto::REPLICA_STATE_DRAINING);
  harness.list_readable = true;
  harness.world.RunFor(milliseconds(600));  // One poll interval and its response.
  const std::size_t before = leaving.received.size();
  const std::uint32_t probes_before = leaving.probes;
  for (int step = 0; step < 300; ++step) {
    harness.Call("ask");
    harness.list_readable =
        step < 100;  // While the list cannot be read, the last one stays in use.
    harness.world.RunFor(milliseconds(10));
  }
  EXPECT_EQ(leaving.received.size(), before);
  EXPECT_EQ(leaving.probes, probes_before);
}

TEST_F(LiveCallTest, SendsNothingToADrainedZone) {
  FakeReplica& home = harness.AddReplica("m1", "a", 8);
  FakeReplica& away = harness.AddReplica("m2", "b", 8);
  harness.StartWarm();
  harness.client->connect_time = milliseconds(20);
  const auto connecting = harness.Call("once");
  harness.world.RunFor(milliseconds(5));
  harness.permission.stored.mutable_zones(0)->set_state(proto::ZONE_STATE_DRAINED);
  harness.pool->OnConfiguration();
  const auto after = harness.Call("once");
  harness.world.RunFor(seconds(1));
  EXPECT_EQ(connecting->status, 200);
  EXPECT_EQ(after->status, 200);
  EXPECT_THAT(home.received, ::testing::IsEmpty());
  EXPECT_EQ(away.received.size(), 2U);
}

TEST_F(LiveCallTest, ManyGatewaysDoNotOverloadAReplicaInSlowStart) {
  for (const char* id : {"m1", "m2", "m3"}) {
    harness.AddReplica(id, "a", 8).work_time = milliseconds(400);
  }
  harness.options.sharing = SharingOptions();
  harness.Start();
  for (int gateway = 1; gateway < 12; ++gateway) {
    harness.AddPlane();
  }
  harness.WarmUp();
  FakeReplica& cold = harness.AddReplica("m4", "a", 8);
  cold.work_time = milliseconds(400);
  std::vector<std::uint32_t> maximum_by_second;
  for (int second = 0; second < 12; ++second) {
    cold.max_running = 0;
    for (int step = 0; step < 50; ++step) {  // 100 calls per second over all gateways.
      for (std::size_t turn = 0; turn < 2; ++turn) {
        const std::size_t gateway = harness.world.RandomBelow(harness.planes.size());
        harness.planes[gateway]->router.Post("/v1/call/ask", "{}");
      }
      harness.world.RunFor(milliseconds(20));
    }
    maximum_by_second.push_back(cold.max_running);
  }
  EXPECT_LE(maximum_by_second[0], 4U);  // Half of its capacity, early in slow start.
  EXPECT_LE(maximum_by_second[1], 4U);
  EXPECT_EQ(maximum_by_second[11], 8U);
}

TEST_F(LiveCallTest, RejectsResponsesToOtherCalls) {
  FakeReplica& model = harness.AddReplica("m1", "a", 4);
  FakeReplica& service = harness.AddReplica("s1", "a", 4, proto::BACKEND_KIND_SERVICE);
  model.mode = Mode::kScripted;
  service.mode = Mode::kScripted;
  harness.StartWarm();
  const auto stream = harness.Call("once", R"({"stream":true})");
  const auto whole = harness.Call("unlock");
  harness.world.RunFor(milliseconds(100));
  const std::string call_id = model.received.at(0);
  model.exchanges[0]->Head(200, {});
  model.exchanges[0]->Bytes(ChunkLine("r", call_id, 0, "mine"));
  model.exchanges[0]->Bytes(ChunkLine("r", "another", 1, "secret"));
  service.exchanges.at(0)->Answer({200, {}, R"({"call_id":"another","text":"secret"})"});
  harness.world.RunFor(seconds(1));
  EXPECT_THAT(stream->body, ::testing::HasSubstr("mine"));
  EXPECT_THAT(stream->body, ::testing::HasSubstr("stream_broken"));
  EXPECT_THAT(stream->body, ::testing::Not(::testing::HasSubstr("secret")));
  EXPECT_TRUE(stream->complete);
  EXPECT_TRUE(model.exchanges[0]->cancelled);
  EXPECT_EQ(whole->status, 504);
  EXPECT_THAT(whole->body, ::testing::Not(::testing::HasSubstr("secret")));
  EXPECT_EQ(Received(), 2U);
}

TEST_F(LiveCallTest, EndsABrokenStreamWithAnErrorChunk) {
  FakeReplica& model = harness.AddReplica("m1", "a", 4);
  model.mode = Mode::kScripted;
  harness.AddReplica("m2", "b", 4);
  harness.StartWarm();
  const auto stream = harness.Call("ask", R"({"stream":true})");
  harness.world.RunFor(milliseconds(100));
  model.exchanges.at(0)->Head(200, {});
  model.exchanges[0]->Bytes(ChunkLine("r", model.received[0], 0, "begun"));
  model.exchanges[0]->End(HttpOutcomeKind::kUnknown, "reset");
  harness.world.RunFor(seconds(5));
  EXPECT_THAT(stream->body, ::testing::HasSubstr("replica_silent"));
  EXPECT_TRUE(stream->complete);
  EXPECT_EQ(Received(), 1U);
}

TEST_F(LiveCallTest, AppliesBackPressureToTheReplica) {
  FakeReplica& model = harness.AddReplica("m1", "a", 4);
  model.mode = Mode::kScripted;
  harness.StartWarm();
  auto slow = std::make_shared<FakeResponder>();
  slow->hold_writes = true;
  harness.first_plane->router.Post("/v1/call/ask", R"({"stream":true})", {}, slow);
  harness.world.RunFor(milliseconds(100));
  const std::string call_id = model.received.at(0);
  model.exchanges[0]->Head(200, {});
  model.exchanges[0]->Bytes(ChunkLine("r", call_id, 0, "x"));
  model.exchanges[0]->Bytes(ChunkLine("r", call_id, 1, "y", true));
  harness.world.RunFor(milliseconds(100));
  EXPECT_EQ(slow->chunks, 1);
  EXPECT_GT(model.exchanges[0]->unread(), 0U);
  slow->held.at(0)(true);
  harness.world.RunFor(milliseconds(100));
  EXPECT_EQ(slow->chunks, 2);
  EXPECT_TRUE(slow->complete);
  EXPECT_EQ(harness.pool->loads().at("m1").own(), 1U);  // Counted until the body has ended.
  model.exchanges[0]->End(HttpOutcomeKind::kAnswered);
  harness.world.RunFor(milliseconds(100));
  EXPECT_EQ(harness.pool->loads().at("m1").own(), 0U);
}

TEST_F(LiveCallTest, DisconnectCancelsRunningAndWaitingCalls) {
  FakeReplica& model = harness.AddReplica("m1", "a", 1);
  model.mode = Mode::kScripted;
  harness.StartWarm();
  const auto running = harness.Call("once");
  const auto waiting = harness.Call("once");
  harness.world.RunFor(milliseconds(100));
  EXPECT_EQ(harness.queue->Waiting("model"), 1U);
  waiting->disconnect();
  running->disconnect();
  harness.world.RunFor(seconds(5));
  EXPECT_TRUE(model.exchanges.at(0)->cancelled);
  EXPECT_EQ(Received(), 1U);
  EXPECT_EQ(running->answers + waiting->answers, 0);
  EXPECT_EQ(harness.live->calls_in_flight(), 0U);
  EXPECT_EQ(harness.pool->loads().at("m1").own(), 0U);
}

TEST_F(LiveCallTest, SendsNothingWithAStaleListAfterAFreeze) {
  FakeReplica& replica = harness.AddReplica("m1", "a", 4);
  harness.StartWarm();
  harness.list_delay = milliseconds(100);
  harness.world.machine("gateway").Freeze();
  harness.world.ScheduleAfter(seconds(20), [&] {
    harness.SetState(replica, proto::REPLICA_STATE_DRAINING);
    harness.world.machine("gateway").Wake();
  });
  harness.world.RunFor(seconds(20));
  const auto client = harness.Call("once");
  harness.world.RunFor(seconds(5));
  EXPECT_EQ(client->status, 503);
  EXPECT_THAT(replica.received, ::testing::IsEmpty());
}

TEST_F(LiveCallTest, RunsEachIdempotencyKeyOnce) {
  FakeReplica& service = harness.AddReplica("s1", "a", 4, proto::BACKEND_KIND_SERVICE);
  harness.StartWarm();
  const HttpHeaders key = {{"Idempotency-Key", "k"}, {"X-Tenant", "t"}};
  const auto first = harness.Call("unlock", R"({"prompt":"p"})", key);
  const auto joined = harness.Call("unlock", R"({"prompt":"p"})", key);
  harness.world.RunFor(seconds(1));
  const auto later = harness.Call("unlock", R"({"prompt":"p"})", key);
  EXPECT_EQ(harness.Call("unlock", R"({"prompt":"q"})", key)->status, 422);
  harness.world.RunFor(seconds(1));
  EXPECT_EQ(first->status, 200);
  EXPECT_EQ(joined->body, first->body);
  EXPECT_EQ(later->body, first->body);
  EXPECT_EQ(Received(), 1U);
  service.mode = Mode::kScripted;  // A missing response is cached under its key too.
  const HttpHeaders other = {{"Idempotency-Key", "k2"}, {"X-Deadline-Ms", "500"}};
  const auto silent = harness.Call("unlock", "{}", other);
  harness.world.RunFor(seconds(1));
  service.mode = Mode::kServe;
  EXPECT_EQ(silent->status, 504);
  EXPECT_EQ(harness.Call("unlock", "{}", other)->status, 504);
  EXPECT_EQ(Received(), 2U);
}

TEST_F(LiveCallTest, LimitsTenantsAndRoutes) {
  harness.permission.stored.mutable_routes(0)->set_max_in_flight(2);
  proto::Tenant* tenant = harness.permission.stored.add_tenants();
  tenant->set_name("t");
  tenant->set_calls_per_second(3);
  harness.AddReplica("m1", "a", 8);
  harness.StartWarm();
  int limited = 0;
  for (int call = 0; call < 5; ++call) {
    const auto client = harness.Call("once", "{}", {{"X-Tenant", "t"}});
    limited += client->status == 429 ? 1 : 0;
  }
  EXPECT_EQ(limited, 2);
  harness.Call("ask");
  harness.Call("ask");
  const auto third = harness.Call("ask");
  EXPECT_EQ(harness.ErrorIn(*third).code(), "route_limit_reached");
  harness.world.RunFor(seconds(1));
  harness.Call("ask");
  EXPECT_EQ(harness.live->calls_in_flight(), 1U);
}

TEST_F(LiveCallTest, BoundsTheQueueUnderOverload) {
  FakeReplica& model = harness.AddReplica("m1", "a", 4);
  harness.StartWarm();
  std::vector<std::shared_ptr<FakeResponder>> clients;
  for (int step = 0; step < 400; ++step) {  // 4,000 calls per second; the replica serves 80.
    for (int call = 0; call < 40; ++call) {
      clients.push_back(harness.Call("once"));
    }
    harness.world.RunFor(milliseconds(10));
    ASSERT_LE(harness.queue->Waiting("model"), harness.options.admission.queue_length);
  }
  harness.world.RunFor(seconds(4));
  std::size_t served = 0;
  for (const auto& client : clients) {
    ASSERT_EQ(client->answers, 1);
    served += client->status == 200 ? 1U : 0U;
  }
  EXPECT_EQ(served, model.received.size());
  EXPECT_GE(served, 300U);  // Of the 320 that the replica can serve in 4 seconds.
  EXPECT_EQ(harness.live->calls_in_flight(), 0U);
}

}  // namespace
}  // namespace cloverbank
