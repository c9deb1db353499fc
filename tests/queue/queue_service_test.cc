#include "queue/queue_service.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <optional>

#include "control_client/batch_partitions.h"
#include "queue/queue_world.h"

namespace cloverbank {
namespace {

using proto::WORK_DISPOSITION_NOT_RUN;

class QueueServiceTest : public testing::Test {
 protected:
  QueueServiceTest() : world_(21) {
    world_.AddQueue("q1");
    world_.AssignPartition("q1");
  }
  QueueWorld world_;
};

TEST_F(QueueServiceTest, AnswersResendWithTheAcceptedBatch) {
  const std::string id = world_.Accept("q1", "key", 20);
  EXPECT_EQ(world_.BatchIds("q1"), std::vector<std::string>{id});
  const auto resent = world_.Submit("q1", QueueWorld::MakeBatch("key", 20));
  ASSERT_TRUE(resent.ok());
  EXPECT_TRUE(resent->resent());
  EXPECT_EQ(resent->status().batch_id(), id);
  EXPECT_EQ(world_.BatchIds("q1").size(), 1U);
}

TEST_F(QueueServiceTest, RejectsKeyReusedForAnotherBatch) {
  world_.Accept("q1", "key", 20);
  const auto other = world_.Submit("q1", QueueWorld::MakeBatch("key", 21));
  EXPECT_THAT(other, FailsWith(StatusCode::kConflict));
  EXPECT_EQ(world_.BatchIds("q1").size(), 1U);
}

TEST_F(QueueServiceTest, ConcurrentResendsBecomeOneBatch) {
  std::set<std::string> ids;
  int answers = 0;
  int resent = 0;
  for (int i = 0; i < 3; ++i) {
    world_.world.CallPeer(world_.world.machine("q1").endpoint(), "queue.SubmitBatch",
                          QueueWorld::MakeBatch("key", 4000).SerializeAsString(), seconds(10),
                          [&](const PeerReply& reply) {
                            proto::SubmitBatchResponse response;
                            ASSERT_TRUE(reply.status.ok());
                            ASSERT_TRUE(response.ParseFromString(reply.body));
                            ids.insert(response.status().batch_id());
                            resent += response.resent() ? 1 : 0;
                            ++answers;
                          });
  }
  ASSERT_TRUE(world_.world.RunUntil([&] { return answers == 3; }, seconds(10)));
  EXPECT_EQ(ids.size(), 1U);
  EXPECT_EQ(resent, 2);
}

TEST_F(QueueServiceTest, RejectsDuplicateCustomIds) {
  auto request = QueueWorld::MakeBatch("key", 2);
  request.mutable_batch()->mutable_items(1)->set_custom_id("item0");
  EXPECT_THAT(world_.Submit("q1", request), FailsWith(StatusCode::kInvalidArgument));
}

TEST_F(QueueServiceTest, RejectsPartitionsItDoesNotOwn) {
  auto request = QueueWorld::MakeBatch("key", 2);
  request.set_partition_id(5);
  const auto refused = world_.Submit("q1", request);
  EXPECT_THAT(refused, FailsWith(StatusCode::kConflict));
  EXPECT_EQ(refused.status().detail(), kNotOwnerDetail);
}

TEST_F(QueueServiceTest, TenantLimitCountsUnfinishedItems) {
  proto::Tenant* tenant = world_.coordinator.configuration.add_tenants();
  tenant->set_name("studio");
  tenant->set_max_open_items(10);
  world_.PublishConfiguration();
  world_.Accept("q1", "first", 8);
  EXPECT_THAT(world_.Submit("q1", QueueWorld::MakeBatch("second", 3)),
              FailsWith(StatusCode::kResourceExhausted));
  for (const auto& grant : world_.Acquire("q1", 1)) {
    EXPECT_TRUE(world_.Finish("q1", grant).ok());
  }
  EXPECT_TRUE(world_.Submit("q1", QueueWorld::MakeBatch("second", 3)).ok());
}

TEST_F(QueueServiceTest, RecordsOneResultPerItem) {
  const std::string id = world_.Accept("q1", "key", 10, "unlock");
  std::set<std::uint64_t> seen;
  for (int round = 0; round < 5; ++round) {
    for (const auto& grant : world_.Acquire("q1", 2)) {
      EXPECT_TRUE(seen.insert(grant.item_index()).second);
      EXPECT_EQ(grant.item().custom_id(), "item" + std::to_string(grant.item_index()));
      EXPECT_FALSE(grant.idempotent());
      EXPECT_TRUE(world_.Finish("q1", grant, "first").ok());
      EXPECT_TRUE(world_.Finish("q1", grant, "again").ok());
    }
  }
  EXPECT_EQ(seen.size(), 10U);
  const auto status = world_.StatusOf("q1", id);
  EXPECT_EQ(status.state(), proto::BATCH_STATE_FINISHED);
  EXPECT_EQ(status.succeeded(), 10U);
  for (const std::string& result : world_.Results("q1", id)) {
    EXPECT_NE(result.find("first"), std::string::npos);
  }
  EXPECT_TRUE(world_.Acquire("q1", 5).empty());
}

TEST_F(QueueServiceTest, NewBatchWakesAPendingAcquire) {
  proto::AcquireWorkRequest request;
  request.add_capacity()->set_backend("model");
  request.mutable_capacity(0)->set_slots(3);
  request.set_hold_ms(2000);
  std::optional<proto::AcquireWorkResponse> response;
  const auto send_acquire = [&] {
    response.reset();
    world_.world.CallPeer(world_.world.machine("q1").endpoint(), "queue.AcquireWork",
                          request.SerializeAsString(), seconds(4), [&](const PeerReply& reply) {
                            response.emplace();
                            ASSERT_TRUE(response->ParseFromString(reply.body));
                          });
  };
  send_acquire();
  world_.world.RunFor(milliseconds(1000));
  EXPECT_FALSE(response.has_value());
  world_.Accept("q1", "key", 5);
  ASSERT_TRUE(world_.world.RunUntil([&] { return response.has_value(); }, milliseconds(100)));
  EXPECT_EQ(response->grants_size(), 0)
      << "a woken request gets no grants, because its gateway may have failed meanwhile";
  send_acquire();
  ASSERT_TRUE(world_.world.RunUntil([&] { return response.has_value(); }, milliseconds(100)));
  ASSERT_EQ(response->grants_size(), 3);
  EXPECT_GE(response->grants(0).start_within_ms(), 2000U);
  EXPECT_LE(response->grants(0).start_within_ms(), 2100U);
}

TEST_F(QueueServiceTest, ExpiredLeaseOfIdempotentItemIsRegranted) {
  world_.Accept("q1", "key", 1);
  const auto first = world_.Acquire("q1", 1);
  ASSERT_EQ(first.size(), 1U);
  world_.world.RunFor(seconds(4));
  EXPECT_TRUE(world_.Report("q1", {}, first)->ended_lease_ids().empty());
  world_.world.RunFor(seconds(4));
  EXPECT_TRUE(world_.Acquire("q1", 1).empty());
  world_.world.RunFor(seconds(2));
  const auto second = world_.Acquire("q1", 1);
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(second[0].lease_id(), first[0].lease_id());
  EXPECT_EQ(world_.Report("q1", {}, first)->ended_lease_ids_size(), 1);
}

TEST_F(QueueServiceTest, ExpiredLeaseOfNonIdempotentItemEndsAsUnknown) {
  const std::string id = world_.Accept("q1", "key", 1, "unlock");
  const auto grants = world_.Acquire("q1", 1);
  world_.world.RunFor(seconds(6));
  EXPECT_TRUE(world_.Acquire("q1", 1).empty());
  EXPECT_EQ(world_.StatusOf("q1", id).unknown(), 1U);
  EXPECT_TRUE(world_.Finish("q1", grants.at(0), "late").ok());
  EXPECT_EQ(world_.Results("q1", id), std::vector<std::string>{"0:3:"});
}

TEST_F(QueueServiceTest, ReturnedItemIsGrantedAgain) {
  world_.Accept("q1", "key", 1, "unlock");
  const auto first = world_.Acquire("q1", 1);
  ASSERT_TRUE(
      world_.Report("q1", {QueueWorld::MakeReport(first.at(0), WORK_DISPOSITION_NOT_RUN)}).ok());
  const auto second = world_.Acquire("q1", 1);
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second[0].item_index(), first[0].item_index());
}

TEST_F(QueueServiceTest, CancelStopsGrantsAndFinishesItems) {
  const std::string id = world_.Accept("q1", "key", 4, "unlock");
  const auto grants = world_.Acquire("q1", 2);
  ASSERT_EQ(grants.size(), 2U);
  proto::CancelBatchRequest cancel;
  cancel.set_batch_id(id);
  const auto cancelled = world_.Call<proto::CancelBatchResponse>("q1", "queue.CancelBatch", cancel);
  ASSERT_TRUE(cancelled.ok());
  EXPECT_EQ(cancelled->status().state(), proto::BATCH_STATE_CANCELLED);
  EXPECT_TRUE(world_.Acquire("q1", 5).empty());
  EXPECT_EQ(world_.Report("q1", {}, grants)->ended_lease_ids_size(), 2);
  EXPECT_TRUE(world_.Finish("q1", grants[0], "ran").ok());
  ASSERT_TRUE(
      world_.Report("q1", {QueueWorld::MakeReport(grants[1], WORK_DISPOSITION_NOT_RUN)}).ok());
  world_.world.RunFor(seconds(6));
  EXPECT_EQ(world_.Results("q1", id),
            (std::vector<std::string>{"0:1:ran", "1:4:", "2:4:", "3:4:"}));
  EXPECT_TRUE(world_.Call<proto::CancelBatchResponse>("q1", "queue.CancelBatch", cancel).ok());
}

TEST_F(QueueServiceTest, GrantsNothingWhilePaused) {
  world_.Accept("q1", "key", 2);
  world_.coordinator.configuration.mutable_batch()->set_paused(true);
  world_.PublishConfiguration();
  EXPECT_TRUE(world_.Acquire("q1", 2).empty());
  world_.coordinator.configuration.mutable_batch()->set_paused(false);
  world_.PublishConfiguration();
  EXPECT_EQ(world_.Acquire("q1", 2).size(), 2U);
}

TEST_F(QueueServiceTest, RejectsRequestsWithoutValidNodeLease) {
  const std::string id = world_.Accept("q1", "key", 1);
  world_.world.Cut("q1", "control");
  world_.world.RunFor(seconds(4));
  proto::GetBatchRequest get;
  get.set_batch_id(id);
  EXPECT_THAT(world_.Call<proto::GetBatchResponse>("q1", "queue.GetBatch", get),
              FailsWith(StatusCode::kUnavailable));
  EXPECT_THAT(world_.Submit("q1", QueueWorld::MakeBatch("new", 1)),
              FailsWith(StatusCode::kUnavailable));
}

TEST_F(QueueServiceTest, NeverReusesPositionsOfRemovedBatches) {
  world_.AddQueue("q2");
  world_.AddQueue("q3");
  const std::string old_id = world_.Accept("q1", "old", 1);
  EXPECT_TRUE(world_.Finish("q1", world_.Acquire("q1", 1).at(0)).ok());
  const std::uint64_t old_position = world_.StatusOf("q1", old_id).position();
  world_.coordinator.configuration.mutable_batch()->set_retention_s(1);
  world_.PublishConfiguration();
  ASSERT_TRUE(world_.world.RunUntil([&] { return world_.BatchIds("q1").empty(); }, seconds(60)));
  world_.FailOver("q1", "q2");
  world_.FailOver("q2", "q3");
  const std::string new_id = world_.Accept("q3", "new", 1);
  EXPECT_GT(world_.StatusOf("q3", new_id).position(), old_position + 1);
  EXPECT_EQ(world_.BatchIds("q3", "p" + std::to_string(old_position)),
            std::vector<std::string>{new_id});
}

class QueueRecoveryTest : public QueueServiceTest {
 protected:
  QueueRecoveryTest() {
    world_.AddQueue("q2");
    world_.AddQueue("q3");
  }
  std::vector<std::string> AcceptMany(int count, int items) {
    std::vector<std::string> ids(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      ids[static_cast<std::size_t>(i)] = world_.Accept("q1", "key" + std::to_string(i), items);
    }
    return ids;
  }
  /// Kills q1. q2 recovers its partition, but its report never reaches the coordinator; then q3
  /// recovers the partition and becomes its owner.
  void FailOverToQ3AfterQ2Replayed() {
    const std::uint64_t dead = world_.QueueId("q1");
    world_.world.machine("q1").Kill();
    world_.coordinator.DeclareDead(dead);
    world_.world.Cut("q2", "control");
    ASSERT_TRUE(world_.StartRecovery(dead, "q2").ok());
    world_.world.RunFor(milliseconds(500));
    ASSERT_TRUE(world_.StartRecovery(dead, "q3").ok());
    ASSERT_TRUE(world_.world.RunUntil([&] { return world_.IsOwner("q3"); }, seconds(5)));
    world_.world.HealAll();
    world_.world.RunFor(milliseconds(300));
  }
};

TEST_F(QueueRecoveryTest, NextOwnerKeepsListsAndResults) {
  const std::vector<std::string> ids = AcceptMany(5, 10);
  for (const auto& grant : world_.Acquire("q1", 12)) {
    EXPECT_TRUE(world_.Finish("q1", grant, "before").ok());
  }
  const auto results = world_.Results("q1", ids[0]);
  world_.FailOver("q1", "q2");
  EXPECT_EQ(world_.BatchIds("q2"), ids);
  EXPECT_EQ(world_.Results("q2", ids[0]), results);
  std::size_t remaining_items = 0;
  for (const auto& grant : world_.Acquire("q2", 100)) {
    EXPECT_TRUE(world_.Finish("q2", grant, "after").ok());
    ++remaining_items;
  }
  EXPECT_EQ(remaining_items, 38U);
  const auto later = world_.Results("q2", ids[0]);
  ASSERT_EQ(later.size(), 10U);
  EXPECT_TRUE(std::equal(results.begin(), results.end(), later.begin()));
  EXPECT_TRUE(world_.Submit("q2", QueueWorld::MakeBatch("key3", 10))->resent());
}

TEST_F(QueueRecoveryTest, StartedItemsEndAsUnknownOrWithLateResult) {
  const std::string id = world_.Accept("q1", "key", 3, "unlock");
  const auto grants = world_.Acquire("q1", 2);
  ASSERT_EQ(grants.size(), 2U);
  world_.FailOver("q1", "q2");
  const auto after = world_.Acquire("q2", 5);
  ASSERT_EQ(after.size(), 1U);
  EXPECT_EQ(after[0].item_index(), 2U);
  EXPECT_TRUE(world_.Finish("q2", grants[1], "ran at the old owner").ok());
  EXPECT_TRUE(world_.Finish("q2", after[0]).ok());
  world_.world.RunFor(seconds(6));
  EXPECT_EQ(world_.Results("q2", id),
            (std::vector<std::string>{"1:1:ran at the old owner", "2:1:done", "0:3:"}));
}

TEST_F(QueueRecoveryTest, AbandonedRecoveryLeavesNoBatches) {
  std::vector<std::string> ids = AcceptMany(4, 5);
  ASSERT_NO_FATAL_FAILURE(FailOverToQ3AfterQ2Replayed());
  ids.push_back(world_.Accept("q3", "late", 5));
  EXPECT_EQ(world_.BatchIds("q3"), ids);
  proto::GetBatchRequest get;
  get.set_batch_id(ids[0]);
  EXPECT_THAT(world_.Call<proto::GetBatchResponse>("q2", "queue.GetBatch", get),
              FailsWith(StatusCode::kConflict));
}

TEST_F(QueueRecoveryTest, SecondRecoveryIntoSameLogVoidsTheFirst) {
  const std::string first = world_.Accept("q1", "first", 5);
  ASSERT_NO_FATAL_FAILURE(FailOverToQ3AfterQ2Replayed());
  // At q3 the batch is finished and removed. The log of q2 still has the entries of its recovery.
  EXPECT_EQ(world_.BatchIds("q3"), std::vector<std::string>{first});
  for (const auto& grant : world_.Acquire("q3", 5)) {
    EXPECT_TRUE(world_.Finish("q3", grant).ok());
  }
  world_.coordinator.configuration.mutable_batch()->set_retention_s(1);
  world_.PublishConfiguration();
  ASSERT_TRUE(world_.world.RunUntil([&] { return world_.BatchIds("q3").empty(); }, seconds(60)));
  const std::string second = world_.Accept("q3", "second", 2);
  // q2 recovers the partition again, into the same log, and becomes its owner. Then that log is
  // replayed: the entries of the first recovery must not count.
  world_.FailOver("q3", "q2");
  EXPECT_EQ(world_.BatchIds("q2"), std::vector<std::string>{second});
  world_.world.machine("q1").Start();
  world_.world.RunFor(milliseconds(500));
  world_.FailOver("q2", "q1");
  EXPECT_EQ(world_.BatchIds("q1"), std::vector<std::string>{second});
  EXPECT_EQ(world_.Acquire("q1", 10).size(), 2U);
}

TEST_F(QueueRecoveryTest, FencedOwnerRegistersAgainUnderNewId) {
  world_.Accept("q1", "key", 2);
  const std::uint64_t first = world_.QueueId("q1");
  world_.world.machine("q1").Freeze();
  world_.coordinator.DeclareDead(first);
  ASSERT_TRUE(world_.StartRecovery(first, "q2").ok());
  ASSERT_TRUE(world_.world.RunUntil([&] { return world_.IsOwner("q2"); }, seconds(10)));
  world_.world.machine("q1").Wake();
  EXPECT_FALSE(world_.Submit("q1", QueueWorld::MakeBatch("late", 1)).ok());
  world_.world.RunFor(seconds(2));
  EXPECT_NE(world_.QueueId("q1"), first);
  EXPECT_NE(world_.QueueId("q1"), 0U);
  EXPECT_EQ(world_.BatchIds("q2").size(), 1U);
}

}  // namespace
}  // namespace cloverbank
