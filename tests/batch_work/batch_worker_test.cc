#include "batch_work/batch_worker_fixture.h"

namespace cloverbank {
namespace {

TEST_F(BatchWorkerTest, RunsGrantedItemsAndReportsEachOnce) {
  Start();
  for (std::uint64_t lease = 1; lease <= 20; ++lease) {
    AddWork(lease, lease % 2 == 0 ? "audit" : "unlock");
  }
  ASSERT_TRUE(world.RunUntil([this] { return q1.reports.size() == 20; }, seconds(5)));
  world.RunFor(seconds(2));
  EXPECT_EQ(gateway->backend.runs.size(), 20U);
  EXPECT_EQ(q1.reports.at(7).outcome(), proto::ITEM_OUTCOME_SUCCEEDED);
  EXPECT_EQ(q1.reports.at(7).output(), "done");
  EXPECT_EQ(gateway->worker.pending(), 0U);
  EXPECT_EQ(gateway->worker.unreported(), 0U);
}

TEST_F(BatchWorkerTest, StartsNoMoreItemsThanCapacity) {
  Start();
  gateway->backend.run_time = seconds(1);
  gateway->backend.slots = 0;
  world.RunFor(seconds(2));  // Until pending long polls have ended.
  for (std::uint64_t lease = 1; lease <= 9; ++lease) {
    AddWork(lease, "audit");
  }
  world.RunFor(seconds(1));
  EXPECT_TRUE(gateway->backend.runs.empty());
  EXPECT_EQ(q1.work.size(), 9U);
}

TEST_F(BatchWorkerTest, RenewsRunningItems) {
  Start();
  gateway->backend.run_time = seconds(3);
  AddWork(1, "unlock");
  ASSERT_TRUE(WaitUntilRunning(1));
  EXPECT_TRUE(world.RunUntil([this] { return q1.renewed.contains(1); }, milliseconds(700)));
}

TEST_F(BatchWorkerTest, ReturnsGrantsThatExpiredDuringAFreeze) {
  Start();
  gateway->backend.connect = milliseconds(50);
  for (const std::uint64_t lease : {1, 2, 3}) {
    AddWork(lease, "unlock");
  }
  ASSERT_TRUE(WaitUntilRunning(3));
  world.machine("g").Freeze();  // Before any request was sent.
  world.RunFor(seconds(25));
  world.machine("g").Wake();
  world.RunFor(seconds(5));
  EXPECT_EQ(gateway->backend.SentCount(), 0U);
  for (const std::uint64_t lease : {1, 2, 3}) {
    EXPECT_EQ(Disposition(q1, lease), proto::WORK_DISPOSITION_NOT_RUN);
  }
}

TEST_F(BatchWorkerTest, ReturnsAGrantReceivedAfterAFreeze) {
  Start();
  world.machine("g").Freeze();
  AddWork(1, "unlock");
  // The response waits in the socket, and the call's deadline has not passed.
  world.RunFor(seconds(4));
  world.machine("g").Wake();
  world.RunFor(seconds(2));
  EXPECT_TRUE(gateway->backend.runs.empty());
  EXPECT_EQ(Disposition(q1, 1), proto::WORK_DISPOSITION_NOT_RUN);
}

TEST_F(BatchWorkerTest, ExpiresAGrantDuringASlowConnection) {
  Start();
  gateway->backend.connect = milliseconds(2100);
  AddWork(1, "unlock");
  world.RunFor(seconds(4));
  EXPECT_TRUE(gateway->agent.HasValidLease()) << "only the grant's start window has expired";
  EXPECT_EQ(gateway->backend.SentCount(), 0U);
  EXPECT_EQ(Disposition(q1, 1), proto::WORK_DISPOSITION_NOT_RUN);
}

TEST_F(BatchWorkerTest, CountsTheStartWindowFromTheRequest) {
  q1.response_delay = milliseconds(1900);
  Start();
  // Connected 2.1 s after the request for work, 0.2 s after the grant arrived.
  gateway->backend.connect = milliseconds(200);
  AddWork(1, "unlock");
  world.RunFor(seconds(6));
  EXPECT_EQ(gateway->backend.SentCount(), 0U);
  EXPECT_EQ(Disposition(q1, 1), proto::WORK_DISPOSITION_NOT_RUN);
}

TEST_F(BatchWorkerTest, ReportsToANewPartitionOwner) {
  Start();
  AddWork(1, "unlock");
  ASSERT_TRUE(WaitUntilRunning(1));
  world.machine("q1").LosePower();
  world.RunFor(seconds(1));
  EXPECT_EQ(gateway->worker.unreported(), 1U);
  q2.report_code = StatusCode::kUnavailable;  // Still replaying.
  SetOwner(102);
  world.RunFor(seconds(1));
  EXPECT_GT(q2.report_calls, 1);
  q2.report_code = StatusCode::kOk;
  world.RunFor(seconds(1));
  EXPECT_EQ(Disposition(q2, 1), proto::WORK_DISPOSITION_FINISHED);
  EXPECT_EQ(gateway->worker.unreported(), 0U);
}

TEST_F(BatchWorkerTest, ReportsUnknownWithoutAResponse) {
  Start();
  gateway->backend.outcome = {};
  gateway->backend.outcome.executed = proto::EXECUTED_UNKNOWN;
  AddWork(1, "unlock");
  world.RunFor(seconds(1));
  EXPECT_EQ(Disposition(q1, 1), proto::WORK_DISPOSITION_UNKNOWN);
}

TEST_F(BatchWorkerTest, FailsRejectedItemsAndReturnsItemsThatDidNotRun) {
  Start();
  gateway->backend.outcome = {};
  gateway->backend.outcome.executed = proto::EXECUTED_NO;
  AddWork(1, "unlock");
  world.RunFor(milliseconds(250));
  EXPECT_EQ(Disposition(q1, 1), proto::WORK_DISPOSITION_UNSPECIFIED)
      << "this gateway tries again first";
  world.RunFor(milliseconds(600));
  EXPECT_EQ(gateway->backend.runs.size(), 2U);
  gateway->backend.outcome.error.set_code(std::string(kReplicaRejectedCode));
  AddWork(2, "unlock");
  world.RunFor(seconds(1));
  EXPECT_EQ(Disposition(q1, 1), proto::WORK_DISPOSITION_NOT_RUN);
  ASSERT_EQ(Disposition(q1, 2), proto::WORK_DISPOSITION_FINISHED);
  EXPECT_EQ(q1.reports.at(2).outcome(), proto::ITEM_OUTCOME_FAILED);
}

TEST_F(BatchWorkerTest, FinishesADispatchedItemAfterItsLeaseEnds) {
  Start();
  gateway->backend.run_time = seconds(2);
  AddWork(1, "audit");
  AddWork(2, "unlock");
  ASSERT_TRUE(world.RunUntil([this] { return gateway->backend.SentCount() == 2; }, seconds(1)));
  q1.ended_leases = {1, 2};
  world.RunFor(seconds(4));
  for (const std::uint64_t lease : {1, 2}) {
    EXPECT_FALSE(gateway->backend.runs[lease - 1]->cancelled);
    EXPECT_EQ(Disposition(q1, lease), proto::WORK_DISPOSITION_FINISHED);
  }
}

TEST_F(BatchWorkerTest, CancelsAnUnsentItemWhenItsLeaseEnds) {
  Start();
  gateway->backend.connect = seconds(1);
  q1.ended_leases = {1, 2};
  AddWork(1, "audit");
  AddWork(2, "unlock");
  world.RunFor(seconds(4));
  EXPECT_EQ(gateway->backend.SentCount(), 0U);
  for (const std::uint64_t lease : {1, 2}) {
    EXPECT_TRUE(gateway->backend.runs[lease - 1]->cancelled);
    EXPECT_EQ(Disposition(q1, lease), proto::WORK_DISPOSITION_NOT_RUN);
  }
}

TEST_F(BatchWorkerTest, StopsAcquiringAtTheItemLimitWhileReportsFail) {
  options.limits.maximum_items = 5;
  Start();
  q1.report_code = StatusCode::kUnavailable;
  for (std::uint64_t lease = 1; lease <= 50; ++lease) {
    AddWork(lease, "audit");
  }
  world.RunFor(seconds(5));
  EXPECT_LE(gateway->backend.runs.size(), 5U + gateway->backend.slots);
  q1.report_code = StatusCode::kOk;
  world.RunFor(seconds(5));
  EXPECT_EQ(q1.reports.size(), 50U);
}

TEST_F(BatchWorkerTest, StartsNothingWhilePaused) {
  Start();
  gateway->backend.connect = milliseconds(200);
  AddWork(1, "unlock");
  ASSERT_TRUE(WaitUntilRunning(1));
  SetPaused(true);
  world.RunFor(seconds(2));
  EXPECT_EQ(gateway->backend.SentCount(), 0U);
  EXPECT_EQ(Disposition(q1, 1), proto::WORK_DISPOSITION_NOT_RUN);
  const int acquire_requests = q1.acquire_requests;
  world.RunFor(seconds(2));
  EXPECT_EQ(q1.acquire_requests, acquire_requests);
  SetPaused(false);
  world.RunFor(seconds(1));
  EXPECT_GT(q1.acquire_requests, acquire_requests);
}

// Guards against a gateway giving up an accepted item because its own configuration lacks the route
// (review/7): only the owner of the partition may end it.
TEST_F(BatchWorkerTest, ReturnsItemsOfChangedOrRemovedRoutesWithoutRunningThem) {
  Start();
  SetRoute("audit", false);
  world.RunFor(milliseconds(200));
  AddWork(1, "audit");
  AddWork(2, "removed");
  world.RunFor(seconds(1));
  EXPECT_TRUE(gateway->backend.runs.empty());
  for (const std::uint64_t lease : {1, 2}) {
    EXPECT_EQ(Disposition(q1, lease), proto::WORK_DISPOSITION_NOT_RUN);
  }
}

// Guards against returning an item at once when its route is about to arrive with the next version.
TEST_F(BatchWorkerTest, RunsAnItemWhoseRouteArrivesWithTheNextVersion) {
  Start();
  AddWork(1, "added");
  q1.work.back().set_idempotent(true);
  world.RunFor(milliseconds(100));
  EXPECT_TRUE(gateway->backend.runs.empty());
  SetRoute("added", true);
  ASSERT_TRUE(WaitUntilRunning(1));
}

// Guards against running an item by another route that has the name of its own (review/5), and
// against not running one whose route has another name (review/6, review/7).
TEST_F(BatchWorkerTest, FindsTheRouteOfAnItemByWhatItsClientSent) {
  SetHttpRoute("r-1", "/notes/", "notes");
  SetHttpRoute("r-2", "/audit/", "tokens");
  Start();
  AddWork(1, "r-1");  // The name of the route when the batch was accepted.
  *q1.work.back().mutable_route_reference() = ReferenceByPath("shop.example", "/audit/b");
  q1.work.back().set_idempotent(true);
  ASSERT_TRUE(WaitUntilRunning(1));
  EXPECT_EQ(gateway->backend.runs[0]->route.backend(), "tokens");
}

// Guards against running items of an ended batch route by a shorter prefix that takes live calls.
TEST_F(BatchWorkerTest, DoesNotRunItemsByARouteForLiveCalls) {
  SetHttpRoute("r-1", "/", "pages");
  proto::ConfigurationChange& change = control.changes.back();
  change.mutable_set_route()->set_accepts_batches(false);
  Start();
  AddWork(1, "r-1");
  *q1.work.back().mutable_route_reference() = ReferenceByPath("shop.example", "/audit/b");
  q1.work.back().set_idempotent(true);
  world.RunFor(seconds(1));
  EXPECT_TRUE(gateway->backend.runs.empty());
  EXPECT_EQ(Disposition(q1, 1), proto::WORK_DISPOSITION_NOT_RUN);
}

// Guards against batch work of a split route running only where the first part of the split has
// room (review/2).
TEST_F(BatchWorkerTest, RunsItemsOfASplitRouteWhereRoomIs) {
  SetHttpRoute("r-1", "/audit/", "canary");
  proto::Route& route = *control.changes.back().mutable_set_route();
  for (const auto& [backend, weight] : {std::pair{"canary", 0U}, {"full", 90U}, {"free", 10U}}) {
    proto::WeightedBackend* weighted = route.add_split();
    weighted->set_backend(backend);
    weighted->set_weight(weight);
  }
  Start();
  gateway->backend.slots_by_backend = {{"full", 0}};
  for (std::uint64_t lease = 1; lease <= 3; ++lease) {
    AddWork(lease, "r-1");
    q1.work.back().set_idempotent(true);
  }
  ASSERT_TRUE(WaitUntilRunning(3));
  for (const auto& run : gateway->backend.runs) {
    EXPECT_EQ(run->backend, "free");
  }
}

}  // namespace
}  // namespace cloverbank
