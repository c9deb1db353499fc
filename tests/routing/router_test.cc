#include "routing/router.h"

#include <gtest/gtest.h>

#include <random>
#include <set>

#include "replicas/adaptive_capacity_ratio.h"

namespace cloverbank {
namespace {

class RouterTest : public ::testing::Test {
 protected:
  RouterTest() {
    options_.zone = "a";
    for (const char* name : {"a", "b", "c"}) {
      proto::Zone* zone = configuration_.add_zones();
      zone->set_name(name);
      zone->set_region(name[0] == 'c' ? "far" : "near");
      zone->set_state(proto::ZONE_STATE_OPEN);
    }
    route_.set_name("r");
    route_.set_backend("model");
    route_.set_backend_kind(proto::BACKEND_KIND_MODEL);
  }
  void Add(const std::string& id, const std::string& zone, std::uint32_t capacity = 8) {
    proto::Replica* replica = list_.add_replicas();
    replica->set_id(id);
    replica->mutable_endpoint()->set_host("127.0.0.1");
    replica->mutable_endpoint()->set_port(80);
    replica->set_zone(zone);
    replica->set_kind(proto::BACKEND_KIND_MODEL);
    replica->set_backend("model");
    replica->set_state(proto::REPLICA_STATE_READY);
    replica->set_capacity(capacity);
  }
  void Load(bool warm = true) {
    list_.set_version(list_.version() + 1);
    ASSERT_TRUE(directory_.Apply(list_).ok());
    for (const auto& [id, record] : directory_.records()) {
      health_.Reset(id, "model", Duration::zero());
      health_.OnProbe(id, true, warm, now_);
      loads_[id].OnReport({0, 0, record.capacity});
    }
  }
  RoutingChoice Choose(std::string_view prefix = "", WorkKind work = WorkKind::kLive) {
    RoutingQuery query;
    query.configuration = &configuration_;
    query.route = &route_;
    query.prefix_key = prefix;
    query.excluded = &excluded_;
    query.work = work;
    query.tie_breaker = random_();
    return router_.Choose(query, now_);
  }

