#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "gateway_harness.h"

namespace cloverbank {
namespace {

using Mode = FakeReplica::Mode;

class LiveCallTest : public ::testing::Test {
 protected:
  LiveCallTest() {
    h.AddRoute("ask", proto::BACKEND_KIND_MODEL, true);
    h.AddRoute("once", proto::BACKEND_KIND_MODEL, false);
    h.AddRoute("serve", proto::BACKEND_KIND_SERVICE, true);
    h.AddRoute("unlock", proto::BACKEND_KIND_SERVICE, false);
  }
  std::size_t Received() const {
    std::size_t sum = 0;
    for (const auto& [id, replica] : h.replicas) {
      sum += replica.received.size();
    }
    return sum;
  }
  GatewayHarness h;
};

TEST_F(LiveCallTest, ServesModelAndServiceCalls) {
  h.AddReplica("m1", "a", 4);
  h.AddReplica("s1", "a", 4, proto::BACKEND_KIND_SERVICE);
  h.StartWarm();
  const auto whole = h.Call("once", R"({"prompt":"p"})");
  const auto stream = h.Call("ask", R"({"prompt":"p","stream":true})");
  const auto served = h.Call("unlock");
  h.world.RunFor(seconds(1));
  proto::CallAnswer answer;
  ASSERT_TRUE(FromJson(whole->body, &answer, UnknownFields::kIgnore).ok());
  EXPECT_EQ(answer.text(), "hello world");
  EXPECT_EQ(answer.tokens(), 2U);
  EXPECT_EQ(stream->status, 200);
  EXPECT_EQ(stream->chunks, 2);
  EXPECT_TRUE(stream->complete);
  ASSERT_TRUE(FromJson(served->body, &answer, UnknownFields::kIgnore).ok());
  EXPECT_EQ(answer.text(), "served");
  EXPECT_EQ(h.live->calls_in_flight(), 0U);
}

TEST_F(LiveCallTest, RefusesInvalidRequestsBeforeSending) {
  FakeReplica& replica = h.AddReplica("m1", "a", 4);
  h.StartWarm();
  EXPECT_EQ(h.Call("nowhere")->status, 404);
  EXPECT_EQ(h.Call("ask", "{nonsense")->status, 400);
  EXPECT_EQ(h.Call("ask", "{}", {{"X-Deadline-Ms", "soon"}})->status, 400);
  EXPECT_EQ(h.Call("ask", "{}", {{"Idempotency-Key", std::string(257, 'k')}})->status, 400);
  EXPECT_EQ(h.Call("ask", std::string(h.options.calls.maximum_request_bytes + 1, ' '))->status,
            413);
  const auto no_backend = h.Call("unlock");
  h.world.RunFor(seconds(5));
  EXPECT_EQ(no_backend->status, 503);
  EXPECT_EQ(h.ErrorIn(*no_backend).code(), "no_ready_replica");
  EXPECT_THAT(replica.received, ::testing::IsEmpty());
}

TEST_F(LiveCallTest, NeverRetriesANonIdempotentCall) {
  FakeReplica& first = h.AddReplica("m1", "a", 4);
  first.mode = Mode::kScripted;
  h.AddReplica("m2", "b", 4).mode = Mode::kScripted;
  h.StartWarm();
  const auto silent = h.Call("once", "{}", {{"X-Deadline-Ms", "2000"}});
  const auto reset = h.Call("once");
  h.world.RunFor(milliseconds(100));
  ASSERT_EQ(first.exchanges.size(), 2U);
  first.exchanges[1]->End(HttpOutcomeKind::kUnknown, "reset");
  h.world.RunFor(seconds(20));
  EXPECT_EQ(Received(), 2U);
  for (const auto& client : {silent, reset}) {
    EXPECT_EQ(client->answers, 1);
    EXPECT_EQ(client->status, 504);
    EXPECT_EQ(h.ErrorIn(*client).executed(), proto::EXECUTED_UNKNOWN);
  }
}

TEST_F(LiveCallTest, RetriesAnIdempotentCallAfterAReset) {
  FakeReplica& first = h.AddReplica("m1", "a", 4);
  first.mode = Mode::kScripted;
  h.AddReplica("m2", "b", 4);
  h.StartWarm();
  const auto client = h.Call("ask");
  h.world.RunFor(milliseconds(10));
  ASSERT_EQ(first.received.size(), 1U);
  first.exchanges[0]->End(HttpOutcomeKind::kUnknown, "reset");
  h.world.RunFor(seconds(1));
  EXPECT_EQ(client->status, 200);
  EXPECT_EQ(Received(), 2U);
}

TEST_F(LiveCallTest, RetriesARefusedNonIdempotentCall) {
  FakeReplica& first = h.AddReplica("m1", "a", 4);
  first.mode = Mode::kRefuse;
  h.AddReplica("m2", "b", 4);
  h.StartWarm();
  const auto client = h.Call("once");
  h.world.RunFor(seconds(1));
  EXPECT_EQ(client->status, 200);
  EXPECT_EQ(first.received.size(), 1U);
}

TEST_F(LiveCallTest, SendsNothingAfterReportingNotRun) {
  FakeReplica& only = h.AddReplica("m1", "a", 1);
  only.mode = Mode::kRefuse;
  h.StartWarm();
  std::vector<std::shared_ptr<FakeResponder>> clients;
  clients.reserve(20);
  for (int call = 0; call < 20; ++call) {
    clients.push_back(h.Call("once"));
  }
  const auto all_answered = [&] {
    return std::all_of(clients.begin(), clients.end(),
                       [](const auto& client) { return client->complete; });
  };
  ASSERT_TRUE(h.world.RunUntil(all_answered, seconds(10)));
  const std::size_t sent_before = only.received.size();
  only.mode = Mode::kServe;
  h.world.RunFor(seconds(20));
  EXPECT_EQ(only.received.size(), sent_before);
  for (const auto& client : clients) {
    EXPECT_EQ(client->answers, 1);
    EXPECT_EQ(client->status, 503);
    EXPECT_EQ(h.ErrorIn(*client).executed(), proto::EXECUTED_NO);
    EXPECT_FALSE(FindHeader(client->headers, "Retry-After").empty());
  }
}

TEST_F(LiveCallTest, ExpiredLeaseStopsAConnectingCall) {
  FakeReplica& replica = h.AddReplica("m1", "a", 4);
  h.StartWarm();
  h.client->connect_time = milliseconds(200);
  const auto connecting = h.Call("once");
  h.world.RunFor(milliseconds(100));
  h.permission.valid = false;  // Runs out while the connection is being made.
  h.world.RunFor(seconds(1));
  EXPECT_EQ(connecting->status, 503);
  EXPECT_EQ(h.ErrorIn(*connecting).executed(), proto::EXECUTED_NO);
  EXPECT_EQ(h.Call("once")->status, 503);
  EXPECT_THAT(replica.received, ::testing::IsEmpty());
}

TEST_F(LiveCallTest, SendsNothingToADrainingReplica) {
  FakeReplica& leaving = h.AddReplica("m1", "a", 8);
  h.AddReplica("m2", "b", 8);
  h.StartWarm();
  for (int step = 0; step < 100; ++step) {
    h.Call("ask");
    h.world.RunFor(milliseconds(10));
  }
  ASSERT_GT(leaving.received.size(), 0U);
  h.SetState(leaving, proto::REPLICA_STATE_DRAINING);
  h.list_readable = true;
  h.world.RunFor(milliseconds(600));  // One poll interval and its response.
  const std::size_t before = leaving.received.size();
  const std::uint32_t probes_before = leaving.probes;
  for (int step = 0; step < 300; ++step) {
    h.Call("ask");
    h.list_readable = step < 100;  // A list that can not be read changes nothing.
    h.world.RunFor(milliseconds(10));
  }
  EXPECT_EQ(leaving.received.size(), before);
  EXPECT_EQ(leaving.probes, probes_before);
}

TEST_F(LiveCallTest, SendsNothingToADrainedZone) {
  FakeReplica& home = h.AddReplica("m1", "a", 8);
  FakeReplica& away = h.AddReplica("m2", "b", 8);
  h.StartWarm();
  h.client->connect_time = milliseconds(20);
  const auto connecting = h.Call("once");
  h.world.RunFor(milliseconds(5));
  h.permission.stored.mutable_zones(0)->set_state(proto::ZONE_STATE_DRAINED);
  h.pool->OnConfiguration();
  const auto after = h.Call("once");
  h.world.RunFor(seconds(1));
  EXPECT_EQ(connecting->status, 200);
  EXPECT_EQ(after->status, 200);
  EXPECT_THAT(home.received, ::testing::IsEmpty());
  EXPECT_EQ(away.received.size(), 2U);
}

TEST_F(LiveCallTest, ManyGatewaysDoNotFloodAWarmingReplica) {
  for (const char* id : {"m1", "m2", "m3"}) {
    h.AddReplica(id, "a", 8).work_time = milliseconds(400);
  }
  h.options.sharing = SharingOptions();
  h.Start();
  for (int gateway = 1; gateway < 12; ++gateway) {
    h.AddPlane();
  }
  h.WarmUp();
  FakeReplica& cold = h.AddReplica("m4", "a", 8);
  cold.work_time = milliseconds(400);
  std::vector<std::uint32_t> most_by_second;
  for (int second = 0; second < 12; ++second) {
    cold.most_running = 0;
    for (int step = 0; step < 50; ++step) {  // 120 calls a second over all gateways: a crowd.
      for (std::size_t turn = 0; turn < 2; ++turn) {
        const std::size_t gateway = h.world.RandomBelow(h.planes.size());
        h.planes[gateway]->router.Post("/v1/call/ask", "{}");
      }
      h.world.RunFor(milliseconds(20));
    }
    most_by_second.push_back(cold.most_running);
  }
  EXPECT_LE(most_by_second[0], 4U);  // Half of its capacity, while it is coldest.
  EXPECT_LE(most_by_second[1], 4U);
  EXPECT_EQ(most_by_second[11], 8U);
}

TEST_F(LiveCallTest, RejectsCrossedResponses) {
  FakeReplica& model = h.AddReplica("m1", "a", 4);
  FakeReplica& service = h.AddReplica("s1", "a", 4, proto::BACKEND_KIND_SERVICE);
  model.mode = Mode::kScripted;
  service.mode = Mode::kScripted;
  h.StartWarm();
  const auto stream = h.Call("once", R"({"stream":true})");
  const auto whole = h.Call("unlock");
  h.world.RunFor(milliseconds(100));
  const std::string call_id = model.received.at(0);
  model.exchanges[0]->Head(200, {});
  model.exchanges[0]->Bytes(ChunkLine("r", call_id, 0, "mine"));
  model.exchanges[0]->Bytes(ChunkLine("r", "another", 1, "secret"));
  service.exchanges.at(0)->Answer({200, {}, R"({"call_id":"another","text":"secret"})"});
  h.world.RunFor(seconds(1));
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
  FakeReplica& model = h.AddReplica("m1", "a", 4);
  model.mode = Mode::kScripted;
  h.AddReplica("m2", "b", 4);
  h.StartWarm();
  const auto stream = h.Call("ask", R"({"stream":true})");
  h.world.RunFor(milliseconds(100));
  model.exchanges.at(0)->Head(200, {});
  model.exchanges[0]->Bytes(ChunkLine("r", model.received[0], 0, "begun"));
  model.exchanges[0]->End(HttpOutcomeKind::kUnknown, "reset");
  h.world.RunFor(seconds(5));
  EXPECT_THAT(stream->body, ::testing::HasSubstr("replica_silent"));
  EXPECT_TRUE(stream->complete);
  EXPECT_EQ(Received(), 1U);
}

TEST_F(LiveCallTest, AppliesBackPressureToTheReplica) {
  FakeReplica& model = h.AddReplica("m1", "a", 4);
  model.mode = Mode::kScripted;
  h.StartWarm();
  auto slow = std::make_shared<FakeResponder>();
  slow->hold_writes = true;
  h.first->router.Post("/v1/call/ask", R"({"stream":true})", {}, slow);
  h.world.RunFor(milliseconds(100));
  const std::string call_id = model.received.at(0);
  model.exchanges[0]->Head(200, {});
  model.exchanges[0]->Bytes(ChunkLine("r", call_id, 0, "x"));
  model.exchanges[0]->Bytes(ChunkLine("r", call_id, 1, "y", true));
  h.world.RunFor(milliseconds(100));
  EXPECT_EQ(slow->chunks, 1);
  EXPECT_GT(model.exchanges[0]->unread(), 0U);
  slow->held.at(0)(true);
  h.world.RunFor(milliseconds(100));
  EXPECT_EQ(slow->chunks, 2);
  EXPECT_TRUE(slow->complete);
  EXPECT_EQ(h.pool->loads().at("m1").own(), 1U);  // Until the body has ended.
  model.exchanges[0]->End(HttpOutcomeKind::kAnswered);
  h.world.RunFor(milliseconds(100));
  EXPECT_EQ(h.pool->loads().at("m1").own(), 0U);
}

TEST_F(LiveCallTest, DisconnectCancelsRunningAndWaitingCalls) {
  FakeReplica& model = h.AddReplica("m1", "a", 1);
  model.mode = Mode::kScripted;
  h.StartWarm();
  const auto running = h.Call("once");
  const auto waiting = h.Call("once");
  h.world.RunFor(milliseconds(100));
  EXPECT_EQ(h.queue->Waiting("model"), 1U);
  waiting->disconnect();
  running->disconnect();
  h.world.RunFor(seconds(5));
  EXPECT_TRUE(model.exchanges.at(0)->cancelled);
  EXPECT_EQ(Received(), 1U);
  EXPECT_EQ(running->answers + waiting->answers, 0);
  EXPECT_EQ(h.live->calls_in_flight(), 0U);
  EXPECT_EQ(h.pool->loads().at("m1").own(), 0U);
}

TEST_F(LiveCallTest, SendsNothingWithAStaleListAfterAFreeze) {
  FakeReplica& replica = h.AddReplica("m1", "a", 4);
  h.StartWarm();
  h.list_delay = milliseconds(100);
  h.world.machine("gateway").Freeze();
  h.world.ScheduleAfter(seconds(20), [&] {
    h.SetState(replica, proto::REPLICA_STATE_DRAINING);
    h.world.machine("gateway").Wake();
  });
  h.world.RunFor(seconds(20));
  const auto client = h.Call("once");
  h.world.RunFor(seconds(5));
  EXPECT_EQ(client->status, 503);
  EXPECT_THAT(replica.received, ::testing::IsEmpty());
}

TEST_F(LiveCallTest, RunsEachIdempotencyKeyOnce) {
  FakeReplica& service = h.AddReplica("s1", "a", 4, proto::BACKEND_KIND_SERVICE);
  h.StartWarm();
  const HttpHeaders key = {{"Idempotency-Key", "k"}, {"X-Tenant", "t"}};
  const auto first = h.Call("unlock", R"({"prompt":"p"})", key);
  const auto joined = h.Call("unlock", R"({"prompt":"p"})", key);
  h.world.RunFor(seconds(1));
  const auto later = h.Call("unlock", R"({"prompt":"p"})", key);
  EXPECT_EQ(h.Call("unlock", R"({"prompt":"q"})", key)->status, 422);
  h.world.RunFor(seconds(1));
  EXPECT_EQ(first->status, 200);
  EXPECT_EQ(joined->body, first->body);
  EXPECT_EQ(later->body, first->body);
  EXPECT_EQ(Received(), 1U);
  service.mode = Mode::kScripted;  // Silence under a key is remembered too.
  const HttpHeaders other = {{"Idempotency-Key", "k2"}, {"X-Deadline-Ms", "500"}};
  const auto silent = h.Call("unlock", "{}", other);
  h.world.RunFor(seconds(1));
  service.mode = Mode::kServe;
  EXPECT_EQ(silent->status, 504);
  EXPECT_EQ(h.Call("unlock", "{}", other)->status, 504);
  EXPECT_EQ(Received(), 2U);
}

TEST_F(LiveCallTest, LimitsTenantsAndRoutes) {
  h.permission.stored.mutable_routes(0)->set_max_in_flight(2);
  proto::Tenant* tenant = h.permission.stored.add_tenants();
  tenant->set_name("t");
  tenant->set_calls_per_second(3);
  h.AddReplica("m1", "a", 8);
  h.StartWarm();
  int limited = 0;
  for (int call = 0; call < 5; ++call) {
    const auto client = h.Call("once", "{}", {{"X-Tenant", "t"}});
    limited += client->status == 429 ? 1 : 0;
  }
  EXPECT_EQ(limited, 2);
  h.Call("ask");
  h.Call("ask");
  const auto third = h.Call("ask");
  EXPECT_EQ(h.ErrorIn(*third).code(), "route_limit_reached");
  h.world.RunFor(seconds(1));
  h.Call("ask");
  EXPECT_EQ(h.live->calls_in_flight(), 1U);
}

TEST_F(LiveCallTest, BoundsTheQueueUnderOverload) {
  FakeReplica& model = h.AddReplica("m1", "a", 4);
  h.StartWarm();
  std::vector<std::shared_ptr<FakeResponder>> clients;
  for (int step = 0; step < 400; ++step) {  // 4,000 a second where 80 are served.
    for (int call = 0; call < 40; ++call) {
      clients.push_back(h.Call("once"));
    }
    h.world.RunFor(milliseconds(10));
    ASSERT_LE(h.queue->Waiting("model"), h.options.admission.queue_length);
  }
  h.world.RunFor(seconds(4));
  std::size_t served = 0;
  for (const auto& client : clients) {
    ASSERT_EQ(client->answers, 1);
    served += client->status == 200 ? 1U : 0U;
  }
  EXPECT_EQ(served, model.received.size());
  EXPECT_GE(served, 300U);  // Of 320 that the replica could serve in 4 seconds.
  EXPECT_EQ(h.live->calls_in_flight(), 0U);
}

}  // namespace
}  // namespace cloverbank
