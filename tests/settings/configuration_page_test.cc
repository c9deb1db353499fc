/// @file
/// Checks docs/CONFIGURATION.md against the settings reader: the number of documented keys is the
/// expected one and the reader knows each of them.

#include <gtest/gtest.h>

#include <fstream>
#include <regex>
#include <set>
#include <string>

#include "settings/settings.h"

namespace cloverbank {
namespace {

std::set<std::string> DocumentedKeys() {
  std::ifstream page(CLOVERBANK_SOURCE_FOLDER "/docs/CONFIGURATION.md");
  std::set<std::string> keys;
  std::string line;
  const std::regex row(R"(^\| `([a-z_]+\.[a-z_]+)` \|.*)");
  std::smatch match;
  while (std::getline(page, line)) {
    if (std::regex_match(line, match, row)) {
      keys.insert(match[1]);
    }
  }
  return keys;
}

bool IsKnown(const std::string& key) {
  std::vector<SettingsProblem> problems;
  const auto dot = key.find('.');
  const std::string toml = "[" + key.substr(0, dot) + "]\n" + key.substr(dot + 1) + " = 1\n";
  const auto settings = ParseSettings(toml, "x.toml", {}, &problems);
  EXPECT_FALSE(settings.ok());
  for (const SettingsProblem& problem : problems) {
    if (problem.key == key && problem.found == "an unknown key") {
      return false;
    }
  }
  return true;
}

TEST(ConfigurationPageTest, EveryDocumentedKeyIsKnown) {
  const std::set<std::string> keys = DocumentedKeys();
  EXPECT_EQ(keys.size(), 36U);
  for (const std::string& key : keys) {
    EXPECT_TRUE(IsKnown(key)) << key;
  }
  EXPECT_FALSE(IsKnown("node.no_such_key"));
}

}  // namespace
}  // namespace cloverbank
