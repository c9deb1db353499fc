#include "emulation/model_replica.h"

#include <gtest/gtest.h>

#include "emulation/platform_list.h"

namespace cloverbank {
namespace {

BackendBehaviour TestBehaviour() {
  BackendBehaviour behaviour;
  behaviour.load_time = seconds(2);
  behaviour.shared_prefix_tokens = 100;
  behaviour.kv_capacity_tokens = 400;
  behaviour.prefix_cache_entries = 2;
  return behaviour;
}

constexpr TimePoint kStart{seconds(100)};
constexpr TimePoint kLoaded = kStart + seconds(2);

proto::CallRequest Request(const std::string& prompt, std::uint32_t tokens,
                           const std::string& prefix = "") {
  proto::CallRequest request;
  request.set_prompt(prompt);
  request.set_max_tokens(tokens);
  request.set_prefix_key(prefix);
  request.set_call_id("call-" + prompt);
  return request;
}

std::vector<EmittedChunk> RunToEnd(ModelReplica& replica) {
  std::vector<EmittedChunk> all;
  while (const auto next = replica.NextEvent()) {
    for (EmittedChunk& chunk : replica.Advance(*next)) {
      all.push_back(std::move(chunk));
    }
  }
  return all;
}

TEST(ModelReplicaTest, RefusesCallsWhileLoadingWhenFullAndWhenTooLarge) {
  ModelReplica replica(TestBehaviour(), 1, "r", kStart);
  EXPECT_EQ(replica.Start(kStart, "a", Request("a", 2)), StartOutcome::kLoading);
  EXPECT_EQ(replica.Start(kLoaded, "a", Request("a", 2)), StartOutcome::kAccepted);
  EXPECT_EQ(replica.Start(kLoaded, "b", Request("b", 2)), StartOutcome::kFull);
  EXPECT_EQ(replica.Start(kLoaded, "c", Request("c", 9999)), StartOutcome::kTooLarge);
}

TEST(ModelReplicaTest, ACancelledPrefillGivesNoTokenToRunningCalls) {
  ModelReplica replica(TestBehaviour(), 4, "r", kStart);
  ASSERT_EQ(replica.Start(kLoaded, "a", Request("first", 5)), StartOutcome::kAccepted);
  (void)replica.Advance(*replica.NextEvent());  // The prefill of "a".
  (void)replica.Start(*replica.NextEvent(), "b", Request("second", 3));
  EXPECT_EQ(replica.Advance(*replica.NextEvent()).size(), 1U);  // A decode step.
  replica.Cancel("b");                                          // While its prefill runs.
  EXPECT_TRUE(replica.Advance(*replica.NextEvent()).empty());
  EXPECT_EQ(replica.Advance(*replica.NextEvent()).size(), 1U);
}

TEST(ModelReplicaTest, StreamsCompleteConcurrentAnswers) {
  ModelReplica replica(TestBehaviour(), 4, "r", kStart);
  ASSERT_EQ(replica.Start(kLoaded, "a", Request("first", 5)), StartOutcome::kAccepted);
  ASSERT_EQ(replica.Start(kLoaded, "b", Request("second", 3)), StartOutcome::kAccepted);
  std::map<std::string, std::string> text;
  std::map<std::string, std::uint64_t> next;
  for (const EmittedChunk& emitted : RunToEnd(replica)) {
    EXPECT_EQ(emitted.chunk.sequence(), next[emitted.call_key]++);
    text[emitted.call_key] += emitted.chunk.text();
  }
  EXPECT_EQ(text["a"], ExpectedAnswer("first", 5));
  EXPECT_EQ(text["b"], ExpectedAnswer("second", 3));
  EXPECT_EQ(replica.running(), 0U);
  EXPECT_EQ(replica.kv_occupancy(), 0);
}

TEST(ModelReplicaTest, CachedPrefixShortensPrefill) {
  ModelReplica replica(TestBehaviour(), 4, "r", kStart);
  ASSERT_EQ(replica.Start(kLoaded, "a", Request("x", 1, "shared")), StartOutcome::kAccepted);
  const Duration uncached_prefill = *replica.NextEvent() - kLoaded;
  RunToEnd(replica);
  const TimePoint later = kLoaded + seconds(5);
  ASSERT_EQ(replica.Start(later, "b", Request("x", 1, "shared")), StartOutcome::kAccepted);
  const Duration cached_prefill = *replica.NextEvent() - later;
  EXPECT_EQ(uncached_prefill - cached_prefill, TestBehaviour().prefill_per_token * 100);
  EXPECT_EQ(replica.prefix_hits(), 1U);
}

TEST(ModelReplicaTest, KvCapacityDelaysCallsAndEvictsPrefixes) {
  ModelReplica replica(TestBehaviour(), 4, "r", kStart);
  ASSERT_EQ(replica.Start(kLoaded, "a", Request("x", 150, "p1")), StartOutcome::kAccepted);
  ASSERT_EQ(replica.Start(kLoaded, "b", Request("y", 150, "p2")), StartOutcome::kAccepted);
  while (replica.running() == 0) {
    replica.Advance(*replica.NextEvent());
  }
  EXPECT_EQ(replica.queued(), 1U) << "the KV cache cannot hold both calls at once";
  EXPECT_LE(replica.kv_occupancy(), 1.0);
  RunToEnd(replica);
  EXPECT_EQ(replica.queued(), 0U);
}

TEST(ModelReplicaTest, CancelledCallGetsNoFurtherChunks) {
  ModelReplica replica(TestBehaviour(), 4, "r", kStart);
  ASSERT_EQ(replica.Start(kLoaded, "a", Request("x", 10)), StartOutcome::kAccepted);
  while (replica.running() == 0) {
    replica.Advance(*replica.NextEvent());
  }
  replica.Cancel("a");
  EXPECT_TRUE(RunToEnd(replica).empty());
  EXPECT_EQ(replica.kv_occupancy(), 0);
}

TEST(PlatformListTest, ShowsChangesOnlyAfterTheLag) {
  PlatformList list(seconds(1));
  proto::Replica replica;
  replica.set_id("r1");
  replica.set_state(proto::REPLICA_STATE_READY);
  list.Set(kStart, replica);
  EXPECT_EQ(list.Shown(kStart + milliseconds(999)).replicas_size(), 0);
  ASSERT_EQ(list.Shown(kStart + seconds(1)).replicas_size(), 1);
  const std::uint64_t version = list.Shown(kStart + seconds(1)).version();
  replica.set_state(proto::REPLICA_STATE_DRAINING);
  list.Set(kStart + seconds(2), replica);
  EXPECT_EQ(list.Shown(kStart + seconds(2)).version(), version);
  EXPECT_EQ(list.Shown(kStart + seconds(3)).replicas(0).state(), proto::REPLICA_STATE_DRAINING);
  list.Remove(kStart + seconds(3), "r1");
  EXPECT_EQ(list.Shown(kStart + seconds(4)).replicas_size(), 0);
}

}  // namespace
}  // namespace cloverbank
