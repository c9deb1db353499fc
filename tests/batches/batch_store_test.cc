#include "batches/batch_store.h"

#include <gtest/gtest.h>

#include "batches/partition_replay.h"

namespace cloverbank {
namespace {

/// Writes entries with rising sequences.
class EntryWriter {
 public:
  proto::LogEntry Items(const std::string& batch, std::uint64_t first, int count) {
    proto::LogEntry entry = Next();
    entry.mutable_batch_items()->set_batch_id(batch);
    entry.mutable_batch_items()->set_first_index(first);
    for (int i = 0; i < count; ++i) {
      entry.mutable_batch_items()->add_items()->set_custom_id("item" + std::to_string(first + i));
    }
    return entry;
  }
  proto::LogEntry Accepted(const std::string& batch, const std::string& tenant, int count) {
    proto::LogEntry entry = Next();
    proto::BatchAccepted* accepted = entry.mutable_batch_accepted();
    accepted->set_batch_id(batch);
    accepted->set_tenant(tenant);
    accepted->set_idempotency_key("key-" + batch);
    accepted->set_item_count(count);
    return entry;
  }
  proto::LogEntry Finished(const std::string& batch, std::uint64_t index,
                           const std::string& output) {
    proto::LogEntry entry = Next();
    proto::ItemFinished* finished = entry.mutable_item_finished();
    finished->set_batch_id(batch);
    finished->set_item_index(index);
    finished->set_outcome(proto::ITEM_OUTCOME_SUCCEEDED);
    finished->set_output(output);
    finished->set_finished_at_ms(50);
    return entry;
  }
  proto::LogEntry Next() {
    proto::LogEntry entry;
    entry.set_sequence(++sequence_);
    return entry;
  }

 private:
  std::uint64_t sequence_ = 0;
};

class BatchStoreTest : public testing::Test {
 protected:
  void Apply(const proto::LogEntry& entry) { ASSERT_TRUE(store_.Apply(entry).ok()); }
  void Accept(const std::string& batch, int count, const std::string& tenant = "studio") {
    Apply(writer_.Items(batch, 0, count));
    Apply(writer_.Accepted(batch, tenant, count));
  }

