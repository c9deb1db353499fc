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

TEST(ConfigurationWatchTest, AppliesEveryKindOfChangeInOrder) {
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
  const proto::RoutingConfiguration& held = watch.configuration();
  ASSERT_EQ(held.routes_size(), 2);
  EXPECT_EQ(held.routes(0).name(), "a");
  EXPECT_EQ(held.routes(1).name(), "b");
  ASSERT_EQ(held.zones_size(), 2);
  EXPECT_EQ(held.zones(0).name(), "b");
  EXPECT_EQ(held.zones(0).state(), proto::ZONE_STATE_DRAINED);
  ASSERT_EQ(held.tenants_size(), 2);
  EXPECT_EQ(held.tenants(1).name(), "c");
  EXPECT_TRUE(held.batch().paused());
  EXPECT_EQ(held.version(), 1U);
}

TEST(ConfigurationWatchTest, UnknownChangeAppliesNothing) {
  proto::ConfigurationUpdate update = Delta(0, 1);
  update.add_changes()->mutable_set_route()->set_name("a");
  update.add_changes();
  ConfigurationWatch watch;
  EXPECT_EQ(watch.Apply(update), UpdateOutcome::kGap);
  EXPECT_EQ(watch.configuration().routes_size(), 0);
  EXPECT_EQ(watch.VersionToReport(), ConfigurationVersion(0));
}

TEST(FleetWatchTest, MergesDeltasAndDropsTheDead) {
  proto::FleetUpdate whole;
  whole.set_to_version(4);
  for (const std::uint64_t id : {10, 11}) {
    whole.add_servers()->set_node_id(id);
  }
  whole.add_partitions()->set_owner(10);
  FleetWatch watch;
  ASSERT_EQ(watch.Apply(whole), UpdateOutcome::kApplied);
  ASSERT_NE(watch.view().OwnerOf(PartitionId(0)), nullptr);

  proto::FleetUpdate gap;
  gap.set_from_version(5);
  gap.set_to_version(6);
  EXPECT_EQ(watch.Apply(gap), UpdateOutcome::kGap);
  EXPECT_EQ(watch.VersionToReport(), FleetVersion(0));

  proto::FleetUpdate delta;
  delta.set_from_version(4);
  delta.set_to_version(5);
  proto::Server* dead = delta.add_servers();
  dead->set_node_id(10);
  dead->set_state(proto::SERVER_STATE_DEAD);
  ASSERT_EQ(watch.Apply(delta), UpdateOutcome::kApplied);
  EXPECT_EQ(watch.view().servers.size(), 1U);
  EXPECT_EQ(watch.view().OwnerOf(PartitionId(0)), nullptr) << "nobody owns what a dead node owned";

  EXPECT_EQ(watch.Apply(whole), UpdateOutcome::kOlder);
  EXPECT_EQ(watch.view().version, FleetVersion(5));
}

}  // namespace
}  // namespace cloverbank
