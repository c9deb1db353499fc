// Which reads of batch results contradict earlier ones.
#include "gateway/result_witness.h"

#include <gtest/gtest.h>

namespace cloverbank {
namespace {

class ResultWitnessTest : public ::testing::Test {
 protected:
  static constexpr std::uint64_t kFirstOwner = 4;
  static constexpr std::uint64_t kNextOwner = 9;

  /// Shows a page of completed items, each with its id as its text.
  std::optional<ResultContradiction> Show(std::uint64_t position,
                                          const std::vector<std::string_view>& items,
                                          std::uint64_t owner = kFirstOwner) {
    ShownPage page{position, owner, {}};
    for (const std::string_view item : items) {
      page.results.push_back({item, true, item});
    }
    return witness.Record(batch, page, witness.CountShown(batch));
  }

  ResultWitness witness{2};
  WitnessedBatch batch{"shop.example", "b1"};
};

TEST_F(ResultWitnessTest, AcceptsRepeatedOverlappingAndLongerPages) {
  EXPECT_FALSE(Show(0, {"a", "b"}));
  EXPECT_FALSE(Show(0, {"a", "b", "c"}, kNextOwner));
  EXPECT_FALSE(Show(1, {"b", "c", "d"}));
  EXPECT_FALSE(Show(4, {}));
  EXPECT_EQ(witness.CountShown(batch), 4U);
}

TEST_F(ResultWitnessTest, FindsAnotherItemAtAPosition) {
  Show(0, {"a", "b"});
  const auto found = Show(0, {"a", "c"}, kNextOwner);
  ASSERT_TRUE(found);
  EXPECT_EQ(found->kind, ContradictionKind::kChanged);
  EXPECT_EQ(found->position, 1U);
  EXPECT_EQ(found->earlier_owner, kFirstOwner);
}

TEST_F(ResultWitnessTest, FindsAnotherTextOrStateOfAnItem) {
  Show(0, {"a", "b"});
  EXPECT_TRUE(witness.Record(batch, {0, kNextOwner, {{"a", true, "other"}}}, 2));
  EXPECT_TRUE(witness.Record(batch, {1, kNextOwner, {{"b", false, "b"}}}, 2));
}

TEST_F(ResultWitnessTest, FindsAnItemAtTwoPositions) {
  Show(0, {"a", "b"});
  const auto found = Show(2, {"a"}, kNextOwner);
  ASSERT_TRUE(found);
  EXPECT_EQ(found->kind, ContradictionKind::kMoved);
  EXPECT_EQ(found->position, 2U);
  EXPECT_EQ(found->earlier_position, 0U);
}

TEST_F(ResultWitnessTest, FindsAResultThatIsGone) {
  Show(0, {"a", "b"});
  const auto found = Show(1, {}, kNextOwner);
  ASSERT_TRUE(found);
  EXPECT_EQ(found->kind, ContradictionKind::kMissing);
  EXPECT_EQ(found->position, 1U);
}

// Guards against a false alarm by a response that is older than a page shown meanwhile.
TEST_F(ResultWitnessTest, AcceptsAnOlderResponseThatArrivesLate) {
  const std::uint64_t shown_before = witness.CountShown(batch);
  Show(0, {"a", "b"});
  EXPECT_FALSE(witness.Record(batch, {0, kFirstOwner, {}}, shown_before));
}

TEST_F(ResultWitnessTest, ForgetsTheBatchThatWasReadLongestAgo) {
  Show(0, {"a"});
  witness.Record({"shop.example", "b2"}, {0, kFirstOwner, {}}, 0);
  Show(1, {"b"});
  witness.Record({"shop.example", "b3"}, {0, kFirstOwner, {}}, 0);
  EXPECT_EQ(witness.CountShown(batch), 2U);
  witness.Record({"shop.example", "b2"}, {0, kFirstOwner, {}}, 0);
  witness.Record({"shop.example", "b3"}, {0, kFirstOwner, {}}, 0);
  EXPECT_EQ(witness.CountShown(batch), 0U);
}

// Guards against mixing up the batches of two hosts that chose the same id.
TEST_F(ResultWitnessTest, KeepsBatchesOfTwoTenantsApart) {
  Show(0, {"a"});
  EXPECT_FALSE(witness.Record({"game.example", "b1"}, {0, kFirstOwner, {{"z", true, "z"}}}, 0));
}

}  // namespace
}  // namespace cloverbank
