// Orders that name no version to build on are carried out in the order in which they were wanted.
#include "leader/order_revisions.h"

#include <gtest/gtest.h>

namespace cloverbank {
namespace {

constexpr char kZone[] = "zone \"a\"";

class OrderRevisionsTest : public testing::Test {
 protected:
  std::uint64_t next_random_ = 0;
  OrderRevisions revisions_{[this] { return next_random_++; }};
};

TEST_F(OrderRevisionsTest, RevisionIsNeverZeroAndStaysUntilItIsUsed) {
  const std::uint64_t revision = revisions_.Get(kZone);
  EXPECT_NE(revision, 0U);
  EXPECT_EQ(revisions_.Get(kZone), revision);
  EXPECT_TRUE(revisions_.Advance(kZone, revision, "start"));
  EXPECT_NE(revisions_.Get(kZone), revision);
}

// Guards against an order that is held up and undoes a newer one (issue 54, EVAC).
TEST_F(OrderRevisionsTest, RefusesAnOrderThatANewerOneHasOvertaken) {
  const std::uint64_t old_revision = revisions_.Get(kZone);
  ASSERT_TRUE(revisions_.Advance(kZone, old_revision, "end"));
  ASSERT_TRUE(revisions_.Advance(kZone, revisions_.Get(kZone), "start"));
  EXPECT_FALSE(revisions_.Advance(kZone, old_revision, "end"));
}

TEST_F(OrderRevisionsTest, RefusesAnotherOrderOnTheSameRevision) {
  const std::uint64_t revision = revisions_.Get(kZone);
  ASSERT_TRUE(revisions_.Advance(kZone, revision, "start"));
  EXPECT_FALSE(revisions_.Advance(kZone, revision, "end"));
}

TEST_F(OrderRevisionsTest, AdmitsTheLastOrderAgain) {
  const std::uint64_t revision = revisions_.Get(kZone);
  ASSERT_TRUE(revisions_.Advance(kZone, revision, "start"));
  EXPECT_TRUE(revisions_.Advance(kZone, revision, "start"));
}

TEST_F(OrderRevisionsTest, RefusesOrdersWithoutARevision) {
  EXPECT_FALSE(revisions_.Advance(kZone, 0, "end"));
  revisions_.Get(kZone);
  EXPECT_FALSE(revisions_.Advance(kZone, 0, "end"));
}

TEST_F(OrderRevisionsTest, RevisionsEndWithTheTerm) {
  const std::uint64_t revision = revisions_.Get(kZone);
  revisions_.Clear();
  EXPECT_FALSE(revisions_.Advance(kZone, revision, "end"));
  revisions_.Get(kZone);
  EXPECT_FALSE(revisions_.Advance(kZone, revision, "end"));
}

TEST_F(OrderRevisionsTest, ObjectsHaveRevisionsOfTheirOwn) {
  const std::uint64_t revision = revisions_.Get(kZone);
  revisions_.Advance("zone \"b\"", revisions_.Get("zone \"b\""), "start");
  EXPECT_TRUE(revisions_.Advance(kZone, revision, "start"));
}

}  // namespace
}  // namespace cloverbank
