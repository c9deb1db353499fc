#include "log_writer/backup_selector.h"

#include <gtest/gtest.h>

#include <random>

namespace cloverbank {
namespace {

class BackupSelectorTest : public testing::Test {
 protected:
  void Add(std::uint64_t id, const std::string& zone, bool spare = false,
           proto::ServerState state = proto::SERVER_STATE_UP) {
    proto::Server& server = fleet_.servers[NodeId(id)];
    server.set_node_id(id);
    server.set_role(proto::ROLE_BACKUP);
    server.set_zone(zone);
    server.set_spare(spare);
    server.set_state(state);
  }
  std::set<NodeId> Select(const BackupRequest& request) {
    const auto chosen = SelectBackups(fleet_, request, [this] { return random_(); });
    std::set<NodeId> distinct(chosen.begin(), chosen.end());
    EXPECT_EQ(distinct.size(), chosen.size());
    return distinct;
  }

  FleetView fleet_;
  std::mt19937_64 random_{5};
};

TEST_F(BackupSelectorTest, ChoosesOneBackupPerZone) {
  for (std::uint64_t id = 1; id <= 9; ++id) {
    Add(id, "zone" + std::to_string(id % 3));
  }
  for (int i = 0; i < 100; ++i) {
    std::set<std::string> zones;
    for (const NodeId id : Select({.count = 3, .replicas = 3})) {
      zones.insert(fleet_.servers[id].zone());
    }
    EXPECT_EQ(zones.size(), 3U);
  }
}

TEST_F(BackupSelectorTest, ChoosesEveryBackupOverManySelections) {
  for (std::uint64_t id = 1; id <= 9; ++id) {
    Add(id, "zone" + std::to_string(id % 3));
  }
  std::set<NodeId> chosen;
  for (int i = 0; i < 100; ++i) {
    chosen.merge(Select({.count = 3, .replicas = 3}));
  }
  EXPECT_EQ(chosen.size(), 9U);
}

TEST_F(BackupSelectorTest, ReplacementGoesToUnusedZone) {
  for (std::uint64_t id = 1; id <= 6; ++id) {
    Add(id, "zone" + std::to_string(id % 3));
  }
  const auto chosen = Select({.count = 1, .replicas = 3, .locations = {NodeId(1), NodeId(2)}});
  ASSERT_EQ(chosen.size(), 1U);
  EXPECT_EQ(fleet_.servers[*chosen.begin()].zone(), "zone0");
}

class SpareBackupSelectorTest : public BackupSelectorTest {
 protected:
  SpareBackupSelectorTest() {
    Add(1, "a");
    Add(2, "b");
    Add(3, "c");
    Add(11, "a", true);
    Add(12, "b", true);
  }
};

TEST_F(SpareBackupSelectorTest, PrefersRegularBackups) {
  EXPECT_EQ(Select({.count = 3, .replicas = 3}),
            (std::set<NodeId>{NodeId(1), NodeId(2), NodeId(3)}));
}

TEST_F(SpareBackupSelectorTest, FillsMissingReplicaInUnusedZone) {
  EXPECT_EQ(Select({.count = 3, .replicas = 3, .avoid = {NodeId(2)}}),
            (std::set<NodeId>{NodeId(1), NodeId(3), NodeId(12)}));
}

TEST_F(SpareBackupSelectorTest, ChoosesNoSpareForFullReplication) {
  EXPECT_TRUE(
      Select({.count = 1, .replicas = 3, .locations = {NodeId(1), NodeId(2), NodeId(3)}}).empty());
}

TEST_F(BackupSelectorTest, SkipsRetiringDeadAndAvoidedBackups) {
  Add(1, "a", false, proto::SERVER_STATE_RETIRING);
  Add(2, "b", false, proto::SERVER_STATE_DEAD);
  Add(3, "c");
  Add(4, "c");
  EXPECT_EQ(Select({.count = 3, .replicas = 3, .avoid = {NodeId(4)}}), std::set<NodeId>{NodeId(3)});
}

}  // namespace
}  // namespace cloverbank
