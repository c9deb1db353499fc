#include "scheduler/fair_queue.h"

#include <gtest/gtest.h>

#include <map>

namespace cloverbank {
namespace {

/// @return `count` items that all have the same prefix.
std::vector<OrderedItem> SamePrefixItems(std::uint32_t count) {
  return GroupByPrefix(
      count, [](std::uint32_t) { return std::string_view("same"); },
      [](std::uint32_t) { return true; });
}

TEST(GroupByPrefixTest, OrdersGroupsByTheirFirstItems) {
  const std::vector<std::string> keys = {"a", "b", "a", "c", "b", "a"};
  const auto items = GroupByPrefix(
      6, [&](std::uint32_t index) { return std::string_view{keys[index]}; },
      [](std::uint32_t index) { return index != 2; });
  std::vector<std::uint32_t> order;
  std::vector<std::uint32_t> starts;
  for (const OrderedItem& item : items) {
    order.push_back(item.index);
    starts.push_back(item.starts_group);
  }
  EXPECT_EQ(order, (std::vector<std::uint32_t>{0, 5, 1, 4, 3}));
  EXPECT_EQ(starts, (std::vector<std::uint32_t>{1, 0, 1, 0, 1}));
}

TEST(FairQueueTest, SharesByWeightRegardlessOfBacklog) {
  FairQueue queue;
  queue.SetTenantWeight("heavy", 3);
  const QueuedBatchId large = queue.AddBatch("light", {"model"}, SamePrefixItems(420'000));
  const QueuedBatchId small = queue.AddBatch("heavy", {"model"}, SamePrefixItems(3'000));
  std::map<QueuedBatchId, int> served;
  for (int i = 0; i < 400; ++i) {
    for (const PickedItem& item : queue.Pick("model", 1)) {
      ++served[item.batch];
    }
  }
  EXPECT_EQ(served[small], 300);
  EXPECT_EQ(served[large], 100);
}

TEST(FairQueueTest, SharesEquallyAmongBatchesOfATenant) {
  FairQueue queue;
  const QueuedBatchId first = queue.AddBatch("tenant", {"model"}, SamePrefixItems(1000));
  std::ignore = queue.Pick("model", 500);
  const QueuedBatchId second = queue.AddBatch("tenant", {"model"}, SamePrefixItems(1000));
  std::map<QueuedBatchId, int> served;
  for (const PickedItem& item : queue.Pick("model", 160)) {
    ++served[item.batch];
  }
  EXPECT_EQ(served[first], 80);
  EXPECT_EQ(served[second], 80);
}

TEST(FairQueueTest, LateTenantGetsNoMoreThanItsShare) {
  FairQueue queue;
  queue.AddBatch("busy", {"model"}, SamePrefixItems(10'000));
  std::ignore = queue.Pick("model", 5'000);
  const QueuedBatchId late = queue.AddBatch("late", {"model"}, SamePrefixItems(10'000));
  int late_served = 0;
  for (const PickedItem& item : queue.Pick("model", 160)) {
    late_served += item.batch == late ? 1 : 0;
  }
  EXPECT_EQ(late_served, 80);
}

TEST(FairQueueTest, PicksEachItemOnceAndReturnedItemsFirst) {
  FairQueue queue;
  const QueuedBatchId batch = queue.AddBatch("tenant", {"model"}, SamePrefixItems(20));
  std::set<std::uint32_t> seen;
  for (const PickedItem& item : queue.Pick("model", 15)) {
    EXPECT_TRUE(seen.insert(item.index).second);
  }
  queue.ReturnItem(batch, 3);
  EXPECT_EQ(queue.waiting_count(), 6U);
  const auto next = queue.Pick("model", 1);
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(next[0].index, 3U);
  EXPECT_EQ(queue.Pick("model", 100).size(), 5U);
  EXPECT_FALSE(queue.HasWaiting("model"));
  queue.ReturnItem(batch, 7);
  EXPECT_TRUE(queue.HasWaiting("model"));
}

TEST(FairQueueTest, PicksItemsOfOnePrefixInSuccession) {
  FairQueue queue;
  const auto prefix_of = [](std::uint32_t index) {
    return std::string_view(index % 2 == 0 ? "even" : "odd");
  };
  const auto always = [](std::uint32_t) { return true; };
  queue.AddBatch("one", {"model"}, GroupByPrefix(8, prefix_of, always));
  queue.AddBatch("two", {"model"}, GroupByPrefix(8, prefix_of, always));
  const auto picked = queue.Pick("model", 16);
  ASSERT_EQ(picked.size(), 16U);
  for (std::size_t i = 0; i < 16; i += 4) {
    for (std::size_t j = i + 1; j < i + 4; ++j) {
      EXPECT_EQ(picked[j].batch, picked[i].batch);
      EXPECT_EQ(picked[j].index % 2, picked[i].index % 2);
    }
  }
}

TEST(FairQueueTest, RemovedAndMovedBatchesAreNotPicked) {
  FairQueue queue;
  const QueuedBatchId removed = queue.AddBatch("tenant", {"model"}, SamePrefixItems(5));
  const QueuedBatchId moved = queue.AddBatch("tenant", {"model"}, SamePrefixItems(5));
  queue.RemoveBatch(removed);
  queue.SetBackends(moved, {"other"});
  EXPECT_TRUE(queue.Pick("model", 10).empty());
  EXPECT_EQ(queue.Pick("other", 10).size(), 5U);
  EXPECT_EQ(queue.waiting_count(), 0U);
}

// Guards against a batch of a split route waiting at one of its backends alone (review/2).
TEST(FairQueueTest, ABatchOfSeveralBackendsIsPickedOnceForAnyOfThem) {
  FairQueue queue;
  const QueuedBatchId split = queue.AddBatch("tenant", {"one", "two"}, SamePrefixItems(3));
  const QueuedBatchId single = queue.AddBatch("tenant", {"two"}, SamePrefixItems(2));
  EXPECT_EQ(queue.Pick("one", 1).size(), 1U);
  std::map<QueuedBatchId, int> served;
  for (const PickedItem& item : queue.Pick("two", 10)) {
    ++served[item.batch];
  }
  EXPECT_EQ(served[split], 2);
  EXPECT_EQ(served[single], 2);
  EXPECT_FALSE(queue.HasWaiting("one"));
  EXPECT_FALSE(queue.HasWaiting("two"));
  queue.ReturnItem(split, 0);
  EXPECT_TRUE(queue.HasWaiting("one"));
  queue.SetBackends(split, {"two"});
  EXPECT_FALSE(queue.HasWaiting("one"));
  EXPECT_EQ(queue.Pick("two", 10).size(), 1U);
  EXPECT_EQ(queue.waiting_count(), 0U);
}

}  // namespace
}  // namespace cloverbank
