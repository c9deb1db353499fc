// Requests that are forwarded unchanged: what replicas and clients receive, and what is retried.
#include <gtest/gtest.h>

#include "forward_harness.h"
#include "gateway/live_forward.h"

namespace cloverbank {
namespace {

class ForwardingTest : public ::testing::Test {
 protected:
  ForwardingTest() {
    harness.AddHttpRoute("once", "/once/", /*idempotent=*/false, /*streamed=*/true);
    harness.AddHttpRoute("safe", "/safe/", /*idempotent=*/true, /*streamed=*/false);
    harness.AddHttpRoute("tale", "/tale/", /*idempotent=*/true, /*streamed=*/true);
    harness.AddHttpReplica("r1", "a");
    harness.AddHttpReplica("r2", "a");
    harness.StartForwarding();
  }
  static std::string_view Header(const ExchangePtr& exchange, std::string_view name) {
    return FindHeader(exchange->request.headers, name);
  }

  ForwardHarness harness;
};

TEST_F(ForwardingTest, ForwardsRequestAndResponseUnchanged) {
  const auto client = harness.Forward("/safe/x", "c1");
  ASSERT_EQ(harness.received_calls.size(), 1U);
  const HttpRequest& sent = harness.received_calls[0]->request;
  EXPECT_EQ(sent.method, "POST");
  EXPECT_EQ(sent.target, "/safe/x?q=1%20");
  EXPECT_EQ(sent.body, "body");
  EXPECT_EQ(Header(harness.received_calls[0], "X-Anything"), "kept");
  EXPECT_EQ(Header(harness.received_calls[0], "X-Expected-Instance"),
            harness.receiving_replicas[0] + "/1");
  EXPECT_LE(std::stoi(std::string(Header(harness.received_calls[0], "X-Deadline-Ms"))), 4000);
  harness.Respond(0, {200, ForwardHarness::EchoHeaders("c1"), "blob"});
  EXPECT_EQ(client->status, 200);
  EXPECT_EQ(client->body, "blob");
  EXPECT_EQ(FindHeader(client->headers, "Stamp"), "s");
}

TEST_F(ForwardingTest, Returns404ForAnUnknownHostOrPath) {
  EXPECT_EQ(harness.Forward("/nowhere/x", "c1")->status, 404);
  EXPECT_TRUE(harness.received_calls.empty());
}

// Guards against refusing the resend of an accepted batch whose route was removed (KNOWN-RED 15).
TEST_F(ForwardingTest, AsksBeforeItRefusesAPathWithoutARoute) {
  IncomingCall call;
  call.host = "shop.example";
  call.path = "/nowhere/x";
  std::function<void()> refuse;
  call.on_unknown_route = [&refuse](std::function<void()> received) {
    refuse = std::move(received);
  };
  const auto responder = std::make_shared<FakeResponder>();
  harness.service->Handle(std::move(call), responder);
  ASSERT_NE(refuse, nullptr);
  EXPECT_EQ(responder->status, 0) << "not answered yet";
  refuse();
  EXPECT_EQ(responder->status, 404);
}

TEST_F(ForwardingTest, RejectsAResponseToAnotherCall) {
  const auto client = harness.Forward("/once/x", "c1");
  harness.Respond(0, {200, ForwardHarness::EchoHeaders("another"), ForwardHarness::Event(0)});
  EXPECT_EQ(client->status, 504);
  EXPECT_EQ(client->body.find("d0"), std::string::npos);
  EXPECT_EQ(harness.received_calls.size(), 1U);
}

TEST_F(ForwardingTest, RetriesNonIdempotentCallsOnlyIfMarkedNotRun) {
  const auto marked = harness.Forward("/once/x", "c1");
  harness.Respond(0, {503, {{"X-Not-Run", "1"}}, ""});
  harness.world.RunFor(milliseconds(20));
  ASSERT_EQ(harness.received_calls.size(), 2U);
  EXPECT_NE(harness.receiving_replicas[0], harness.receiving_replicas[1]);
  harness.Respond(1, {200, ForwardHarness::EchoHeaders("c1"), ForwardHarness::Event(0)});
  EXPECT_EQ(marked->status, 200);

  const auto unmarked = harness.Forward("/once/x", "c2");
  harness.Respond(2, {503, ForwardHarness::EchoHeaders("c2"), "busy"});
  harness.world.RunFor(milliseconds(20));
  EXPECT_EQ(harness.received_calls.size(), 3U);
  // Without the mark it may have run, so the status must not imply that it did not.
  EXPECT_NE(unmarked->status, 503);
  EXPECT_NE(unmarked->status, 429);
}

TEST_F(ForwardingTest, RefusalOfAnotherCallDoesNotPermitASecondRun) {
  const auto client = harness.Forward("/once/x", "c1");
  harness.received_calls[0]->reused = true;
  harness.Respond(0, {503, {{"X-Call-Id", "c0"}, {"X-Not-Run", "1"}}, ""});
  harness.world.RunFor(seconds(1));
  EXPECT_EQ(harness.received_calls.size(), 1U);
  EXPECT_EQ(client->status, 504);
  EXPECT_TRUE(harness.received_calls[0]->cancelled);
}

TEST_F(ForwardingTest, MisdirectionOfAnotherCallDoesNotPermitASecondRun) {
  const auto client = harness.Forward("/once/x", "c1");
  harness.received_calls[0]->reused = true;
  harness.Respond(0, {421, {{"X-Call-Id", "c0"}}, ""});
  harness.world.RunFor(seconds(1));
  EXPECT_EQ(harness.received_calls.size(), 1U);
  EXPECT_EQ(client->status, 504);
}

TEST_F(ForwardingTest, RefusalWithoutIdOnAReusedConnectionDoesNotPermitASecondRun) {
  const auto client = harness.Forward("/once/x", "c1");
  harness.received_calls[0]->reused = true;
  harness.Respond(0, {503, {{"X-Not-Run", "1"}}, ""});
  harness.world.RunFor(seconds(1));
  EXPECT_EQ(harness.received_calls.size(), 1U);
  EXPECT_EQ(client->status, 504);
}

TEST_F(ForwardingTest, RefusalWithTheIdOfTheCallPermitsAnotherReplica) {
  const auto client = harness.Forward("/once/x", "c1");
  harness.received_calls[0]->reused = true;
  harness.Respond(0, {503, {{"X-Call-Id", "c1"}, {"X-Not-Run", "1"}}, ""});
  harness.world.RunFor(milliseconds(20));
  ASSERT_EQ(harness.received_calls.size(), 2U);
  harness.Respond(1, {200, ForwardHarness::EchoHeaders("c1"), ForwardHarness::Event(0)});
  EXPECT_EQ(client->status, 200);
}

TEST_F(ForwardingTest, UsesNewConnectionsToAReplicaWhoseRefusalsHaveNoId) {
  const auto first = harness.Forward("/once/x", "c1");
  harness.received_calls[0]->reused = true;
  harness.Respond(0, {503, {{"X-Not-Run", "1"}}, ""});
  const std::string omitting = harness.receiving_replicas[0];
  int to_omitting = 0;
  for (int number = 0; number < 20; ++number) {
    (void)harness.Forward("/once/x", "next" + std::to_string(number));
  }
  for (std::size_t index = 1; index < harness.received_calls.size(); ++index) {
    const bool is_omitting = harness.receiving_replicas[index] == omitting;
    EXPECT_EQ(harness.received_calls[index]->request.new_connection, is_omitting);
    to_omitting += is_omitting ? 1 : 0;
  }
  EXPECT_GT(to_omitting, 0);
}

TEST_F(ForwardingTest, ReturnsToAReplicaThatRefusedTheCallOnANewConnection) {
  const auto client = harness.Forward("/once/x", "c1");
  std::map<std::string, int> sends;
  for (std::size_t index = 0; index < 6; ++index) {
    ASSERT_GT(harness.received_calls.size(), index);
    const int earlier = sends[harness.receiving_replicas[index]]++;
    EXPECT_EQ(harness.received_calls[index]->request.new_connection, earlier > 0) << index;
    harness.Respond(index, {503, {{"X-Call-Id", "c1"}, {"X-Not-Run", "1"}}, ""});
    harness.world.RunFor(milliseconds(600));
  }
  EXPECT_GT(sends["r1"], 1);
}

// Guards against a late refusal of a send to the incarnation before, at the same address, being
// taken for one of the send to the new incarnation.
TEST_F(ForwardingTest, NextIncarnationAtAnAddressGetsARefusedCallOnANewConnection) {
  const auto client = harness.Forward("/once/x", "c1");
  std::map<std::string, int> sends;
  for (std::size_t index = 0; index < 4; ++index) {
    ASSERT_GT(harness.received_calls.size(), index);
    const int earlier = sends[harness.receiving_replicas[index]]++;
    EXPECT_EQ(harness.received_calls[index]->request.new_connection, earlier > 0) << index;
    for (auto& [name, replica] : harness.replicas) {
      const std::string incarnation = name + "." + std::to_string(index);
      replica.entry.set_id(incarnation);
      replica.entry.set_instance_id(incarnation);
    }
    ++harness.list_version;
    harness.world.RunFor(milliseconds(600));
    harness.Respond(index, {421, {{"X-Call-Id", "c1"}}, ""});
    harness.world.RunFor(milliseconds(300));
  }
  EXPECT_GT(sends["r1"] + sends["r2"], 2);
}

TEST_F(ForwardingTest, ResponsesThatAreNotUtf8AreForwardedOrAnsweredWithAnError) {
  const HttpHeaders echo = ForwardHarness::EchoHeaders("c1");
  const std::vector<HttpResponse> responses = {{500, echo, "\xff"},
                                               {400, echo, "\xff"},
                                               {200, {{"X-Call-Id", "\xff"}}, "\xff"},
                                               {200, echo, "id: \xff\ndata: \xff"}};
  for (std::size_t index = 0; index < responses.size(); ++index) {
    const auto client = harness.Forward("/once/x", "c1");
    ASSERT_EQ(harness.received_calls.size(), index + 1);
    harness.Respond(index, responses[index]);
    EXPECT_EQ(client->answers, 1) << index;
    EXPECT_GE(client->status, 400) << index;
  }
}

TEST_F(ForwardingTest, DoesNotRetryAfterBytesWereSent) {
  const auto client = harness.Forward("/once/x", "c1");
  harness.received_calls[0]->End(HttpOutcomeKind::kUnknown, "reset");
  harness.world.RunFor(milliseconds(200));
  EXPECT_EQ(harness.received_calls.size(), 1U);
  EXPECT_EQ(client->status, 504);
}

TEST_F(ForwardingTest, ForwardsAReplicaFailureUnchanged) {
  const auto client = harness.Forward("/once/x", "c1");
  harness.Respond(0, {500, ForwardHarness::EchoHeaders("c1"), "broken"});
  EXPECT_EQ(client->status, 500);
  EXPECT_EQ(client->body, "broken");
  EXPECT_EQ(FindHeader(client->headers, "Stamp"), "s");
}

TEST_F(ForwardingTest, ResumesABrokenStreamAtAnotherReplica) {
  const auto client = harness.Forward("/tale/x", "c1");
  harness.received_calls[0]->Head(200, ForwardHarness::EchoHeaders("c1"));
  harness.SendBytes(0, ForwardHarness::Event(0) + ForwardHarness::Event(1) + "id: 2\nda");
  EXPECT_EQ(client->body, ForwardHarness::Event(0) + ForwardHarness::Event(1));
  harness.received_calls[0]->End(HttpOutcomeKind::kUnknown, "reset");
  harness.world.RunFor(seconds(1));
  ASSERT_EQ(harness.received_calls.size(), 2U);
  EXPECT_NE(harness.receiving_replicas[0], harness.receiving_replicas[1]);
  EXPECT_EQ(Header(harness.received_calls[1], "X-Resume-After"), "1");
  harness.Respond(1, {200, ForwardHarness::EchoHeaders("c1"), ForwardHarness::Event(2)});
  EXPECT_EQ(client->answers, 1);
  EXPECT_TRUE(client->complete);
  EXPECT_EQ(client->body,
            ForwardHarness::Event(0) + ForwardHarness::Event(1) + ForwardHarness::Event(2));
}

TEST_F(ForwardingTest, AbortsOnAGapAfterAResume) {
  const auto client = harness.Forward("/tale/x", "c1");
  harness.received_calls[0]->Head(200, ForwardHarness::EchoHeaders("c1"));
  harness.SendBytes(0, ForwardHarness::Event(0));
  harness.received_calls[0]->End(HttpOutcomeKind::kUnknown, "reset");
  harness.world.RunFor(seconds(1));
  ASSERT_EQ(harness.received_calls.size(), 2U);
  harness.Respond(1, {200, ForwardHarness::EchoHeaders("c1"), ForwardHarness::Event(2)});
  harness.world.RunFor(seconds(1));
  EXPECT_TRUE(client->aborted);
  EXPECT_FALSE(client->complete);
}

TEST_F(ForwardingTest, AbortsABrokenNonIdempotentStream) {
  const auto client = harness.Forward("/once/x", "c1");
  harness.received_calls[0]->Head(200, ForwardHarness::EchoHeaders("c1"));
  harness.SendBytes(0, ForwardHarness::Event(0));
  harness.received_calls[0]->End(HttpOutcomeKind::kUnknown, "reset");
  harness.world.RunFor(seconds(1));
  EXPECT_EQ(harness.received_calls.size(), 1U);
  EXPECT_TRUE(client->aborted);
}

TEST_F(ForwardingTest, CancelsWhenTheClientDisconnects) {
  const auto client = harness.Forward("/tale/x", "c1");
  client->disconnect();
  EXPECT_TRUE(harness.received_calls[0]->cancelled);
  EXPECT_EQ(harness.service->calls_in_flight(), 0U);
}

TEST_F(ForwardingTest, RetriesOnlyIdempotentCallsWithoutAResponse) {
  const auto safe = harness.Forward("/safe/x", "c1");
  const auto once = harness.Forward("/once/x", "c2");
  harness.world.RunFor(seconds(2));
  ASSERT_EQ(harness.received_calls.size(), 3U);
  EXPECT_EQ(harness.received_calls[2]->request.target, "/safe/x?q=1%20");
  harness.Respond(2, {200, ForwardHarness::EchoHeaders("c1"), "blob"});
  EXPECT_EQ(safe->status, 200);
  EXPECT_EQ(once->answers, 0);
  harness.world.RunFor(seconds(4));
  EXPECT_EQ(once->status, 504);  // Its only response, sent at its deadline.
}

// Guards against a second run of a call whose route stopped being repeatable during the back-off.
TEST_F(ForwardingTest, DoesNotRepeatARunCallWhoseRouteMustNotRepeatByNow) {
  const auto client = harness.Forward("/safe/x", "c1");
  ASSERT_EQ(harness.received_calls.size(), 1U);
  harness.received_calls[0]->End(HttpOutcomeKind::kUnknown, "reset");
  harness.permission.stored.mutable_routes(1)->set_idempotent(false);
  harness.world.RunFor(seconds(1));
  EXPECT_EQ(harness.received_calls.size(), 1U);
  EXPECT_EQ(client->status, 504);
}

// Guards against a second run after a refusal of the repetition, once the route stopped being
// repeatable.
TEST_F(ForwardingTest, RefusedRepetitionIsNotSentAgainOnceTheRouteMustNotRepeat) {
  const auto client = harness.Forward("/safe/x", "c1");
  harness.received_calls[0]->End(HttpOutcomeKind::kUnknown, "reset");
  harness.world.RunFor(seconds(1));
  ASSERT_EQ(harness.received_calls.size(), 2U);
  harness.permission.stored.mutable_routes(1)->set_idempotent(false);
  HttpHeaders refusal = ForwardHarness::EchoHeaders("c1");
  refusal.emplace_back("X-Not-Run", "1");
  harness.Respond(1, {503, refusal, ""});
  harness.world.RunFor(seconds(1));
  EXPECT_EQ(harness.received_calls.size(), 2U);
  EXPECT_EQ(client->status, 504);
}

TEST_F(ForwardingTest, SendsNothingToReplicasOfAFormerBackEnd) {
  harness.permission.stored.mutable_routes(1)->set_backend("elsewhere");
  const auto client = harness.Forward("/safe/x", "c1");
  harness.world.RunFor(seconds(1));
  EXPECT_TRUE(harness.received_calls.empty());
  EXPECT_EQ(client->status, 503);
}

/// Calls that wait, because others use all slots of both replicas.
class WaitingCallTest : public ForwardingTest {
 protected:
  WaitingCallTest() {
    constexpr int kSlots = 16;
    for (int call = 0; call < kSlots; ++call) {
      busy_.push_back(
          harness.Forward("/once/" + std::to_string(call), "busy-" + std::to_string(call)));
    }
    waiting_ = harness.Forward("/safe/x", "waiting");
    EXPECT_EQ(harness.received_calls.size(), static_cast<std::size_t>(kSlots));
    EXPECT_EQ(waiting_->answers, 0);
  }
  proto::Route& SafeRoute() { return *harness.permission.stored.mutable_routes(1); }
  /// Ends the oldest call, so that a slot is free.
  void FreeASlot() {
    harness.Respond(0, {200, ForwardHarness::EchoHeaders("busy-0"), "id: 1\ndata: d\n\n"});
    harness.world.RunFor(milliseconds(100));
  }

