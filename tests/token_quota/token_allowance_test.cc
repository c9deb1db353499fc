#include "token_quota/token_allowance.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "support/test_seeds.h"
#include "token_quota/token_usage.h"

namespace cloverbank {
namespace {

TEST(TokenAllowanceTest, IsZeroBeforeTheFirstCount) {
  TokenAllowance allowance;
  allowance.RecordGrant(50);
  EXPECT_EQ(allowance.Remaining(0), 0U);
}

TEST(TokenAllowanceTest, GrowsByFinishedAndGrantedTokens) {
  TokenAllowance allowance;
  allowance.RecordCount(100);
  EXPECT_EQ(allowance.Remaining(100), 0U);
  EXPECT_EQ(allowance.Remaining(70), 30U);
  allowance.RecordGrant(25);
  EXPECT_EQ(allowance.Remaining(100), 25U);
  EXPECT_EQ(allowance.Remaining(130), 0U);
}

TEST(TokenAllowanceTest, CountRevokesGrants) {
  TokenAllowance allowance;
  allowance.RecordCount(0);
  allowance.RecordGrant(40);
  allowance.RecordCount(10);
  EXPECT_EQ(allowance.Remaining(10), 0U);
}

TEST(TokenAllowanceTest, DropRemovesOnlyThatPartition) {
  TokenAllowances allowances;
  allowances[{PartitionId(1), "studio", "audit"}].RecordCount(10);
  allowances[{PartitionId(2), "studio", "audit"}].RecordCount(10);
  allowances.Drop(PartitionId(1));
  EXPECT_EQ((allowances[{PartitionId(1), "studio", "audit"}].Remaining(0)), 0U);
  EXPECT_EQ((allowances[{PartitionId(2), "studio", "audit"}].Remaining(0)), 10U);
}

/// A partition owner and a quota owner that lose or delay each other's answers. Each step takes one
/// random action: a count, a grant, the arrival of an answer, finished tokens, or batches accepted
/// within the allowance. The upper bound must never fall below the open tokens.
class LossyQuotaModel {
 public:
  explicit LossyQuotaModel(std::uint64_t seed) : random_(seed) { Count(); }

  void Step() {
    switch (random_() % 5) {
      case 0:
        return Count();
      case 1:
        return Grant();
      case 2:
        return DeliverOne();
      case 3:
        open_ -= std::min<std::uint64_t>(open_, random_() % 50);
        return;
      default:
        const std::uint64_t remaining = allowance_.Remaining(open_);
        open_ += remaining == 0 ? 0 : random_() % (remaining + 1);
    }
  }
  std::uint64_t open() const { return open_; }
  std::uint64_t bound() const { return usage_.UpperBound(); }

 private:
  struct PendingAnswer {
    std::uint64_t sequence;
    std::uint64_t tokens;
    std::uint64_t allowance;
  };
  void Count() {
    allowance_.RecordCount(open_);
    std::set<std::uint64_t> pending;
    for (const PendingAnswer& answer : answers_) {
      pending.insert(answer.sequence);
    }
    if (random_() % 4 != 0) {  // Otherwise the answer is lost.
      usage_.ApplyCount({PartitionId(0), NodeId(1), open_, next_sequence_, pending});
    }
  }
  void Grant() {
    const PendingAnswer answer{next_sequence_++, random_() % 100, random_() % 30};
    usage_.AddGrant({PartitionId(0), NodeId(1), answer.sequence, answer.tokens + answer.allowance});
    answers_.push_back(answer);
  }
  void DeliverOne() {
    if (answers_.empty()) {
      return;
    }
    const auto chosen = answers_.begin() + static_cast<std::ptrdiff_t>(random_() % answers_.size());
    if (random_() % 4 != 0) {  // Otherwise the request has timed out.
      allowance_.RecordGrant(chosen->tokens + chosen->allowance);
      open_ += chosen->tokens;
    }
    answers_.erase(chosen);
  }

  std::mt19937_64 random_;
  TokenUsage usage_;
  TokenAllowance allowance_;
  std::uint64_t open_ = 0;
  std::uint64_t next_sequence_ = 1;
  std::vector<PendingAnswer> answers_;
};

TEST(TokenAllowanceTest, UpperBoundNeverFallsBelowOpenTokens) {
  for (const std::uint64_t seed : TestSeeds(20)) {
    LossyQuotaModel model(seed);
    for (int step = 0; step < 2000; ++step) {
      model.Step();
      ASSERT_GE(model.bound(), model.open()) << "seed " << seed << ", step " << step;
    }
  }
}

}  // namespace
}  // namespace cloverbank
