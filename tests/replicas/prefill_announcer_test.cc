// Gateways of one zone that announce to each other which prompts they send.
#include "replicas/prefill_announcer.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "replicas/prefill_load.h"
#include "simulation/simulated_world.h"

namespace cloverbank {
namespace {

constexpr int kGateways = 3;
/// Longer than it takes to batch and deliver announcements.
constexpr Duration kPropagationDelay = milliseconds(20);

struct ReceivedPrompt {
  std::string replica;
  std::uint32_t tokens = 0;
  std::uint64_t key = 0;
  bool operator==(const ReceivedPrompt&) const = default;
};

class PrefillAnnouncerTest : public testing::Test {
 protected:
  PrefillAnnouncerTest() {
    for (int number = 0; number < kGateways; ++number) {
      const std::string name = Name(number);
      SimulatedMachine& machine = world_.AddMachine(name, "10.0.1." + std::to_string(number + 1));
      machine.SetProgram([this, name](Environment& environment, DataFolder&) {
        auto announcer = std::make_shared<PrefillAnnouncer>(
            environment, [this, name] { return NeighboursOf(name); },
            [this, name](const std::string& replica, std::uint32_t tokens, std::uint64_t key) {
              received_[name].push_back({replica, tokens, key});
            });
        announcers_[name] = announcer.get();
        return announcer;
      });
    }
    for (int number = 0; number < kGateways; ++number) {
      world_.machine(Name(number)).Start();
    }
  }

  static std::string Name(int number) { return "g" + std::to_string(number); }

  std::vector<Endpoint> NeighboursOf(const std::string& name) {
    std::vector<Endpoint> neighbours;
    for (int number = 0; number < kGateways; ++number) {
      if (Name(number) != name) {
        neighbours.push_back(world_.machine(Name(number)).endpoint());
      }
    }
    return neighbours;
  }

  SimulatedWorld world_{7};
  std::map<std::string, PrefillAnnouncer*> announcers_;
  std::map<std::string, std::vector<ReceivedPrompt>> received_;
};

TEST_F(PrefillAnnouncerTest, AnnouncesAPromptOnceToEachNeighbour) {
  announcers_["g0"]->Announce("r1", 1'200, 42);
  world_.RunFor(kPropagationDelay);
  const std::vector<ReceivedPrompt> expected = {{"r1", 1'200, 42}};
  EXPECT_EQ(received_["g1"], expected);
  EXPECT_EQ(received_["g2"], expected);
  EXPECT_TRUE(received_["g0"].empty());
}

TEST_F(PrefillAnnouncerTest, BatchedPromptsArriveInOrder) {
  announcers_["g0"]->Announce("r1", 1'200, 1);
  announcers_["g0"]->Announce("r2", 800, 2);
  world_.RunFor(kPropagationDelay);
  const std::vector<ReceivedPrompt> expected = {{"r1", 1'200, 1}, {"r2", 800, 2}};
  EXPECT_EQ(received_["g1"], expected);
}

TEST_F(PrefillAnnouncerTest, DoesNotAnnounceTheShortestPrompts) {
  announcers_["g0"]->Announce("r1", 100, 1);
  world_.RunFor(kPropagationDelay);
  EXPECT_TRUE(received_["g1"].empty());
}

TEST_F(PrefillAnnouncerTest, ADeadNeighbourDoesNotDelayOthers) {
  world_.machine("g1").Kill();
  announcers_["g0"]->Announce("r1", 1'200, 42);
  world_.RunFor(kPropagationDelay);
  EXPECT_EQ(received_["g2"].size(), 1U);
}

// With announcements, a gateway's estimate of a replica's backlog is close to the actual backlog
// although most prompts come from other gateways. This keeps gateways from sending prompts to the
// same replica at the same time.
TEST_F(PrefillAnnouncerTest, BacklogIncludesPromptsOfOtherGateways) {
  PrefillOptions options;
  options.initial_tokens_per_ms = 100;
  PrefillLoad load(options);
  const TimePoint now{seconds(1)};
  for (int prompt = 0; prompt < 5; ++prompt) {
    announcers_["g0"]->Announce("r1", 1'000, 0);
    announcers_["g1"]->Announce("r1", 1'000, 0);
  }
  world_.RunFor(kPropagationDelay);
  for (const ReceivedPrompt& prompt : received_["g2"]) {
    load.OnStart(prompt.replica, prompt.tokens, prompt.key, now);
  }
  EXPECT_EQ(load.Backlog("r1", now), milliseconds(100));
}

}  // namespace
}  // namespace cloverbank