  std::vector<std::shared_ptr<FakeResponder>> busy_;
  std::shared_ptr<FakeResponder> waiting_;
};

// Guards against a waiting call running at the service of another route that got its route's name
// (review/5).
TEST_F(WaitingCallTest, DoesNotFollowTheNameOfItsRoute) {
  SafeRoute().set_path_prefix("/mail/");
  FreeASlot();
  EXPECT_EQ(harness.received_calls.size(), busy_.size());
  EXPECT_EQ(waiting_->status, 404);
}

// Guards against a waiting call being refused with 404 because its route got another name.
TEST_F(WaitingCallTest, FollowsItsRouteToAnotherName) {
  SafeRoute().set_name("safe-2");
  FreeASlot();
  ASSERT_EQ(harness.received_calls.size(), busy_.size() + 1);
  harness.Respond(busy_.size(), {200, ForwardHarness::EchoHeaders("waiting"), "blob"});
  EXPECT_EQ(waiting_->status, 200);
}

// Guards against forwarding a call whose path belongs to a batch route by now.
TEST_F(WaitingCallTest, IsRefusedWhenItsPathTakesBatches) {
  SafeRoute().set_accepts_batches(true);
  FreeASlot();
  EXPECT_EQ(harness.received_calls.size(), busy_.size());
  EXPECT_EQ(waiting_->status, 503);
}

class StoppingGatewayTest : public ForwardingTest {
 protected:
  /// Begins a stop that admits every call until `admits` from now and ends the process at `ends`.
  void Stop(Duration admits, Duration ends) {
    const TimePoint now = harness.world.Now();
    harness.service->Drain({.admits_until = now + admits, .ends_at = now + ends});
  }
};

// Guards against a stream that is taken late in a stop and cut when the process ends (issue 51).
TEST_F(StoppingGatewayTest, RefusesALateCallThatMayOutlastTheProcess) {
  Stop(/*admits=*/seconds(2), /*ends=*/seconds(5));
  const auto early = harness.Forward("/once/x", "c1");
  EXPECT_EQ(harness.received_calls.size(), 1U);
  EXPECT_EQ(early->answers, 0);
  harness.world.RunFor(seconds(2));
  const auto late = harness.Forward("/once/x", "c2");
  EXPECT_EQ(late->status, 503);
  EXPECT_NE(late->body.find("gateway_stopping"), std::string::npos);
  EXPECT_FALSE(FindHeader(late->headers, "Retry-After").empty());
  EXPECT_EQ(harness.received_calls.size(), 1U);
}

TEST_F(StoppingGatewayTest, TakesALateCallThatEndsBeforeTheProcess) {
  harness.permission.stored.mutable_routes(1)->set_deadline_ms(1'000);
  Stop(/*admits=*/seconds(0), /*ends=*/seconds(5));
  const auto client = harness.Forward("/safe/x", "c1");
  ASSERT_EQ(harness.received_calls.size(), 1U);
  harness.Respond(0, {200, ForwardHarness::EchoHeaders("c1"), "blob"});
  EXPECT_EQ(client->status, 200);
}

// Guards against connections that are closed without an answer when the process ends.
TEST_F(StoppingGatewayTest, AnswersRunningCallsBeforeTheProcessEnds) {
  const auto sent = harness.Forward("/once/x", "c1");
  const auto streaming = harness.Forward("/once/y", "c2");
  harness.received_calls[1]->Head(200, ForwardHarness::EchoHeaders("c2"));
  harness.SendBytes(1, ForwardHarness::Event(0));
  harness.service->EndUnansweredCalls();
  EXPECT_EQ(sent->status, 504);
  EXPECT_TRUE(harness.received_calls[0]->cancelled);
  EXPECT_FALSE(harness.received_calls[1]->cancelled) << "its response has begun";
}

TEST_F(WaitingCallTest, IsAnsweredAsNotRunBeforeTheProcessEnds) {
  harness.service->EndUnansweredCalls();
  EXPECT_EQ(waiting_->status, 503);
}

TEST_F(ForwardingTest, QueuesCallsUntilTheFirstConfiguration) {
  harness.permission.stored.set_label(0);
  const auto client = harness.Forward("/safe/x", "c1");
  harness.world.RunFor(milliseconds(500));
  EXPECT_EQ(client->answers, 0);
  harness.permission.stored.set_label(8);
  harness.service->OnConfiguration();
  harness.world.RunFor(milliseconds(20));
  ASSERT_EQ(harness.received_calls.size(), 1U);
  harness.Respond(0, {200, ForwardHarness::EchoHeaders("c1"), "blob"});
  EXPECT_EQ(client->status, 200);
}

TEST_F(ForwardingTest, Returns503AfterWaitingForConfiguration) {
  harness.permission.stored.set_label(0);
  const auto client = harness.Forward("/safe/x", "c1");
  harness.world.RunFor(seconds(3));
  EXPECT_EQ(client->status, 503);
  EXPECT_FALSE(FindHeader(client->headers, "Retry-After").empty());
  EXPECT_TRUE(harness.received_calls.empty());
}

TEST_F(ForwardingTest, RefusesAWaitingCallWhoseRouteAcceptsBatches) {
  harness.permission.stored.mutable_routes(1)->set_accepts_batches(true);
  harness.permission.stored.set_label(0);
  const auto client = harness.Forward("/safe/batch", "batch-1");
  harness.permission.stored.set_label(8);
  harness.service->OnConfiguration();
  harness.world.RunFor(milliseconds(100));
  EXPECT_TRUE(harness.received_calls.empty());
  EXPECT_EQ(client->status, 503);
}

TEST_F(ForwardingTest, SubmitsAWaitingBatchOnceItsRouteIsKnown) {
  harness.permission.stored.mutable_routes(1)->set_accepts_batches(true);
  harness.permission.stored.set_label(0);
  std::vector<std::string> submitted;
  const auto client = harness.Forward("/safe/batch", "batch-1", [&](const proto::Route& route) {
    submitted.push_back(route.name());
  });
  EXPECT_TRUE(submitted.empty());
  harness.permission.stored.set_label(8);
  harness.service->OnConfiguration();
  harness.world.RunFor(milliseconds(100));
  EXPECT_EQ(submitted, std::vector<std::string>{"safe"});
  EXPECT_TRUE(harness.received_calls.empty());
  EXPECT_EQ(client->answers, 0) << "the batch handler responds";
}

TEST_F(ForwardingTest, DropsAWaitingCallOnDisconnect) {
  harness.permission.stored.set_label(0);
  const auto client = harness.Forward("/safe/x", "c1");
  client->disconnect();
  harness.permission.stored.set_label(8);
  harness.service->OnConfiguration();
  harness.world.RunFor(milliseconds(100));
  EXPECT_TRUE(harness.received_calls.empty());
}

/// Guards against sending an item whose work lease ended while the connection was being made: the
/// gateway must check `can_start` immediately before the first byte.
TEST_F(ForwardingTest, DoesNotSendAnItemWhoseLeaseEnds) {
  harness.client->connect_time = milliseconds(150);
  bool can_start = true;
  proto::CallRequest request;
  request.set_call_id("item");
  request.mutable_forwarded()->set_method("POST");
  request.mutable_forwarded()->set_target("/tale/item");
  BackendOutcome outcome;
  bool done = false;
  const auto call = harness.batch->RunBatchItem(
      harness.MakeItem(2, request, seconds(5)), [&] { return can_start; },
      [&](BackendOutcome result) {
        outcome = std::move(result);
        done = true;
      });
  harness.world.RunFor(milliseconds(100));
  can_start = false;
  harness.world.RunFor(seconds(1));
  ASSERT_TRUE(done);
  EXPECT_EQ(outcome.executed, proto::EXECUTED_NO);
  EXPECT_TRUE(harness.received_calls.empty());
}

TEST_F(ForwardingTest, CountsItemFailuresOverAllLeases) {
  harness.permission.stored.mutable_routes(2)->set_attempts(3);
  proto::CallRequest request;
  request.set_call_id("item");
  request.set_failed_runs(2);  // Reported under earlier work leases.
  request.mutable_forwarded()->set_method("POST");
  request.mutable_forwarded()->set_target("/tale/item");
  BackendOutcome outcome;
  const auto call = harness.batch->RunBatchItem(
      harness.MakeItem(2, request, seconds(5)), [] { return true; },
      [&](BackendOutcome result) { outcome = std::move(result); });
  harness.world.RunFor(milliseconds(50));
  ASSERT_EQ(harness.received_calls.size(), 1U);
  harness.Respond(0, {500, ForwardHarness::EchoHeaders("item"), ""});
  harness.world.RunFor(seconds(2));
  EXPECT_EQ(harness.received_calls.size(), 1U);
  EXPECT_EQ(outcome.executed, proto::EXECUTED_YES);
  EXPECT_EQ(outcome.failed_runs, 3U);
}

TEST_F(ForwardingTest, ReportsUnknownWhileAnItemHasAttemptsLeft) {
  harness.permission.stored.mutable_routes(2)->set_attempts(2);
  proto::CallRequest request;
  request.set_call_id("item");
  request.mutable_forwarded()->set_method("POST");
  request.mutable_forwarded()->set_target("/tale/item");
  BackendOutcome outcome;
  const auto call = harness.batch->RunBatchItem(
      harness.MakeItem(2, request, seconds(3)), [] { return true; },
      [&](BackendOutcome result) { outcome = std::move(result); });
  harness.world.RunFor(milliseconds(50));
  harness.Respond(0, {500, ForwardHarness::EchoHeaders("item"), ""});
  harness.world.RunFor(seconds(4));
  EXPECT_EQ(outcome.executed, proto::EXECUTED_UNKNOWN);  // The queue node grants the item again.
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
