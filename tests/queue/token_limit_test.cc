// The limit of a route's open tokens, over partitions that several queue nodes own.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

#include "control_client/batch_partitions.h"
#include "control_client/overload_rejection.h"
#include "queue/queue_world.h"
#include "routes/route_reference.h"

namespace cloverbank {
namespace {

constexpr std::uint32_t kPartitions = 3;
constexpr std::uint64_t kLimit = 1000;
constexpr std::uint64_t kItemTokens = 100;

class TokenLimitTest : public testing::Test {
 protected:
  TokenLimitTest() : world_(5) {
    for (std::uint64_t id = 0; id < kPartitions; ++id) {
      world_.coordinator.Assign(id, 0);
    }
    for (std::uint64_t id = 0; id < kPartitions; ++id) {
      world_.AddQueue(NodeName(id));
      world_.AssignPartition(NodeName(id), id);
    }
  }

  static std::string NodeName(std::uint64_t partition) { return "q" + std::to_string(partition); }
  static std::uint64_t QuotaOwner() { return PartitionForTenant("studio", kPartitions).value(); }

  Result<proto::SubmitBatchResponse> Submit(std::uint64_t partition, const std::string& key,
                                            int items, std::uint64_t limit = kLimit) {
    return world_.Submit(NodeName(partition), MakeBatch(partition, key, items, limit));
  }
  static proto::SubmitBatchRequest MakeBatch(std::uint64_t partition, const std::string& key,
                                             int items, std::uint64_t limit) {
    proto::SubmitBatchRequest request = QueueWorld::MakeBatch(key, items);
    request.set_partition_id(partition);
    request.mutable_batch()->set_batch_id(key);
    request.mutable_batch()->set_open_token_limit(limit);
    for (proto::BatchItem& item : *request.mutable_batch()->mutable_items()) {
      item.set_tokens(kItemTokens);
    }
    return request;
  }
  /// Submits a batch that may wait for capacity, without waiting for its answer.
  void SubmitWaiting(std::uint64_t partition, const std::string& key, int items, Duration wait) {
    proto::SubmitBatchRequest request = MakeBatch(partition, key, items, kLimit);
    request.set_wait_ms(
        static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(wait).count()));
    world_.world.CallPeer(world_.world.machine(NodeName(partition)).endpoint(), "queue.SubmitBatch",
                          request.SerializeAsString(), seconds(5),
                          [this, key](const PeerReply& reply) {
                            answers_[key] = {reply.status.code(), world_.world.Now()};
                          });
  }
  struct Answer {
    StatusCode code = StatusCode::kOk;
    TimePoint at;
  };
  /// Runs the world for 1 s and checks that the batch was rejected between `earliest` and `latest`
  /// after `sent`.
  void ExpectRejectedAfter(const std::string& key, TimePoint sent, Duration earliest,
                           Duration latest) {
    world_.world.RunFor(seconds(1));
    ASSERT_TRUE(answers_.contains(key));
    EXPECT_EQ(answers_[key].code, StatusCode::kResourceExhausted);
    EXPECT_GE(answers_[key].at - sent, earliest);
    EXPECT_LE(answers_[key].at - sent, latest);
  }

  void FinishAll(std::uint64_t partition) {
    for (const proto::WorkGrant& grant : world_.Acquire(NodeName(partition), 100)) {
      EXPECT_TRUE(world_.Finish(NodeName(partition), grant).ok());
    }
  }

