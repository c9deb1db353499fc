// Tests of transactions on the routing configuration, most of them applied by the state machine.
#include "control_state/configuration_store.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <random>

#include "control_state/control_commands.h"

namespace cloverbank {
namespace {

using ::testing::HasSubstr;
using ::testing::UnorderedElementsAre;

proto::ConfigurationTransaction TenantTransaction(const std::string& operation_id,
                                                  std::uint64_t expected_version,
                                                  const std::string& tenant) {
  proto::ConfigurationTransaction transaction = MakeTransaction(operation_id, expected_version);
  AddTenant(&transaction, tenant);
  return transaction;
}

TEST(ConfigurationStoreTest, SecondWriterOfAVersionGetsConflict) {
  ControlDriver control;
  EXPECT_EQ(control.Submit(TenantTransaction("a", 1, "x")).outcome(),
            proto::TRANSACTION_OUTCOME_APPLIED);
  const proto::TransactionResult conflicting = control.Submit(TenantTransaction("b", 1, "y"));
  EXPECT_EQ(conflicting.outcome(), proto::TRANSACTION_OUTCOME_VERSION_CONFLICT);
  EXPECT_EQ(conflicting.version(), 2U);
  EXPECT_THAT(conflicting.problems(0), HasSubstr("the current version is 2"));
  EXPECT_FALSE(control.state.configuration().objects().tenants.contains("y"));
}

TEST(ConfigurationStoreTest, ResendReturnsFirstResultAfterSnapshot) {
  ControlDriver control;
  const auto applied = TenantTransaction("a", 1, "x");
  const auto conflicting = TenantTransaction("b", 1, "y");
  auto invalid = MakeTransaction("c", 2);
  AddTenant(&invalid, "");
  const std::string applied_result = control.Submit(applied).SerializeAsString();
  const std::string conflict_result = control.Submit(conflicting).SerializeAsString();
  const std::string invalid_result = control.Submit(invalid).SerializeAsString();
  control.Submit(TenantTransaction("d", 2, "z"));

  ControlDriver restored;
  ASSERT_TRUE(restored.state.RestoreSnapshot(control.state.TakeSnapshot()).ok());
  for (ControlDriver* member : {&control, &restored}) {
    EXPECT_EQ(member->Submit(applied).SerializeAsString(), applied_result);
    EXPECT_EQ(member->Submit(conflicting).SerializeAsString(), conflict_result);
    EXPECT_EQ(member->Submit(invalid).SerializeAsString(), invalid_result);
    EXPECT_EQ(member->state.configuration().version(), ConfigurationVersion(3));
  }
}

TEST(ConfigurationStoreTest, RefusesReusedOperationId) {
  ControlDriver control;
  const auto original = TenantTransaction("a", 1, "x");
  control.Submit(original);
  const proto::TransactionResult reused = control.Submit(TenantTransaction("a", 2, "y"));
  EXPECT_EQ(reused.outcome(), proto::TRANSACTION_OUTCOME_INVALID);
  EXPECT_THAT(reused.problems(0), HasSubstr("was used for another transaction"));
  EXPECT_EQ(control.Submit(original).outcome(), proto::TRANSACTION_OUTCOME_APPLIED);
  EXPECT_EQ(control.state.configuration().version(), ConfigurationVersion(2));
}

TEST(ConfigurationStoreTest, ListsAllProblemsAndChangesNothing) {
  ControlDriver control;
  auto setup = MakeTransaction("setup", 1);
  AddZone(&setup, "north");
  AddZone(&setup, "south", proto::ZONE_STATE_DRAINED);
  AddRoute(&setup, "kept")->add_zones("south");
  ASSERT_EQ(control.Submit(setup).outcome(), proto::TRANSACTION_OUTCOME_APPLIED);

  auto invalid = MakeTransaction("invalid", 2);
  proto::Route* route = AddRoute(&invalid, "r");
  route->add_zones("nowhere");
  route->set_deadline_ms(0);
  route->set_backend_kind(proto::BACKEND_KIND_UNSPECIFIED);
  route->clear_backend();
  AddTenant(&invalid, "");
  AddTenant(&invalid, "twice");
  AddTenant(&invalid, "twice");
  AddZone(&invalid, "north", proto::ZONE_STATE_DRAINED);
  AddZone(&invalid, "odd", proto::ZONE_STATE_UNSPECIFIED);
  invalid.add_changes()->set_remove_zone("south");
  invalid.add_changes()->set_remove_route("absent");
  invalid.add_changes()->mutable_set_batch()->set_live_headroom_percent(101);
  invalid.add_changes();
  const proto::TransactionResult result = control.Submit(invalid);
  EXPECT_EQ(result.outcome(), proto::TRANSACTION_OUTCOME_INVALID);
  EXPECT_THAT(result.problems(),
              UnorderedElementsAre(
                  HasSubstr("unknown zone \"nowhere\""), HasSubstr("deadline_ms is 0"),
                  HasSubstr("unknown backend_kind"), HasSubstr("backend is empty"),
                  HasSubstr("name is empty"), HasSubstr("changed twice"),
                  HasSubstr("no open zone would be left"), HasSubstr("unknown state"),
                  HasSubstr("while route \"kept\" names it"), HasSubstr("there is none"),
                  HasSubstr("live_headroom_percent"), HasSubstr("sets and removes nothing")));
  EXPECT_EQ(control.state.configuration().version(), ConfigurationVersion(2));
  EXPECT_FALSE(control.state.configuration().objects().tenants.contains("twice"));
}

TEST(ConfigurationStoreTest, RefusesInvalidEnvelope) {
  ControlDriver control;
  const proto::TransactionResult without_id = control.Submit(MakeTransaction("", 0));
  EXPECT_THAT(without_id.problems(0), HasSubstr("operation_id is empty"));
  const proto::TransactionResult without_changes = control.Submit(MakeTransaction("a", 0));
  EXPECT_THAT(without_changes.problems(),
              UnorderedElementsAre(HasSubstr("expected_version is missing"),
                                   HasSubstr("changes is empty")));
}

TEST(ConfigurationStoreTest, DryRunChangesNothing) {
  ControlDriver control;
  auto transaction = TenantTransaction("a", 1, "x");
  transaction.set_dry_run(true);
  EXPECT_EQ(control.Submit(transaction).outcome(), proto::TRANSACTION_OUTCOME_APPLIED);
  EXPECT_EQ(control.state.configuration().version(), ConfigurationVersion(1));
  EXPECT_EQ(control.Submit(TenantTransaction("a", 1, "y")).outcome(),
            proto::TRANSACTION_OUTCOME_APPLIED);
}

TEST(ConfigurationStoreTest, RecordsInForceTime) {
  ControlDriver control;
  const auto transaction = TenantTransaction("a", 1, "x");
  EXPECT_EQ(control.Submit(transaction).in_force_at_ms(), 0);
  proto::ControlCommand command;
  command.mutable_record_in_force()->set_version(2);
  command.mutable_record_in_force()->set_wall_ms(77);
  control.Apply(command);
  EXPECT_EQ(control.Submit(transaction).in_force_at_ms(), 77);
  EXPECT_EQ(control.state.configuration().History(1).at(0).in_force_at_ms(), 77);
}

TEST(ConfigurationStoreTest, BoundsRecordsAndHistory) {
  ConfigurationStore store;
  std::uint64_t version = 1;
  constexpr std::uint64_t kTransactions = OperationRecords::kMaximumRecords + 5;
  for (std::uint64_t at = 0; at < kTransactions; ++at, ++version) {
    store.Apply(TenantTransaction(std::to_string(at), version, "t"), 0);
  }
  EXPECT_EQ(store.FindOperation("4"), nullptr);
  EXPECT_NE(store.FindOperation("5"), nullptr);
  EXPECT_EQ(store.History(kTransactions).size(), ConfigurationStore::kMaximumHistoryRecords);
  EXPECT_TRUE(store.UpdateFrom(ConfigurationVersion(3)).has_full());
}

TEST(ConfigurationStoreTest, UpdateFromAnyVersionMatchesFull) {
  std::mt19937_64 random(7);
  ConfigurationStore store;
  std::map<std::uint64_t, proto::RoutingConfiguration> full_at{{1, store.FullConfiguration()}};
  std::size_t deltas = 0;
  for (int round = 0; round < 300; ++round) {
    auto transaction = MakeTransaction(std::to_string(round), store.version().value());
    for (std::uint64_t change = 0; change <= random() % 3; ++change) {
      const std::string name = "t" + std::to_string(random() % 40);
      if (random() % 4 == 0 && store.objects().tenants.contains(name)) {
        transaction.add_changes()->set_remove_tenant(name);
      } else {
        AddTenant(&transaction, name, static_cast<std::uint32_t>(random() % 100));
      }
    }
    store.Apply(transaction, round);  // Refused if it changes an object twice.
    full_at[store.version().value()] = store.FullConfiguration();
    const std::uint64_t known = 1 + random() % store.version().value();
    const proto::ConfigurationUpdate& update = store.UpdateFrom(ConfigurationVersion(known));
    EXPECT_EQ(update.to_version(), store.version().value());
    if (update.has_full()) {
      EXPECT_EQ(update.full().SerializeAsString(), store.FullConfiguration().SerializeAsString());
      continue;
    }
    ++deltas;
    ASSERT_EQ(update.from_version(), known);
    EXPECT_LT(update.ByteSizeLong(),
              store.FullConfiguration().ByteSizeLong() + 16);  // 16 bytes for the versions.
    ConfigurationObjects objects;
    objects.Load(full_at.at(known));
    for (const proto::ConfigurationChange& change : update.changes()) {
      objects.Apply(change);
    }
    proto::RoutingConfiguration updated = objects.ToProto();
    updated.set_version(update.to_version());
    EXPECT_EQ(updated.SerializeAsString(), store.FullConfiguration().SerializeAsString());
  }
  EXPECT_GT(deltas, 20U);
  EXPECT_GT(store.version(), ConfigurationVersion(100));
}

TEST(ConfigurationStoreTest, HandlesManyTenants) {
  ConfigurationStore store;
  auto all = MakeTransaction("all", 1);
  for (int tenant = 0; tenant < 22'000; ++tenant) {
    AddTenant(&all, "tenant-" + std::to_string(tenant));
  }
  ASSERT_EQ(store.Apply(all, 0).outcome(), proto::TRANSACTION_OUTCOME_APPLIED);
  ASSERT_EQ(store.Apply(TenantTransaction("one", 2, "tenant-5"), 0).outcome(),
            proto::TRANSACTION_OUTCOME_APPLIED);
  EXPECT_EQ(store.FullConfiguration().tenants_size(), 22'000);
  EXPECT_EQ(store.UpdateFrom(ConfigurationVersion(2)).changes_size(), 1);
}

}  // namespace
}  // namespace cloverbank