  EntryWriter writer_;
  BatchStore store_;
};

TEST_F(BatchStoreTest, BatchExistsOnceAccepted) {
  Apply(writer_.Items("b1", 0, 2));
  Apply(writer_.Items("b1", 2, 1));
  EXPECT_EQ(store_.Find("b1"), nullptr);
  Apply(writer_.Accepted("b1", "studio", 3));
  ASSERT_NE(store_.Find("b1"), nullptr);
  EXPECT_EQ(store_.FindByKey("studio", "key-b1"), store_.Find("b1"));
  EXPECT_EQ(store_.FindByKey("other", "key-b1"), nullptr);
  EXPECT_EQ(store_.CountOpenItems("studio"), 3U);
  EXPECT_EQ(store_.Find("b1")->state(), proto::BATCH_STATE_RUNNING);
}

TEST_F(BatchStoreTest, RejectsCorruptEntries) {
  Apply(writer_.Items("b1", 0, 2));
  EXPECT_EQ(store_.Apply(writer_.Items("b1", 5, 1)).code(), StatusCode::kCorrupt);
  EXPECT_EQ(store_.Apply(writer_.Accepted("b1", "studio", 9)).code(), StatusCode::kCorrupt);
  EXPECT_EQ(store_.Apply(writer_.Finished("none", 0, "")).code(), StatusCode::kCorrupt);
}

TEST_F(BatchStoreTest, FirstResultWinsAndPositionsDoNotChange) {
  Accept("b1", 3);
  Apply(writer_.Finished("b1", 2, "first"));
  Apply(writer_.Finished("b1", 2, "second"));
  Apply(writer_.Finished("b1", 0, "other"));
  const auto list = store_.ListResults("b1", "", 0);
  ASSERT_TRUE(list.ok());
  ASSERT_EQ(list->results_size(), 2);
  EXPECT_EQ(list->results(0).position(), 1U);
  EXPECT_EQ(list->results(0).custom_id(), "item2");
  EXPECT_EQ(list->results(0).output(), "first");
  EXPECT_EQ(list->results(1).position(), 2U);
  EXPECT_FALSE(list->more());
  Apply(writer_.Finished("b1", 1, "last"));
  const auto later = store_.ListResults("b1", list->next_cursor(), 0);
  ASSERT_EQ(later->results_size(), 1);
  EXPECT_EQ(later->results(0).position(), 3U);
  EXPECT_EQ(later->state(), proto::BATCH_STATE_FINISHED);
  EXPECT_EQ(store_.Find("b1")->finished_at_ms, 50);
}

TEST_F(BatchStoreTest, ListsBatchesByPositionInPages) {
  for (int i = 0; i < 5; ++i) {
    Accept("b" + std::to_string(i), 1);
    Accept("x" + std::to_string(i), 1, "other");
  }
  std::vector<std::string> seen;
  std::string cursor;
  bool more = true;
  while (more) {
    const auto page = store_.ListBatches("studio", cursor, 2);
    ASSERT_TRUE(page.ok());
    for (const auto& batch : page->batches()) {
      seen.push_back(batch.batch_id());
    }
    cursor = page->next_cursor();
    more = page->more();
  }
  EXPECT_EQ(seen, (std::vector<std::string>{"b0", "b1", "b2", "b3", "b4"}));
  Accept("b5", 1);
  const auto polled = store_.ListBatches("studio", cursor, 2);
  ASSERT_EQ(polled->batches_size(), 1);
  EXPECT_EQ(polled->batches(0).batch_id(), "b5");
  EXPECT_EQ(store_.ListBatches("studio", "7", 2).status().code(), StatusCode::kInvalidArgument);
  EXPECT_EQ(store_.ListBatches("studio", "p7x", 2).status().code(), StatusCode::kInvalidArgument);
}

TEST_F(BatchStoreTest, CursorsSurviveRemovals) {
  for (int i = 0; i < 3; ++i) {
    Accept("b" + std::to_string(i), 1);
  }
  const auto first = store_.ListBatches("studio", "", 1);
  Apply(writer_.Finished("b0", 0, ""));
  EXPECT_EQ(store_.FindBatchesFinishedBy(50), std::vector<std::string>{"b0"});
  EXPECT_TRUE(store_.FindBatchesFinishedBy(49).empty());
  proto::LogEntry removed = writer_.Next();
  removed.mutable_batch_removed()->set_batch_id("b0");
  Apply(removed);
  EXPECT_EQ(store_.Find("b0"), nullptr);
  EXPECT_EQ(store_.FindByKey("studio", "key-b0"), nullptr);
  const auto next = store_.ListBatches("studio", first->next_cursor(), 1);
  ASSERT_EQ(next->batches_size(), 1);
  EXPECT_EQ(next->batches(0).batch_id(), "b1");
  EXPECT_EQ(store_.open_items(), 2U);
}

TEST_F(BatchStoreTest, CompletedCancellationGivesEveryItemAResult) {
  Accept("b1", 4);
  Apply(writer_.Finished("b1", 1, "before"));
  proto::LogEntry cancelled = writer_.Next();
  cancelled.mutable_batch_cancelled()->set_batch_id("b1");
  Apply(cancelled);
  EXPECT_EQ(store_.Find("b1")->state(), proto::BATCH_STATE_CANCELLED);
  Apply(writer_.Finished("b1", 3, "was running"));
  proto::LogEntry completed = writer_.Next();
  completed.mutable_batch_cancellation_completed()->set_batch_id("b1");
  completed.mutable_batch_cancellation_completed()->set_completed_at_ms(70);
  Apply(completed);
  const auto list = store_.ListResults("b1", "", 0);
  ASSERT_EQ(list->results_size(), 4);
  EXPECT_EQ(list->results(2).item_index(), 0U);
  EXPECT_EQ(list->results(3).item_index(), 2U);
  EXPECT_EQ(list->results(3).outcome(), proto::ITEM_OUTCOME_CANCELLED);
  EXPECT_EQ(store_.Find("b1")->ToStatus().cancelled(), 2U);
  EXPECT_EQ(store_.CountOpenItems("studio"), 0U);
}

TEST_F(BatchStoreTest, EntriesAppliedTwiceChangeNothing) {
  const proto::LogEntry items = writer_.Items("b1", 0, 1);
  const proto::LogEntry accepted = writer_.Accepted("b1", "studio", 1);
  for (const proto::LogEntry& entry : {items, items, accepted, accepted}) {
    Apply(entry);
  }
  EXPECT_EQ(store_.open_items(), 1U);
  proto::LogEntry watermark;
  watermark.mutable_partition_watermark()->set_next_sequence(40);
  Apply(watermark);
  EXPECT_EQ(store_.next_sequence(), PartitionSequence(40));
}

/// A batch whose items hold requests that are forwarded unchanged, of 100 tokens each.
class ForwardedBatchTest : public BatchStoreTest {
 protected:
  ForwardedBatchTest() {
    proto::LogEntry items = writer_.Items("b1", 0, 3);
    for (proto::BatchItem& item : *items.mutable_batch_items()->mutable_items()) {
      item.set_tokens(100);
      item.mutable_forwarded()->set_body("body of " + item.custom_id());
    }
    Apply(items);
    proto::LogEntry accepted = writer_.Accepted("b1", "host", 3);
    accepted.mutable_batch_accepted()->set_route("r");
    Apply(accepted);
  }
};

TEST_F(ForwardedBatchTest, FindsItemsUntilTheyHaveAResult) {
  ASSERT_TRUE(store_.FindOpenItem("b1", "item1").ok());
  EXPECT_EQ(store_.FindOpenItem("b1", "item1")->forwarded().body(), "body of item1");
  Apply(writer_.Finished("b1", 1, "text"));
  EXPECT_EQ(store_.FindOpenItem("b1", "item1").status().code(), StatusCode::kNotFound);
}

TEST_F(ForwardedBatchTest, TokensAreOpenUntilAResultOrACancellation) {
  EXPECT_EQ(store_.CountOpenTokens("host", "r"), 300U);
  EXPECT_EQ(store_.CountOpenTokens("host", "other"), 0U);
  Apply(writer_.Finished("b1", 1, "text"));
  EXPECT_EQ(store_.CountOpenTokens("host", "r"), 200U);
  proto::LogEntry cancelled = writer_.Next();
  cancelled.mutable_batch_cancelled()->set_batch_id("b1");
  Apply(cancelled);
  EXPECT_EQ(store_.CountOpenTokens("host", "r"), 0U);
  Apply(writer_.Finished("b1", 2, "text"));
  EXPECT_EQ(store_.CountOpenTokens("host", "r"), 0U);
  EXPECT_EQ(store_.ListResults("b1", "", 0)->total(), 3U);
}

/// A recovery does not log the requests of finished items again; the store has the same results.
TEST_F(BatchStoreTest, ReplayDropsRequestsOfFinishedItemsOnly) {
  PartitionReplay replay;
  proto::LogEntry items = writer_.Items("b1", 0, 2);
  for (proto::BatchItem& item : *items.mutable_batch_items()->mutable_items()) {
    item.mutable_forwarded()->set_body(std::string(1000, 'x'));
  }
  replay.Add(items);
  replay.Add(writer_.Accepted("b1", "host", 2));
  replay.Add(writer_.Finished("b1", 0, "text"));
  std::size_t bytes = 0;
  for (const proto::LogEntry& entry : replay.TakeEntries()) {
    bytes += entry.ByteSizeLong();
    Apply(entry);
  }
  EXPECT_LT(bytes, 1500U);
  EXPECT_EQ(store_.FindOpenItem("b1", "item1")->forwarded().body().size(), 1000U);
  EXPECT_EQ(store_.ListResults("b1", "", 0)->results(0).output(), "text");
}

}  // namespace
}  // namespace cloverbank