  TimePoint now_ = TimePoint(seconds(1000));
  std::mt19937_64 random_{5};
  proto::RoutingConfiguration configuration_;
  proto::Route route_;
  proto::ReplicaList list_;
  std::vector<std::string> excluded_;
  RouterOptions options_;
  ReplicaDirectory directory_;
  ReplicaHealth health_{ReplicaHealthOptions()};
  LoadTable loads_;
  Router router_{RouterOptions{"a"}, directory_, health_, loads_};
};

TEST_F(RouterTest, ReportsWhyNoReplicaIsChosen) {
  EXPECT_EQ(Choose().failure, RoutingFailure::kNoReadyReplica);
  Add("b1", "b");
  Load();
  EXPECT_EQ(Choose().replica->id, "b1");
  route_.add_zones("a");
  EXPECT_EQ(Choose().failure, RoutingFailure::kNoOpenZone);
  route_.clear_zones();
  configuration_.mutable_zones(1)->set_state(proto::ZONE_STATE_DRAINED);
  EXPECT_EQ(Choose().failure, RoutingFailure::kNoOpenZone);
  configuration_.mutable_zones(1)->set_state(proto::ZONE_STATE_OPEN);
  health_.Reset("b1", "model", Duration::zero());
  EXPECT_EQ(Choose().failure, RoutingFailure::kNoHealthyReplica);
  Load();
  loads_["b1"].OnReport({8, 0, 8});
  EXPECT_EQ(Choose().failure, RoutingFailure::kNoCapacity);
  list_.mutable_replicas(0)->set_zone("unknown");
  Load();
  EXPECT_EQ(Choose().failure, RoutingFailure::kNoOpenZone);
}

TEST_F(RouterTest, PrefersOwnZoneThenRegionUntilBusy) {
  Add("a1", "a");
  Add("b1", "b");
  Add("c1", "c");
  Load();
  std::vector<std::string> order;
  for (int call = 0; call < 24; ++call) {
    const ReplicaRecord* replica = Choose().replica;
    ASSERT_NE(replica, nullptr);
    loads_[replica->id].OnStart(WorkKind::kLive);
    order.push_back(replica->zone);
  }
  EXPECT_EQ(Choose().failure, RoutingFailure::kNoCapacity);
  // The near zones a and b get 7 of their 8 calls each, then their last ones; only then follows c
  // in the far region.
  const std::vector<std::string> near_first(order.begin(), order.begin() + 16);
  EXPECT_EQ(std::count(order.begin(), order.begin() + 7, "a"), 7);
  EXPECT_EQ(std::count(order.begin() + 7, order.begin() + 14, "b"), 7);
  EXPECT_EQ(std::count(near_first.begin(), near_first.end(), "c"), 0);
}

TEST_F(RouterTest, ChoosesSuspectsLastAndExcludedReplicasNever) {
  Add("a1", "a");
  Add("c1", "c");
  Load();
  health_.OnProbe("a1", false, false, now_);
  EXPECT_EQ(Choose().replica->id, "c1");
  excluded_ = {"c1"};
  EXPECT_EQ(Choose().replica->id, "a1");
  excluded_ = {"a1", "c1"};
  EXPECT_EQ(Choose().failure, RoutingFailure::kNoCapacity);
}

TEST_F(RouterTest, AffinityIsStableAndItsLoadIsBounded) {
  constexpr int kReplicas = 6;
  constexpr std::uint32_t kCapacity = 64;
  for (int index = 0; index < kReplicas; ++index) {
    Add("a" + std::to_string(index), "a", kCapacity);
  }
  Load();
  const std::string preferred = Choose("prefix").replica->id;
  std::set<std::string> chosen;
  for (int key = 0; key < 200; ++key) {
    const std::string prefix = "key-" + std::to_string(key);
    chosen.insert(Choose(prefix).replica->id);
    ASSERT_EQ(Choose(prefix).replica->id, Choose(prefix).replica->id);
  }
  EXPECT_EQ(chosen.size(), static_cast<std::size_t>(kReplicas));
  // With skewed keys and calls that end in random order, no replica gets a call beyond the bound.
  std::vector<std::string> running;
  for (int step = 0; step < 20'000; ++step) {
    if (!running.empty() && random_() % 100 < 50) {
      std::swap(running[random_() % running.size()], running.back());
      loads_[running.back()].OnEnd(WorkKind::kLive);
      running.pop_back();
      continue;
    }
    const std::uint64_t key = random_() % 10 < 7 ? 0 : random_() % 50;
    const RoutingChoice choice = Choose("key-" + std::to_string(key));
    if (choice.replica == nullptr) {
      ASSERT_EQ(running.size(), kReplicas * kCapacity);
      continue;
    }
    const double average = (static_cast<double>(running.size()) + 1) / kReplicas;
    const std::uint32_t load = loads_[choice.replica->id].total() + 1;
    ASSERT_LE(load, kCapacity);
    const bool most_have_capacity = running.size() < kReplicas * kCapacity / 2;
    if (most_have_capacity) {
      ASSERT_LE(load, std::ceil(1.25 * average) + 1);
    }
    loads_[choice.replica->id].OnStart(WorkKind::kLive);
    running.push_back(choice.replica->id);
  }
  Load();
  excluded_ = {preferred};
  loads_.clear();
  const std::string second = Choose("prefix").replica->id;
  EXPECT_NE(second, preferred);
}

TEST_F(RouterTest, LeastLoadedWithoutPrefix) {
  Add("a1", "a");
  Add("a2", "a", 16);
  Load();
  loads_["a1"].OnReport({3, 1, 8});
  loads_["a2"].OnReport({4, 0, 16});
  EXPECT_EQ(Choose().replica->id, "a2");
}

TEST_F(RouterTest, BatchesLeaveCapacityForLiveCalls) {
  Add("a1", "a", 10);
  Load();
  EXPECT_EQ(router_.FreeBatchSlots(configuration_, "model", now_), 0U);  // No allowance yet.
  loads_["a1"].SetBatchAllowance(100, now_);
  EXPECT_EQ(router_.FreeBatchSlots(configuration_, "model", now_), 7U);
  loads_["a1"].OnReport({5, 1, 10});
  loads_["a1"].SetBatchAllowance(100, now_);
  EXPECT_EQ(router_.FreeBatchSlots(configuration_, "model", now_), 1U);
  ASSERT_NE(Choose("", WorkKind::kBatch).replica, nullptr);
  loads_["a1"].OnStart(WorkKind::kBatch);
  EXPECT_EQ(Choose("", WorkKind::kBatch).failure, RoutingFailure::kNoCapacity);
  EXPECT_NE(Choose().replica, nullptr);
  configuration_.mutable_batch()->set_live_headroom_percent(90);
  EXPECT_EQ(router_.FreeBatchSlots(configuration_, "model", now_), 2U);
  loads_["a1"].SetBatchAllowance(1, now_);
  EXPECT_EQ(router_.FreeBatchSlots(configuration_, "model", now_), 1U);
  configuration_.mutable_zones(0)->set_state(proto::ZONE_STATE_DRAINED);
  EXPECT_EQ(router_.FreeBatchSlots(configuration_, "model", now_), 0U);
}

TEST(ReplicaLoadTest, SeparatesCallsOfOtherGatewaysFromOwn) {
  ReplicaLoad load;
  load.OnStart(WorkKind::kLive);
  load.OnStart(WorkKind::kBatch);
  load.OnReport({5, 2, 8});
  EXPECT_EQ(load.others(), 5U);
  EXPECT_EQ(load.total(), 7U);
  load.OnEnd(WorkKind::kLive);
  EXPECT_EQ(load.total(), 6U);
  EXPECT_EQ(load.Capacity(16), 8U);
  EXPECT_EQ(load.Capacity(4), 4U);
  EXPECT_EQ(ParseLoadReport("3/2/8")->queued, 2U);
  for (const char* wrong : {"", "3", "3/2", "3/2/8/1", "a/2/8", "3//8", "-1/2/8", "3/2/8 "}) {
    EXPECT_FALSE(ParseLoadReport(wrong).has_value()) << wrong;
  }
}

TEST(AdaptiveCapacityRatioTest, HalvesAfterAnOverloadAndRoundsFairly) {
  AdaptiveCapacityRatio ratio(0.25, 0.01);
  TimePoint now(seconds(10));
  ratio.OnOverload(now);
  ratio.OnOverload(now + milliseconds(100));  // Counts as the same overload.
  EXPECT_DOUBLE_EQ(ratio.ratio(), 0.125);
  std::mt19937_64 random(3);
  std::uint32_t sum = 0;
  for (int draw = 0; draw < 8000; ++draw) {
    sum += ratio.Allowance(4, random());
  }
  EXPECT_NEAR(sum, 4000, 200);
  for (int report = 0; report < 100; ++report) {
    ratio.OnReportWithinBound();
  }
  EXPECT_EQ(ratio.Allowance(5, 0), 5U);
}

TEST(ReplicaDirectoryTest, SelectsOneReplicaInThreeForLongPrompts) {
  proto::ReplicaList list;
  list.set_version(1);
  const std::map<std::string, int> zones{{"a", 1}, {"b", 3}, {"c", 30}};
  for (const auto& [zone, count] : zones) {
    for (int number = 0; number < count; ++number) {
      proto::Replica& replica = *list.add_replicas();
      replica.set_id(zone + std::to_string(number));
      replica.set_zone(zone);
      replica.set_kind(proto::BACKEND_KIND_HTTP);
      replica.set_backend("model");
      replica.set_state(proto::REPLICA_STATE_READY);
      replica.mutable_endpoint()->set_host("10.0.0.1");
      replica.mutable_endpoint()->set_port(80);
    }
  }
  ReplicaDirectory directory;
  ASSERT_TRUE(directory.Apply(list).ok());
  std::map<std::string, int> selected;
  for (const auto& [id, record] : directory.records()) {
    selected[record.zone] += directory.AcceptsLongPrompts(record) ? 1 : 0;
  }
  EXPECT_EQ(selected, (std::map<std::string, int>{{"a", 1}, {"b", 1}, {"c", 10}}));
}

TEST(ReplicaDirectoryTest, ReportsWhichReplicasWarmUp) {
  ReplicaDirectory directory;
  proto::ReplicaList list;
  EXPECT_FALSE(directory.Apply(list).ok());
  EXPECT_FALSE(directory.loaded());
  list.set_version(1);
  proto::Replica* replica = list.add_replicas();
  replica->set_id("x");
  replica->mutable_endpoint()->set_host("127.0.0.1");
  replica->mutable_endpoint()->set_port(80);
  replica->set_kind(proto::BACKEND_KIND_SERVICE);
  replica->set_backend("s");
  replica->set_state(proto::REPLICA_STATE_READY);
  replica->set_instance_id("1");
  *list.add_replicas() = *replica;  // Duplicate.
  list.add_replicas()->set_id("no endpoint");
  const auto apply = [&] {
    list.set_version(list.version() + 1);
    return *directory.Apply(list);
  };
  const std::vector<std::string> x = {"x"};
  DirectoryChange change = apply();
  EXPECT_EQ(change.warming_up, x);
  EXPECT_EQ(change.skipped, 2U);
  EXPECT_TRUE(apply().warming_up.empty());
  list.mutable_replicas(0)->set_instance_id("2");
  EXPECT_EQ(apply().warming_up, x);
  list.mutable_replicas(0)->set_state(proto::REPLICA_STATE_DRAINING);
  change = apply();
  EXPECT_EQ(change.stopped, x);
  EXPECT_TRUE(directory.Ready(proto::BACKEND_KIND_SERVICE, "s").empty());
  list.mutable_replicas(0)->set_state(proto::REPLICA_STATE_READY);
  EXPECT_EQ(apply().warming_up, x);
  list.clear_replicas();
  EXPECT_EQ(apply().removed, x);
}

/// Routing by prefill cost among three replicas of one zone.
class PromptRoutingTest : public RouterTest {
 protected:
  PromptRoutingTest() {
    for (const char* id : {"r1", "r2", "r3"}) {
      Add(id, "a");
      prefill_.AddReplica(id, "model");
    }
    Load();
  }
  std::string ChooseFor(std::uint32_t tokens) {
    Router router(options_, directory_, health_, loads_, nullptr, &prefill_);
    RoutingQuery query;
    query.configuration = &configuration_;
    query.route = &route_;
    query.prompt.prompt_tokens = tokens;
    query.tie_breaker = random_();
    const RoutingChoice choice = router.Choose(query, now_);
    return choice.replica == nullptr ? "" : choice.replica->id;
  }
  std::set<std::string> ChosenFor(std::uint32_t tokens) {
    std::set<std::string> chosen;
    for (int draw = 0; draw < 100; ++draw) {
      chosen.insert(ChooseFor(tokens));
    }
    return chosen;
  }
  std::set<std::string> LongPromptReplicas() {
    std::set<std::string> long_prompt_replicas;
    for (const auto& [id, record] : directory_.records()) {
      if (directory_.AcceptsLongPrompts(record)) {
        long_prompt_replicas.insert(id);
      }
    }
    return long_prompt_replicas;
  }

