#include "coordinator/transaction_handler.h"

#include <gtest/gtest.h>

#include "control_state/control_commands.h"

namespace cloverbank {
namespace {

constexpr TimePoint kStart{seconds(100)};

TEST(TransactionHandlerTest, VersionInForceIsLowestInUse) {
  ControlDriver control;
  LeaseTable leases{seconds(3)};
  const NodeId first = control.Register(proto::ROLE_GATEWAY, "front-1", 1);
  const NodeId second = control.Register(proto::ROLE_GATEWAY, "front-2", 2);
  control.Register(proto::ROLE_QUEUE, "store-1", 3);
  auto transaction = MakeTransaction("a", 1);
  AddTenant(&transaction, "x");
  control.Submit(transaction);
  leases.Start(kStart, NodeId(1));
  leases.RecordGrant(first, ConfigurationVersion(1), kStart);
  leases.RecordGrant(second, ConfigurationVersion(1), kStart + seconds(1));
  const auto in_force = [&](Duration after) {
    return VersionConfirmedByAll(control.state, leases, kStart + after).value();
  };
  EXPECT_EQ(in_force(seconds(1)), 1U);
  leases.RecordConfirmation(first, ConfigurationVersion(2));
  EXPECT_EQ(in_force(seconds(1)), 1U);
  EXPECT_EQ(FindGatewaysBehind(control.state, leases, kStart + seconds(1)), std::vector{second});
  EXPECT_EQ(in_force(seconds(5)), 2U) << "the lease of the second gateway has expired";
}

}  // namespace
}  // namespace cloverbank
