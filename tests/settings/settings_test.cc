#include "settings/settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace cloverbank {
namespace {

using testing::HasSubstr;

constexpr std::string_view kValidSettings = R"([node]
name = "store-1"
zone = "a"
roles = ["queue", "backup"]
data_folder = "/tmp/store-1"
[listen]
address = "127.0.0.1"
[seeds]
addresses = ["127.0.0.2:7401", "127.0.0.3:7401", "127.0.0.4:7401"]
)";

std::vector<SettingsProblem> ProblemsOf(std::string_view toml,
                                        const std::vector<SettingsOverride>& overrides = {}) {
  std::vector<SettingsProblem> problems;
  const auto settings = ParseSettings(toml, "x.toml", overrides, &problems);
  EXPECT_EQ(settings.ok(), problems.empty());
  return problems;
}

const SettingsProblem* FindKey(const std::vector<SettingsProblem>& problems, std::string_view key) {
  const auto found =
      std::find_if(problems.begin(), problems.end(),
                   [&](const SettingsProblem& problem) { return problem.key == key; });
  return found == problems.end() ? nullptr : &*found;
}

TEST(SettingsTest, ValidFileGetsDefaultsForAbsentKeys) {
  const auto settings = ParseSettings(kValidSettings, "x.toml", {}, nullptr);
  ASSERT_TRUE(settings.ok()) << settings.status().ToString();
  EXPECT_TRUE(settings->roles.queue);
  EXPECT_FALSE(settings->roles.gateway);
  EXPECT_EQ(settings->peer, (Endpoint{"127.0.0.1", 7401}));
  EXPECT_EQ(settings->seeds.size(), 3U);
  EXPECT_EQ(settings->replicas, 3U);
}

TEST(SettingsTest, AcceptsLossesBorneUpToTwenty) {
  for (const std::uint32_t losses : {0U, 2U, 20U}) {
    const SettingsOverride flag{"control.losses_borne", std::to_string(losses)};
    const auto settings = ParseSettings(kValidSettings, "x.toml", {flag}, nullptr);
    ASSERT_TRUE(settings.ok()) << settings.status().ToString();
    EXPECT_EQ(settings->losses_borne, losses);
  }
  EXPECT_NE(
      FindKey(ProblemsOf(kValidSettings, {{"control.losses_borne", "21"}}), "control.losses_borne"),
      nullptr);
}

TEST(SettingsTest, ReportsEveryProblemWithItsLine) {
  const auto problems = ProblemsOf(R"([node]
name = "store-1"
zone = 7
roles = ["queue", "bakup"]
[listen]
address = "localhost"
client_port = 70000
[seeds]
addresses = ["127.0.0.2"]
[log]
segment_byte = 9
)");
  const SettingsProblem* zone = FindKey(problems, "node.zone");
  ASSERT_NE(zone, nullptr);
  EXPECT_EQ(zone->line, 3U);
  EXPECT_EQ(zone->found, "7");
  ASSERT_NE(FindKey(problems, "node.roles"), nullptr);
  EXPECT_EQ(FindKey(problems, "node.roles")->found, "\"bakup\"");
  EXPECT_EQ(FindKey(problems, "listen.address")->line, 6U);
  EXPECT_EQ(FindKey(problems, "listen.client_port")->ToString(),
            "x.toml:7: listen.client_port: found 70000, expected a whole number from 1 to 65535");
  EXPECT_EQ(FindKey(problems, "seeds.addresses")->found, "\"127.0.0.2\"");
  ASSERT_NE(FindKey(problems, "log.segment_byte"), nullptr);
  EXPECT_THAT(FindKey(problems, "log.segment_byte")->expected, HasSubstr("log.segment_bytes"));
}

TEST(SettingsTest, ReportsTheLineOfASyntaxError) {
  const auto problems = ProblemsOf("[node]\nname = \n");
  ASSERT_EQ(problems.size(), 1U);
  EXPECT_EQ(problems[0].line, 2U);
}

TEST(SettingsTest, RolesDetermineRequiredKeys) {
  const auto problems = ProblemsOf(R"([node]
name = "front"
zone = "a"
roles = ["coordinator", "gateway"]
[listen]
address = "127.0.0.1"
[seeds]
addresses = ["127.0.0.1:7401"]
)");
  EXPECT_NE(FindKey(problems, "node.data_folder"), nullptr);
  EXPECT_NE(FindKey(problems, "platform.replica_list"), nullptr);
}

TEST(SettingsTest, FlagsOverrideTheFile) {
  const auto settings = ParseSettings(kValidSettings, "x.toml",
                                      {{"listen.peer_port", "9000"}, {"node.zone", "b"}}, nullptr);
  ASSERT_TRUE(settings.ok()) << settings.status().ToString();
  EXPECT_EQ(settings->peer.port, 9000);
  EXPECT_EQ(settings->zone, "b");
  const auto problems = ProblemsOf(kValidSettings, {{"log.copies", "many"}});
  ASSERT_EQ(problems.size(), 1U);
  EXPECT_EQ(problems[0].file, "--set");
}

TEST(SettingsTest, RejectsContradictorySettings) {
  const std::string valid(kValidSettings);
  const auto death_before_lease_end =
      ProblemsOf(valid + "[control]\nnode_lease_ms = 3000\ndeath_after_ms = 1000\n");
  EXPECT_NE(FindKey(death_before_lease_end, "control.death_after_ms"), nullptr);
  const auto minimum_above_copies = ProblemsOf(valid + "[log]\ncopies = 2\nminimum_copies = 3\n");
  EXPECT_NE(FindKey(minimum_above_copies, "log.minimum_copies"), nullptr);
}

TEST(SettingsTest, ErrorNamesTheMissingFile) {
  const auto settings = LoadSettings("/nonexistent/x.toml", {}, nullptr);
  ASSERT_FALSE(settings.ok());
  EXPECT_THAT(settings.status().message(), HasSubstr("/nonexistent/x.toml"));
}

}  // namespace
}  // namespace cloverbank
