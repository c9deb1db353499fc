#include <gtest/gtest.h>

#include "control_client/configuration_watch.h"
#include "control_client/fleet_watch.h"

namespace cloverbank {
namespace {

proto::ConfigurationUpdate Delta(std::uint64_t from, std::uint64_t to) {
  proto::ConfigurationUpdate update;
  update.set_from_version(from);
  update.set_to_version(to);
  return update;
}

TEST(ConfigurationWatchTest, AppliesChangesInOrderAndKeepsListsSorted) {
  proto::ConfigurationUpdate update = Delta(0, 1);
  for (const char* name : {"b", "c", "a"}) {
    update.add_changes()->mutable_set_route()->set_name(name);
    update.add_changes()->mutable_set_zone()->set_name(name);
    update.add_changes()->mutable_set_tenant()->set_name(name);
  }
  update.add_changes()->set_remove_route("c");
  update.add_changes()->set_remove_zone("a");
  update.add_changes()->set_remove_tenant("b");
  update.add_changes()->mutable_set_zone()->set_name("b");
  update.mutable_changes(update.changes_size() - 1)
      ->mutable_set_zone()
      ->set_state(proto::ZONE_STATE_DRAINED);
  update.add_changes()->mutable_set_batch()->set_paused(true);
  ConfigurationWatch watch;
  ASSERT_EQ(watch.Apply(update), UpdateOutcome::kApplied);
  const proto::RoutingConfiguration& configuration = watch.configuration();
  ASSERT_EQ(configuration.routes_size(), 2);
  EXPECT_EQ(configuration.routes(0).name(), "a");
  EXPECT_EQ(configuration.routes(1).name(), "b");
  ASSERT_EQ(configuration.zones_size(), 2);
  EXPECT_EQ(configuration.zones(0).name(), "b");
  EXPECT_EQ(configuration.zones(0).state(), proto::ZONE_STATE_DRAINED);
  ASSERT_EQ(configuration.tenants_size(), 2);
  EXPECT_EQ(configuration.tenants(1).name(), "c");
  EXPECT_TRUE(configuration.batch().paused());
  EXPECT_EQ(configuration.version(), 1U);
}

TEST(ConfigurationWatchTest, RefusesADeltaWithAnUnknownChange) {
  proto::ConfigurationUpdate update = Delta(0, 1);
  update.add_changes()->mutable_set_route()->set_name("a");
  update.add_changes();
  ConfigurationWatch watch;
  EXPECT_EQ(watch.Apply(update), UpdateOutcome::kGap);
  EXPECT_EQ(watch.configuration().routes_size(), 0);
  EXPECT_EQ(watch.VersionToReport(), ConfigurationVersion(0));
}

/// A fleet watch at version 4 with servers 10 and 11. Server 10 owns partition 0.
class FleetWatchTest : public testing::Test {
 protected:
  FleetWatchTest() {
    full_.set_to_version(4);
    for (const std::uint64_t id : {10, 11}) {
      full_.add_servers()->set_node_id(id);
    }
    full_.add_partitions()->set_owner(10);
    EXPECT_EQ(watch_.Apply(full_), UpdateOutcome::kApplied);
  }

  /// @return a delta from version 4 to 5 that declares server 10, the owner of partition 0, dead.
  static proto::FleetUpdate DeathOfOwner() {
    proto::FleetUpdate delta;
    delta.set_from_version(4);
    delta.set_to_version(5);
    proto::Server* dead = delta.add_servers();
    dead->set_node_id(10);
    dead->set_state(proto::SERVER_STATE_DEAD);
    return delta;
  }

  proto::FleetUpdate full_;
  FleetWatch watch_;
};

TEST_F(FleetWatchTest, RequestsAFullUpdateAfterAGap) {
  proto::FleetUpdate gap;
  gap.set_from_version(5);
  gap.set_to_version(6);
  EXPECT_EQ(watch_.Apply(gap), UpdateOutcome::kGap);
  EXPECT_EQ(watch_.VersionToReport(), FleetVersion(0));
}

TEST_F(FleetWatchTest, AppliesAMatchingDeltaAfterAGap) {
  proto::FleetUpdate gap;
  gap.set_from_version(5);
  gap.set_to_version(6);
  ASSERT_EQ(watch_.Apply(gap), UpdateOutcome::kGap);
  EXPECT_EQ(watch_.Apply(DeathOfOwner()), UpdateOutcome::kApplied);
}

TEST_F(FleetWatchTest, RemovesDeadServers) {
  ASSERT_NE(watch_.view().OwnerOf(PartitionId(0)), nullptr);
  ASSERT_EQ(watch_.Apply(DeathOfOwner()), UpdateOutcome::kApplied);
  EXPECT_EQ(watch_.view().servers.size(), 1U);
  EXPECT_EQ(watch_.view().OwnerOf(PartitionId(0)), nullptr) << "a dead server owns no partition";
}

TEST_F(FleetWatchTest, RejectsAnOlderVersion) {
  ASSERT_EQ(watch_.Apply(DeathOfOwner()), UpdateOutcome::kApplied);
  EXPECT_EQ(watch_.Apply(full_), UpdateOutcome::kOlder);
  EXPECT_EQ(watch_.view().version, FleetVersion(5));
}

}  // namespace
}  // namespace cloverbank