  QueueWorld world_;
  std::map<std::string, Answer> answers_;
};

TEST_F(TokenLimitTest, LimitsTheSumOverAllPartitions) {
  EXPECT_THAT(Submit(0, "a", 4), IsOk());
  EXPECT_THAT(Submit(1, "b", 4), IsOk());
  EXPECT_THAT(Submit(2, "c", 3), FailsWith(StatusCode::kResourceExhausted));
  EXPECT_THAT(Submit(2, "d", 2), IsOk());
  EXPECT_THAT(Submit(0, "e", 1), FailsWith(StatusCode::kResourceExhausted));
}

TEST_F(TokenLimitTest, FinishedItemsFreeCapacityEverywhere) {
  EXPECT_THAT(Submit(1, "a", 10), IsOk());
  EXPECT_THAT(Submit(2, "b", 5), FailsWith(StatusCode::kResourceExhausted));
  FinishAll(1);
  world_.world.RunFor(milliseconds(200));
  EXPECT_THAT(Submit(2, "b", 5), IsOk());
}

// Guards against a new name of the route opening its whole limit again.
TEST_F(TokenLimitTest, TheLimitHoldsAcrossARenameOfTheRoute) {
  auto first = MakeBatch(0, "first", 6, kLimit);
  first.set_quota_key("/audit/");
  ASSERT_THAT(world_.Submit(NodeName(0), first), IsOk());
  auto second = MakeBatch(1, "second", 5, kLimit);
  second.mutable_batch()->set_route("renamed");
  second.set_quota_key("/audit/");
  EXPECT_THAT(world_.Submit(NodeName(1), second), FailsWith(StatusCode::kResourceExhausted));
  FinishAll(0);
  world_.world.RunFor(seconds(1));
  EXPECT_THAT(world_.Submit(NodeName(1), second), IsOk());
}

// Guards against batches that an older build accepted falling out of the count after an upgrade.
TEST_F(TokenLimitTest, CountsBatchesWithoutAQuotaKeyByTheirPath) {
  auto older = MakeBatch(0, "older", 6, kLimit);
  *older.mutable_route_reference() = ReferenceByPath("studio", "/audit/older");
  ASSERT_THAT(world_.Submit(NodeName(0), older), IsOk());
  auto newer = MakeBatch(1, "newer", 5, kLimit);
  newer.set_quota_key("/audit/");
  EXPECT_THAT(world_.Submit(NodeName(1), newer), FailsWith(StatusCode::kResourceExhausted));
  newer.set_quota_key("/other/");
  EXPECT_THAT(world_.Submit(NodeName(1), newer), IsOk());
}

TEST_F(TokenLimitTest, RejectedBatchUsesNoCapacity) {
  EXPECT_THAT(Submit(0, "a", 6), IsOk());
  EXPECT_THAT(Submit(1, "b", 5), FailsWith(StatusCode::kResourceExhausted));
  EXPECT_THAT(Submit(2, "c", 4), IsOk());
}

TEST_F(TokenLimitTest, ConcurrentBatchesStayWithinTheLimit) {
  int accepted = 0;
  int answers = 0;
  for (int batch = 0; batch < 30; ++batch) {
    const std::uint64_t partition = static_cast<std::uint64_t>(batch) % kPartitions;
    world_.world.CallPeer(
        world_.world.machine(NodeName(partition)).endpoint(), "queue.SubmitBatch",
        MakeBatch(partition, "k" + std::to_string(batch), 1, kLimit).SerializeAsString(),
        seconds(5), [&](const PeerReply& reply) {
          ++answers;
          accepted += reply.status.ok() ? 1 : 0;
        });
  }
  ASSERT_TRUE(world_.world.RunUntil([&] { return answers == 30; }, seconds(10)));
  EXPECT_EQ(accepted, 10);
}

TEST_F(TokenLimitTest, ResendJoinsTheWaitingSubmission) {
  int accepted = 0;
  int answers = 0;
  for (int copy = 0; copy < 3; ++copy) {
    world_.world.CallPeer(world_.world.machine(NodeName(1)).endpoint(), "queue.SubmitBatch",
                          MakeBatch(1, "same", 6, kLimit).SerializeAsString(), seconds(5),
                          [&](const PeerReply& reply) {
                            ++answers;
                            accepted += reply.status.ok() ? 1 : 0;
                          });
  }
  ASSERT_TRUE(world_.world.RunUntil([&] { return answers == 3; }, seconds(10)));
  EXPECT_EQ(accepted, 3);
  EXPECT_THAT(Submit(0, "other", 4), IsOk()) << "the tokens of resent submissions must count once";
}

TEST_F(TokenLimitTest, AcceptsWaitingBatchOnceCapacityIsFree) {
  EXPECT_THAT(Submit(1, "a", 10), IsOk());
  SubmitWaiting(2, "b", 5, milliseconds(600));
  world_.world.RunFor(milliseconds(200));
  EXPECT_FALSE(answers_.contains("b"));
  FinishAll(1);
  world_.world.RunFor(milliseconds(300));
  ASSERT_TRUE(answers_.contains("b"));
  EXPECT_EQ(answers_["b"].code, StatusCode::kOk);
}

TEST_F(TokenLimitTest, RejectsBatchWhenItsWaitTimeIsOver) {
  EXPECT_THAT(Submit(1, "a", 10), IsOk());
  const TimePoint sent = world_.world.Now();
  SubmitWaiting(2, "b", 5, milliseconds(300));
  ExpectRejectedAfter("b", sent, milliseconds(300), milliseconds(450));
}

TEST_F(TokenLimitTest, RejectsBatchAboveTheLimitAtOnce) {
  EXPECT_THAT(Submit(1, "a", 10), IsOk());
  EXPECT_THAT(Submit(2, "counted", 5), FailsWith(StatusCode::kResourceExhausted));
  const TimePoint sent = world_.world.Now();
  SubmitWaiting(2, "b", 11, milliseconds(300));
  ExpectRejectedAfter("b", sent, Duration::zero(), milliseconds(50));
}

TEST_F(TokenLimitTest, WaitingBatchesStayWithinTheLimit) {
  EXPECT_THAT(Submit(1, "a", 10), IsOk());
  for (std::uint64_t batch = 0; batch < 12; ++batch) {
    SubmitWaiting(batch % kPartitions, "w" + std::to_string(batch), 2, milliseconds(600));
  }
  world_.world.RunFor(milliseconds(100));
  FinishAll(1);
  world_.world.RunFor(seconds(2));
  ASSERT_EQ(answers_.size(), 12U);
  const auto accepted = std::count_if(answers_.begin(), answers_.end(), [](const auto& answer) {
    return answer.second.code == StatusCode::kOk;
  });
  EXPECT_EQ(accepted, 5);
}

TEST_F(TokenLimitTest, RetriedBatchIsGrantedBeforeNewBatch) {
  EXPECT_THAT(Submit(1, "a", 5), IsOk());
  EXPECT_THAT(Submit(2, "b", 5), IsOk());
  const auto refused = Submit(0, "retried", 5);
  ASSERT_EQ(refused.status().code(), StatusCode::kResourceExhausted);
  ASSERT_TRUE(RetryAfter(refused.status()).has_value());
  world_.world.RunFor(*RetryAfter(refused.status()));
  SubmitWaiting(2, "newcomer", 5, milliseconds(600));
  world_.world.RunFor(milliseconds(20));
  SubmitWaiting(0, "retried", 5, milliseconds(600));
  world_.world.RunFor(milliseconds(20));
  FinishAll(1);
  world_.world.RunFor(milliseconds(300));
  EXPECT_TRUE(answers_.contains("retried"));
  EXPECT_EQ(answers_["retried"].code, StatusCode::kOk);
  EXPECT_FALSE(answers_.contains("newcomer"));
}

TEST_F(TokenLimitTest, AbandonedBatchReservesNoCapacity) {
  EXPECT_THAT(Submit(1, "a", 5), IsOk());
  EXPECT_THAT(Submit(2, "b", 5), IsOk());
  EXPECT_FALSE(Submit(0, "abandoned", 5).ok());
  FinishAll(1);
  world_.world.RunFor(milliseconds(200));
  EXPECT_THAT(Submit(2, "newcomer", 5), IsOk());
}

TEST_F(TokenLimitTest, SmallNewBatchesDoNotStarveALargeBatch) {
  EXPECT_THAT(Submit(1, "a", 4), IsOk());
  EXPECT_THAT(Submit(2, "b", 6), IsOk());
  SubmitWaiting(0, "large", 9, milliseconds(900));
  world_.world.RunFor(milliseconds(50));
  FinishAll(1);
  world_.world.RunFor(milliseconds(200));
  EXPECT_FALSE(Submit(1, "small", 1).ok()) << "freed capacity is reserved for the waiting batch";
  FinishAll(2);
  world_.world.RunFor(milliseconds(300));
  EXPECT_EQ(answers_["large"].code, StatusCode::kOk);
}

TEST_F(TokenLimitTest, NewQuotaOwnerCountsBeforeItGrants) {
  EXPECT_THAT(Submit((QuotaOwner() + 1) % kPartitions, "a", 8), IsOk());
  const std::uint64_t successor = (QuotaOwner() + 2) % kPartitions;
  world_.FailOver(NodeName(QuotaOwner()), NodeName(successor), QuotaOwner());
  world_.world.RunFor(seconds(3));
  EXPECT_THAT(Submit(successor, "b", 3), FailsWith(StatusCode::kResourceExhausted));
  EXPECT_THAT(Submit(successor, "c", 2), IsOk());
}

TEST_F(TokenLimitTest, RejectsBatchesWithoutAQuotaOwner) {
  const std::uint64_t other = (QuotaOwner() + 1) % kPartitions;
  world_.world.machine(NodeName(QuotaOwner())).Kill();
  const auto refused = Submit(other, "a", 1);
  EXPECT_THAT(refused, FailsWith(StatusCode::kConflict));
  EXPECT_EQ(refused.status().detail(), kQuotaOwnerUnavailableDetail);
  proto::GetBatchRequest request;
  request.set_partition_id(other);
  request.set_batch_id("a");
  EXPECT_THAT(world_.Call<proto::GetBatchResponse>(NodeName(other), "queue.GetBatch", request),
              FailsWith(StatusCode::kNotFound));
}

TEST_F(TokenLimitTest, UsesAllowanceWithoutAQuotaOwner) {
  const std::uint64_t other = (QuotaOwner() + 1) % kPartitions;
  EXPECT_THAT(Submit(other, "counted", 1), IsOk());
  EXPECT_THAT(Submit(other, "a", 1), IsOk());
  world_.world.machine(NodeName(QuotaOwner())).Kill();
  EXPECT_THAT(Submit(other, "b", 1), IsOk());
  const auto beyond = Submit(other, "c", 1);
  EXPECT_EQ(beyond.status().detail(), kQuotaOwnerUnavailableDetail)
      << "the batch exceeds the allowance";
}

TEST_F(TokenLimitTest, FinishedItemsRefillTheAllowance) {
  const std::uint64_t other = (QuotaOwner() + 1) % kPartitions;
  EXPECT_THAT(Submit(other, "a", 10), IsOk());
  EXPECT_THAT(Submit(other, "b", 5), FailsWith(StatusCode::kResourceExhausted));
  world_.world.machine(NodeName(QuotaOwner())).Kill();
  EXPECT_FALSE(Submit(other, "b", 5).ok());
  FinishAll(other);
  EXPECT_THAT(Submit(other, "b", 5), IsOk());
  EXPECT_FALSE(Submit(other, "c", 6).ok());
}

TEST_F(TokenLimitTest, AllowancesStayWithinTheLimit) {
  const std::uint64_t other = (QuotaOwner() + 1) % kPartitions;
  const std::uint64_t successor = (QuotaOwner() + 2) % kPartitions;
  std::uint64_t accepted = Submit(other, "a", 1).ok() ? 1 : 0;
  accepted += Submit(successor, "b", 1).ok() ? 1 : 0;
  world_.world.machine(NodeName(QuotaOwner())).Kill();
  for (int batch = 0; batch < 12; ++batch) {
    accepted += Submit(other, "o" + std::to_string(batch), 1).ok() ? 1 : 0;
    accepted += Submit(successor, "h" + std::to_string(batch), 1).ok() ? 1 : 0;
  }
  EXPECT_GT(accepted, 2U);
  world_.FailOver(NodeName(QuotaOwner()), NodeName(successor), QuotaOwner());
  world_.world.RunFor(seconds(3));
  for (int batch = 0; batch < 12; ++batch) {
    accepted += Submit(successor, "n" + std::to_string(batch), 1).ok() ? 1 : 0;
  }
  EXPECT_EQ(accepted * kItemTokens, kLimit);
}

TEST_F(TokenLimitTest, UnlimitedRouteNeedsNoQuotaOwner) {
  const std::uint64_t other = (QuotaOwner() + 1) % kPartitions;
  world_.world.machine(NodeName(QuotaOwner())).Kill();
  EXPECT_THAT(Submit(other, "a", 50, 0), IsOk());
}

}  // namespace
}  // namespace cloverbank
