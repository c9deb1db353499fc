// Requests that are forwarded unchanged: what replicas receive, what clients receive, and what is
// retried.
#include <gtest/gtest.h>

#include "forward_harness.h"
#include "gateway/live_forward.h"

namespace cloverbank {
namespace {

class ForwardingTest : public ::testing::Test {
 protected:
  ForwardingTest() {
    h.AddHttpRoute("once", "/once/", /*idempotent=*/false, /*streamed=*/true);
    h.AddHttpRoute("safe", "/safe/", /*idempotent=*/true, /*streamed=*/false);
    h.AddHttpRoute("tale", "/tale/", /*idempotent=*/true, /*streamed=*/true);
    h.AddHttpReplica("r1", "a");
    h.AddHttpReplica("r2", "a");
    h.StartForwarding();
  }
  static std::string_view Header(const ExchangePtr& exchange, std::string_view name) {
    return FindHeader(exchange->request.headers, name);
  }

  ForwardHarness h;
};

TEST_F(ForwardingTest, ForwardsRequestAndResponseUnchanged) {
  const auto client = h.Forward("/safe/x", "c1");
  ASSERT_EQ(h.arrived.size(), 1U);
  const HttpRequest& sent = h.arrived[0]->request;
  EXPECT_EQ(sent.method, "POST");
  EXPECT_EQ(sent.target, "/safe/x?q=1%20");
  EXPECT_EQ(sent.body, "body");
  EXPECT_EQ(Header(h.arrived[0], "X-Anything"), "kept");
  EXPECT_EQ(Header(h.arrived[0], "X-Expected-Instance"), h.arrived_at[0] + "/1");
  EXPECT_LE(std::stoi(std::string(Header(h.arrived[0], "X-Deadline-Ms"))), 4000);
  h.Answer(0, {200, ForwardHarness::Echo("c1"), "blob"});
  EXPECT_EQ(client->status, 200);
  EXPECT_EQ(client->body, "blob");
  EXPECT_EQ(FindHeader(client->headers, "Stamp"), "s");
}

TEST_F(ForwardingTest, Returns404ForAnUnknownHostOrPath) {
  EXPECT_EQ(h.Forward("/nowhere/x", "c1")->status, 404);
  EXPECT_TRUE(h.arrived.empty());
}

TEST_F(ForwardingTest, RejectsAResponseToAnotherCall) {
  const auto client = h.Forward("/once/x", "c1");
  h.Answer(0, {200, ForwardHarness::Echo("another"), ForwardHarness::Event(0)});
  EXPECT_EQ(client->status, 504);
  EXPECT_EQ(client->body.find("d0"), std::string::npos);
  EXPECT_EQ(h.arrived.size(), 1U);
}

TEST_F(ForwardingTest, RetriesNonIdempotentCallsOnlyIfMarkedNotRun) {
  const auto marked = h.Forward("/once/x", "c1");
  h.Answer(0, {503, {{"X-Not-Run", "1"}}, ""});
  h.world.RunFor(milliseconds(20));
  ASSERT_EQ(h.arrived.size(), 2U);
  EXPECT_NE(h.arrived_at[0], h.arrived_at[1]);
  h.Answer(1, {200, ForwardHarness::Echo("c1"), ForwardHarness::Event(0)});
  EXPECT_EQ(marked->status, 200);

  const auto unmarked = h.Forward("/once/x", "c2");
  h.Answer(2, {503, ForwardHarness::Echo("c2"), "busy"});
  h.world.RunFor(milliseconds(20));
  EXPECT_EQ(h.arrived.size(), 3U);
  // Without the mark it may have run, so the status must not imply that it did not.
  EXPECT_NE(unmarked->status, 503);
  EXPECT_NE(unmarked->status, 429);
}

TEST_F(ForwardingTest, DoesNotRetryAfterBytesWereSent) {
  const auto client = h.Forward("/once/x", "c1");
  h.arrived[0]->End(HttpOutcomeKind::kUnknown, "reset");
  h.world.RunFor(milliseconds(200));
  EXPECT_EQ(h.arrived.size(), 1U);
  EXPECT_EQ(client->status, 504);
}

TEST_F(ForwardingTest, ForwardsAReplicaFailureUnchanged) {
  const auto client = h.Forward("/once/x", "c1");
  h.Answer(0, {500, ForwardHarness::Echo("c1"), "broken"});
  EXPECT_EQ(client->status, 500);
  EXPECT_EQ(client->body, "broken");
  EXPECT_EQ(FindHeader(client->headers, "Stamp"), "s");
}

TEST_F(ForwardingTest, ResumesABrokenStreamAtAnotherReplica) {
  const auto client = h.Forward("/tale/x", "c1");
  h.arrived[0]->Head(200, ForwardHarness::Echo("c1"));
  h.Bytes(0, ForwardHarness::Event(0) + ForwardHarness::Event(1) + "id: 2\nda");
  EXPECT_EQ(client->body, ForwardHarness::Event(0) + ForwardHarness::Event(1));
  h.arrived[0]->End(HttpOutcomeKind::kUnknown, "reset");
  h.world.RunFor(seconds(1));
  ASSERT_EQ(h.arrived.size(), 2U);
  EXPECT_NE(h.arrived_at[0], h.arrived_at[1]);
  EXPECT_EQ(Header(h.arrived[1], "X-Resume-After"), "1");
  h.Answer(1, {200, ForwardHarness::Echo("c1"), ForwardHarness::Event(2)});
  EXPECT_EQ(client->answers, 1);
  EXPECT_TRUE(client->complete);
  EXPECT_EQ(client->body,
            ForwardHarness::Event(0) + ForwardHarness::Event(1) + ForwardHarness::Event(2));
}

TEST_F(ForwardingTest, AbortsOnAGapAfterAResume) {
  const auto client = h.Forward("/tale/x", "c1");
  h.arrived[0]->Head(200, ForwardHarness::Echo("c1"));
  h.Bytes(0, ForwardHarness::Event(0));
  h.arrived[0]->End(HttpOutcomeKind::kUnknown, "reset");
  h.world.RunFor(seconds(1));
  ASSERT_EQ(h.arrived.size(), 2U);
  h.Answer(1, {200, ForwardHarness::Echo("c1"), ForwardHarness::Event(2)});
  h.world.RunFor(seconds(1));
  EXPECT_TRUE(client->aborted);
  EXPECT_FALSE(client->complete);
}

TEST_F(ForwardingTest, AbortsABrokenNonIdempotentStream) {
  const auto client = h.Forward("/once/x", "c1");
  h.arrived[0]->Head(200, ForwardHarness::Echo("c1"));
  h.Bytes(0, ForwardHarness::Event(0));
  h.arrived[0]->End(HttpOutcomeKind::kUnknown, "reset");
  h.world.RunFor(seconds(1));
  EXPECT_EQ(h.arrived.size(), 1U);
  EXPECT_TRUE(client->aborted);
}

TEST_F(ForwardingTest, CancelsWhenTheClientDisconnects) {
  const auto client = h.Forward("/tale/x", "c1");
  client->disconnect();
  EXPECT_TRUE(h.arrived[0]->cancelled);
  EXPECT_EQ(h.service->calls_in_flight(), 0U);
}

TEST_F(ForwardingTest, RetriesOnlyIdempotentCallsWithoutAResponse) {
  const auto safe = h.Forward("/safe/x", "c1");
  const auto once = h.Forward("/once/x", "c2");
  h.world.RunFor(seconds(2));
  ASSERT_EQ(h.arrived.size(), 3U);
  EXPECT_EQ(h.arrived[2]->request.target, "/safe/x?q=1%20");
  h.Answer(2, {200, ForwardHarness::Echo("c1"), "blob"});
  EXPECT_EQ(safe->status, 200);
  EXPECT_EQ(once->answers, 0);
  h.world.RunFor(seconds(4));
  EXPECT_EQ(once->status, 504);  // Its only response, at its deadline.
}

TEST_F(ForwardingTest, SendsNothingToAFormerBackEnd) {
  h.permission.stored.mutable_routes(1)->set_backend("elsewhere");
  const auto client = h.Forward("/safe/x", "c1");
  h.world.RunFor(seconds(1));
  EXPECT_TRUE(h.arrived.empty());
  EXPECT_EQ(client->status, 503);
}

TEST_F(ForwardingTest, QueuesCallsUntilTheFirstConfiguration) {
  h.permission.stored.set_label(0);
  const auto client = h.Forward("/safe/x", "c1");
  h.world.RunFor(milliseconds(500));
  EXPECT_EQ(client->answers, 0);
  h.permission.stored.set_label(8);
  h.service->OnConfiguration();
  h.world.RunFor(milliseconds(20));
  ASSERT_EQ(h.arrived.size(), 1U);
  h.Answer(0, {200, ForwardHarness::Echo("c1"), "blob"});
  EXPECT_EQ(client->status, 200);
}

TEST_F(ForwardingTest, Returns503AfterWaitingForConfiguration) {
  h.permission.stored.set_label(0);
  const auto client = h.Forward("/safe/x", "c1");
  h.world.RunFor(seconds(3));
  EXPECT_EQ(client->status, 503);
  EXPECT_FALSE(FindHeader(client->headers, "Retry-After").empty());
  EXPECT_TRUE(h.arrived.empty());
}

TEST_F(ForwardingTest, RefusesABatchThatWaitedAsACall) {
  h.permission.stored.mutable_routes(1)->set_accepts_batches(true);
  h.permission.stored.set_label(0);
  const auto client = h.Forward("/safe/batch", "batch-1");
  h.permission.stored.set_label(8);
  h.service->OnConfiguration();
  h.world.RunFor(milliseconds(100));
  EXPECT_TRUE(h.arrived.empty());
  EXPECT_EQ(client->status, 503);
}

TEST_F(ForwardingTest, SubmitsAWaitingBatchOnceItsRouteIsKnown) {
  h.permission.stored.mutable_routes(1)->set_accepts_batches(true);
  h.permission.stored.set_label(0);
  std::vector<std::string> submitted;
  const auto client = h.Forward("/safe/batch", "batch-1", [&](const proto::Route& route) {
    submitted.push_back(route.name());
  });
  EXPECT_TRUE(submitted.empty());
  h.permission.stored.set_label(8);
  h.service->OnConfiguration();
  h.world.RunFor(milliseconds(100));
  EXPECT_EQ(submitted, std::vector<std::string>{"safe"});
  EXPECT_TRUE(h.arrived.empty());
  EXPECT_EQ(client->answers, 0) << "the taker answers";
}

TEST_F(ForwardingTest, DropsAWaitingCallOnDisconnect) {
  h.permission.stored.set_label(0);
  const auto client = h.Forward("/safe/x", "c1");
  client->disconnect();
  h.permission.stored.set_label(8);
  h.service->OnConfiguration();
  h.world.RunFor(milliseconds(100));
  EXPECT_TRUE(h.arrived.empty());
}

/// The permission to start must be checked immediately before the first byte, however long the
/// connection took.
TEST_F(ForwardingTest, DoesNotSendAnItemWhoseLeaseEnds) {
  h.client->connect_time = milliseconds(150);
  bool can_start = true;
  proto::CallRequest request;
  request.set_call_id("item");
  request.mutable_forwarded()->set_method("POST");
  request.mutable_forwarded()->set_target("/tale/item");
  BackendOutcome outcome;
  bool done = false;
  const auto call = h.batch->RunBatchItem(
      h.permission.stored.routes(2), request, seconds(5), [&] { return can_start; },
      [&](BackendOutcome result) {
        outcome = std::move(result);
        done = true;
      });
  h.world.RunFor(milliseconds(100));
  can_start = false;
  h.world.RunFor(seconds(1));
  ASSERT_TRUE(done);
  EXPECT_EQ(outcome.executed, proto::EXECUTED_NO);
  EXPECT_TRUE(h.arrived.empty());
}

TEST_F(ForwardingTest, CountsItemFailuresOverAllLeases) {
  h.permission.stored.mutable_routes(2)->set_attempts(3);
  proto::CallRequest request;
  request.set_call_id("item");
  request.set_failed_runs(2);  // Under earlier leases.
  request.mutable_forwarded()->set_method("POST");
  request.mutable_forwarded()->set_target("/tale/item");
  BackendOutcome outcome;
  const auto call = h.batch->RunBatchItem(
      h.permission.stored.routes(2), request, seconds(5), [] { return true; },
      [&](BackendOutcome result) { outcome = std::move(result); });
  h.world.RunFor(milliseconds(50));
  ASSERT_EQ(h.arrived.size(), 1U);
  h.Answer(0, {500, ForwardHarness::Echo("item"), ""});
  h.world.RunFor(seconds(2));
  EXPECT_EQ(h.arrived.size(), 1U);
  EXPECT_EQ(outcome.executed, proto::EXECUTED_YES);
  EXPECT_EQ(outcome.failed_runs, 3U);
}

TEST_F(ForwardingTest, LeavesAnItemUnknownWithAttemptsLeft) {
  h.permission.stored.mutable_routes(2)->set_attempts(2);
  proto::CallRequest request;
  request.set_call_id("item");
  request.mutable_forwarded()->set_method("POST");
  request.mutable_forwarded()->set_target("/tale/item");
  BackendOutcome outcome;
  const auto call = h.batch->RunBatchItem(
      h.permission.stored.routes(2), request, seconds(3), [] { return true; },
      [&](BackendOutcome result) { outcome = std::move(result); });
  h.world.RunFor(milliseconds(50));
  h.Answer(0, {500, ForwardHarness::Echo("item"), ""});
  h.world.RunFor(seconds(4));
  EXPECT_EQ(outcome.executed, proto::EXECUTED_UNKNOWN);  // The queue node grants it again.
  EXPECT_EQ(outcome.failed_runs, 1U);
}

TEST(RefusalTest, SendsRetryAfterOnlyIfNothingRan) {
  proto::CallError error;
  error.set_executed(proto::EXECUTED_NO);
  FakeResponder busy;
  SendRefusal(busy, 503, error);
  EXPECT_EQ(FindHeader(busy.headers, "Retry-After"), "0.400");
  FakeResponder unknown_route;
  SendRefusal(unknown_route, 404, error);
  EXPECT_EQ(FindHeader(unknown_route.headers, "Retry-After"), "");
  error.set_executed(proto::EXECUTED_UNKNOWN);
  FakeResponder broken;
  SendRefusal(broken, 504, error);
  EXPECT_EQ(FindHeader(broken.headers, "Retry-After"), "");
}

}  // namespace
}  // namespace cloverbank
