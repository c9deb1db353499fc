// Gateways that read the list of replicas from each other, so that only one reads the platform.
#include "replicas/shared_list_reader.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "replicas/fake_http.h"
#include "replicas/replica_list_poller.h"
#include "simulation/simulated_world.h"

namespace cloverbank {
namespace {

constexpr int kGateways = 5;
constexpr Duration kStep = milliseconds(50);

/// The platform's current list, and how often each gateway has read it.
struct FakePlatform {
  std::uint32_t replicas = 1;
  bool responds = true;
  std::map<std::string, int> reads;  ///< By name of the gateway.
};

class FakePlatformReader final : public ReplicaListReader {
 public:
  FakePlatformReader(Environment& environment, std::string gateway, FakePlatform& platform)
      : environment_(environment), gateway_(std::move(gateway)), platform_(platform) {}

  void Read(Duration deadline, std::function<void(ListReadResult)> done) override {
    ++platform_.reads[gateway_];
    const Duration delay = platform_.responds ? milliseconds(3) : deadline;
    environment_.ScheduleAfter(delay,
                               [this, alive = std::weak_ptr<bool>(alive_), done = std::move(done)] {
                                 if (!alive.expired()) {
                                   done(MakeReadResult());
                                 }
                               });
  }

 private:
  ListReadResult MakeReadResult() const {
    ListReadResult result;
    if (!platform_.responds) {
      return result;
    }
    result.outcome = ListReadOutcome::kRead;
    for (std::uint32_t number = 0; number < platform_.replicas; ++number) {
      result.list.add_replicas()->set_id("r" + std::to_string(number));
    }
    return result;
  }

  Environment& environment_;
  const std::string gateway_;
  FakePlatform& platform_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// What the test observes and sets at one gateway.
struct Gateway {
  int known_replicas = 0;
  int lists = 0;
  ReplicaListPoller* poller = nullptr;
  std::optional<std::vector<ListSource>> sources;
};

class GatewayProgram {
 public:
  GatewayProgram(Environment& environment, const std::string& name, FakePlatform& platform,
                 Gateway& gateway)
      : client_(environment),
        poller_(environment, client_, Options(environment, name, platform, gateway),
                [&gateway](const proto::ReplicaList& list) {
                  gateway.known_replicas = list.replicas_size();
                  ++gateway.lists;
                  return Status::Ok();
                }) {
    gateway.poller = &poller_;
    poller_.Start();
  }

 private:
  static ReplicaListOptions Options(Environment& environment, const std::string& name,
                                    FakePlatform& platform, Gateway& gateway) {
    ReplicaListOptions options;
    options.interval = seconds(1);
    options.make_reader = [&environment, name, &platform, &gateway](HttpClient&) {
      return std::make_unique<SharedListReader>(
          environment, [&gateway] { return gateway.sources; },
          std::make_unique<FakePlatformReader>(environment, name, platform));
    };
    return options;
  }

  FakeHttpClient client_;
  ReplicaListPoller poller_;
};

class SharedListReaderTest : public testing::Test {
 protected:
  SharedListReaderTest() {
    for (int number = 0; number < kGateways; ++number) {
      const std::string name = Name(number);
      SimulatedMachine& machine = world_.AddMachine(name, "10.0.1." + std::to_string(number + 1));
      Gateway& gateway = gateways_[name];
      gateway.sources = std::vector<ListSource>();
      for (int earlier = 0; earlier < std::min(number, 3); ++earlier) {
        gateway.sources->push_back({world_.machine(Name(earlier)).endpoint()});
      }
      machine.SetProgram([this, name, &gateway](Environment& environment, DataFolder&) {
        return std::make_shared<GatewayProgram>(environment, name, platform_, gateway);
      });
    }
  }

  static std::string Name(int number) { return "g" + std::to_string(number); }

  void StartAll() {
    for (int number = 0; number < kGateways; ++number) {
      world_.machine(Name(number)).Start();
    }
  }