  PrefillLoad prefill_{PrefillOptions()};
};

TEST_F(PromptRoutingTest, ChoosesReplicaWithShortestBacklog) {
  prefill_.OnStart("r1", 9'000, 0, now_);
  prefill_.OnStart("r2", 18'000, 0, now_);
  EXPECT_EQ(ChosenFor(1'000), std::set<std::string>{"r3"});
}

TEST_F(PromptRoutingTest, PrefersReplicaWithLowestRecentLoad) {
  prefill_.OnStart("r1", 9'000, 0, now_);
  prefill_.OnStart("r2", 1'800, 0, now_);
  prefill_.OnStart("r3", 9'000, 0, now_);
  now_ += milliseconds(60);  // All prompts are prefilled by now.
  EXPECT_EQ(ChosenFor(1'000), std::set<std::string>{"r2"});
}

TEST_F(PromptRoutingTest, UsesAllReplicasWithoutLongPrompts) {
  EXPECT_EQ(ChosenFor(1'000).size(), 3U);
}

TEST_F(PromptRoutingTest, ShortPromptsAvoidLongPromptReplicas) {
  const std::set<std::string> long_prompt_replicas = LongPromptReplicas();
  ASSERT_FALSE(long_prompt_replicas.empty());
  prefill_.OnStart(*long_prompt_replicas.begin(), 30'000, 0, now_);
  now_ += seconds(5);  // The long prompt is prefilled by now.
  for (const std::string& chosen : ChosenFor(1'000)) {
    EXPECT_FALSE(long_prompt_replicas.contains(chosen)) << chosen;
  }
  for (const std::string& chosen : ChosenFor(30'000)) {
    EXPECT_TRUE(long_prompt_replicas.contains(chosen)) << chosen;
  }
}

}  // namespace
}  // namespace cloverbank