  /// Runs for `duration`. @return whether all running gateways had a fresh list all the time.
  bool StaysFreshFor(Duration duration) {
    bool fresh = true;
    for (Duration passed{}; passed < duration; passed += kStep) {
      world_.RunFor(kStep);
      for (const auto& [name, gateway] : gateways_) {
        const bool checked = world_.machine(name).running() && name != stopped_;
        fresh = fresh && (!checked || (gateway.poller->loaded() && gateway.poller->IsFresh()));
      }
    }
    return fresh;
  }

  /// @return whether all gateways except the stopped one know that number of replicas.
  bool AllKnow(int replicas) const {
    for (const auto& [name, gateway] : gateways_) {
      if (name != stopped_ && gateway.known_replicas != replicas) {
        return false;
      }
    }
    return true;
  }

  int Reads() const {
    int sum = 0;
    for (const auto& [name, reads] : platform_.reads) {
      sum += reads;
    }
    return sum;
  }

  FakePlatform platform_;
  std::map<std::string, Gateway> gateways_;
  std::string stopped_;
  SimulatedWorld world_{7};
};

TEST_F(SharedListReaderTest, OneGatewayOfTheZoneReadsThePlatform) {
  StartAll();
  world_.RunFor(seconds(2));
  const int earlier_reads = Reads();
  EXPECT_TRUE(StaysFreshFor(seconds(10)));
  EXPECT_LE(Reads() - earlier_reads, 11);
  EXPECT_EQ(platform_.reads.count("g3"), 0U);
  EXPECT_TRUE(AllKnow(1));
}

TEST_F(SharedListReaderTest, AChangeReachesAllWithTheNextReading) {
  StartAll();
  world_.RunFor(seconds(3));
  platform_.replicas = 2;
  world_.RunFor(milliseconds(1100));
  EXPECT_TRUE(AllKnow(2));
}

TEST_F(SharedListReaderTest, AppliesAnUnchangedListOnce) {
  StartAll();
  world_.RunFor(seconds(10));
  EXPECT_EQ(gateways_["g4"].lists, 1);
}

TEST_F(SharedListReaderTest, NextGatewayReadsAfterTheFirstIsKilled) {
  StartAll();
  world_.RunFor(seconds(3));
  stopped_ = "g0";
  world_.machine("g0").Kill();
  EXPECT_TRUE(StaysFreshFor(seconds(2)));
  platform_.replicas = 3;
  EXPECT_TRUE(StaysFreshFor(milliseconds(1500)));
  EXPECT_TRUE(AllKnow(3));
  const int earlier_reads = Reads();
  EXPECT_TRUE(StaysFreshFor(seconds(10)));
  EXPECT_LE(Reads() - earlier_reads, 14) << "g1 reads each second; the others only try g0 again";
}

TEST_F(SharedListReaderTest, AllStayFreshWhenASourceFreezes) {
  StartAll();
  world_.RunFor(seconds(3));
  stopped_ = "g0";
  world_.machine("g0").Freeze();
  platform_.replicas = 4;
  EXPECT_TRUE(StaysFreshFor(milliseconds(2500)));
  EXPECT_TRUE(AllKnow(4));
  EXPECT_TRUE(StaysFreshFor(seconds(10)));
}

TEST_F(SharedListReaderTest, DistrustsAnOldResponseAfterAFreeze) {
  StartAll();
  world_.RunFor(seconds(3));
  stopped_ = "g4";
  world_.machine("g4").Freeze();
  world_.RunFor(seconds(5));
  world_.machine("g4").Wake();
  world_.RunFor(milliseconds(2));
  EXPECT_FALSE(gateways_["g4"].poller->IsFresh());
  world_.RunFor(seconds(2));
  EXPECT_TRUE(gateways_["g4"].poller->IsFresh());
}

TEST_F(SharedListReaderTest, ReadsThePlatformWithoutNamedSources) {
  for (auto& [name, gateway] : gateways_) {
    gateway.sources.reset();
  }
  StartAll();
  world_.RunFor(milliseconds(5200));
  EXPECT_TRUE(AllKnow(1));
  EXPECT_TRUE(StaysFreshFor(seconds(5)));
}

TEST_F(SharedListReaderTest, SimultaneousStartsReadThePlatformOnce) {
  std::map<std::string, std::vector<ListSource>> sources;
  for (auto& [name, gateway] : gateways_) {
    sources[name] = *std::exchange(gateway.sources, std::nullopt);
  }
  StartAll();
  world_.RunFor(seconds(1));
  EXPECT_EQ(Reads(), 0) << "the coordinators have not named sources yet";
  for (auto& [name, gateway] : gateways_) {
    gateway.sources = sources[name];
  }
  world_.RunFor(milliseconds(200));
  EXPECT_TRUE(AllKnow(1));
  EXPECT_EQ(platform_.reads.size(), 1U);
  EXPECT_LE(Reads(), 2) << "its second read may be due already";
}

TEST_F(SharedListReaderTest, KeepsTheListWhileThePlatformTimesOut) {
  StartAll();
  world_.RunFor(seconds(3));
  platform_.responds = false;
  world_.RunFor(seconds(5));
  EXPECT_TRUE(StaysFreshFor(seconds(5)));
  platform_.responds = true;
  platform_.replicas = 2;
  world_.RunFor(seconds(5));
  EXPECT_TRUE(AllKnow(2));
}

// One gateway may have older sources than another, so two can be each other's source for a while.
TEST_F(SharedListReaderTest, MutualSourcesReadThePlatform) {
  gateways_["g0"].sources = {{world_.machine("g1").endpoint()}};
  StartAll();
  world_.RunFor(seconds(1));
  EXPECT_TRUE(AllKnow(1));
  EXPECT_TRUE(StaysFreshFor(seconds(5)));
}

/// g0 is the first gateway of one zone, and g1 the first of another, to which g2 to g4 also belong.
class SharedListOverZonesTest : public SharedListReaderTest {
 protected:
  SharedListOverZonesTest() {
    gateways_["g1"].sources = {{world_.machine("g0").endpoint(), /*in_zone=*/false}};
    for (int number = 2; number < kGateways; ++number) {
      std::vector<ListSource>& sources = *gateways_[Name(number)].sources;
      sources.erase(sources.begin());
    }
    StartAll();
    world_.RunFor(seconds(3));
  }
};

TEST_F(SharedListOverZonesTest, OneGatewayOfTheFleetReadsThePlatform) {
  const int earlier_reads = Reads();
  EXPECT_TRUE(StaysFreshFor(seconds(10)));
  EXPECT_LE(Reads() - earlier_reads, 11);
  platform_.replicas = 2;
  world_.RunFor(milliseconds(1100));
  EXPECT_TRUE(AllKnow(2));
}

TEST_F(SharedListOverZonesTest, OneGatewayReadsWhileTheRemoteSourceIsFrozen) {
  stopped_ = "g0";
  world_.machine("g0").Freeze();
  platform_.replicas = 4;
  const int earlier_reads = Reads();
  EXPECT_TRUE(StaysFreshFor(milliseconds(2500)));
  EXPECT_TRUE(AllKnow(4));
  EXPECT_TRUE(StaysFreshFor(seconds(7)));
  EXPECT_LE(Reads() - earlier_reads, 12) << "the others continue to read from g1";
}

TEST_F(SharedListOverZonesTest, PartitionedZonesReadThePlatformSeparately) {
  world_.Cut("g0", "g1");
  world_.Cut("g1", "g0");
  platform_.replicas = 3;
  EXPECT_TRUE(StaysFreshFor(seconds(3)));
  EXPECT_TRUE(AllKnow(3));
  world_.HealAll();
  world_.RunFor(seconds(12));
  const int earlier_reads = Reads();
  EXPECT_TRUE(StaysFreshFor(seconds(10)));
  EXPECT_LE(Reads() - earlier_reads, 11);
}

TEST_F(SharedListOverZonesTest, StaysFreshUnderAOneWayPartition) {
  world_.Cut("g0", "g1");
  platform_.replicas = 3;
  EXPECT_TRUE(StaysFreshFor(seconds(3)));
  EXPECT_TRUE(AllKnow(3));
}

}  // namespace
}  // namespace cloverbank
