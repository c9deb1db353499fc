// What the leader does with orders that name no version to build on, however late they come.
#include "coordinator/order_admission.h"

#include <gtest/gtest.h>

#include "base/parse_number.h"
#include "coordinator_fixture.h"

namespace cloverbank {
namespace {

class OrderAdmissionTest : public CoordinatorFixture {
 protected:
  OrderAdmissionTest() { world.RunFor(seconds(1)); }

  /// @return an order as a gateway sends it, with a revision or with 0.
  static proto::SubmitTransactionRequest MakeOrder(proto::ZoneState state, std::uint64_t revision) {
    proto::SubmitTransactionRequest request;
    proto::ConfigurationTransaction& transaction = *request.mutable_transaction();
    transaction.set_any_version(true);
    transaction.set_operation_id("evacuate-" + proto::ZoneState_Name(state) + "-" +
                                 std::to_string(revision));
    proto::Zone& zone = *transaction.add_changes()->mutable_set_zone();
    zone.set_name("a");
    zone.set_state(state);
    request.mutable_guard()->set_revision(revision);
    return request;
  }
  Result<proto::SubmitTransactionResponse> Send(const proto::SubmitTransactionRequest& request,
                                                std::size_t coordinator = 0) {
    return Call<proto::SubmitTransactionResponse>(coordinators[coordinator],
                                                  "coordinator.SubmitTransaction", request);
  }
  std::uint64_t AskForRevision(std::size_t coordinator = 0) {
    const auto refused = Send(MakeOrder(proto::ZONE_STATE_OPEN, 0), coordinator);
    EXPECT_EQ(refused.status().code(), StatusCode::kStaleEpoch);
    return ParseInteger(refused.status().detail()).value_or(0);
  }
  /// Asks for a revision and orders with it. @return the order that was carried out.
  proto::SubmitTransactionRequest Order(proto::ZoneState state) {
    auto request = MakeOrder(state, AskForRevision());
    const auto result = Send(request);
    EXPECT_TRUE(result.ok()) << result.status().ToString();
    EXPECT_EQ(result->result().outcome(), proto::TRANSACTION_OUTCOME_APPLIED);
    return request;
  }
  proto::ZoneState ZoneState() { return state().configuration().objects().zones.at("a").state(); }
};

TEST_F(OrderAdmissionTest, AnOrderWithoutARevisionChangesNothing) {
  Order(proto::ZONE_STATE_DRAINED);
  const auto version = state().configuration().version();
  EXPECT_EQ(Send(MakeOrder(proto::ZONE_STATE_OPEN, 0)).status().code(), StatusCode::kStaleEpoch);
  EXPECT_EQ(state().configuration().version(), version);
  EXPECT_EQ(ZoneState(), proto::ZONE_STATE_DRAINED);
}

// Guards against an old `end` that undoes a newer evacuation (issue 54, EVAC).
TEST_F(OrderAdmissionTest, ALateCopyDoesNotUndoANewerOrder) {
  Order(proto::ZONE_STATE_DRAINED);
  const auto end = Order(proto::ZONE_STATE_OPEN);
  Order(proto::ZONE_STATE_DRAINED);
  const auto late = Send(end);  // It gets its first result again.
  EXPECT_TRUE(late.ok());
  EXPECT_EQ(ZoneState(), proto::ZONE_STATE_DRAINED);
}

TEST_F(OrderAdmissionTest, ALateOrderThatWasNeverCarriedOutIsRefused) {
  const auto end = MakeOrder(proto::ZONE_STATE_OPEN, AskForRevision());
  Order(proto::ZONE_STATE_DRAINED);
  EXPECT_EQ(Send(end).status().code(), StatusCode::kStaleEpoch);
  EXPECT_EQ(ZoneState(), proto::ZONE_STATE_DRAINED);
}

// Guards against the same where an order changes nothing: it ends the revisions of older ones too.
TEST_F(OrderAdmissionTest, AnOrderThatChangesNothingOvertakesOlderOnes) {
  Order(proto::ZONE_STATE_DRAINED);
  const auto end = MakeOrder(proto::ZONE_STATE_OPEN, AskForRevision());
  Order(proto::ZONE_STATE_DRAINED);
  EXPECT_EQ(Send(end).status().code(), StatusCode::kStaleEpoch);
  EXPECT_EQ(ZoneState(), proto::ZONE_STATE_DRAINED);
}

TEST_F(OrderAdmissionTest, ANewLeaderRefusesTheRevisionsOfTheOldOne) {
  const auto end = MakeOrder(proto::ZONE_STATE_OPEN, AskForRevision());
  members["c2"]->log.BecomeLeader();
  world.RunFor(seconds(1));
  EXPECT_EQ(Send(end, 1).status().code(), StatusCode::kStaleEpoch);
  members["c1"]->log.BecomeLeader();  // It leads again, in another term.
  world.RunFor(seconds(1));
  EXPECT_EQ(Send(end).status().code(), StatusCode::kStaleEpoch);
}

TEST_F(OrderAdmissionTest, AnOrderThatIsSentAgainGetsItsResultAgain) {
  const auto order = MakeOrder(proto::ZONE_STATE_DRAINED, AskForRevision());
  const auto first = Send(order);
  const auto second = Send(order);
  ASSERT_TRUE(first.ok() && second.ok());
  EXPECT_EQ(first->result().version(), second->result().version());
}

TEST_F(OrderAdmissionTest, RefusesAnyVersionForSeveralChanges) {
  auto request = MakeOrder(proto::ZONE_STATE_OPEN, AskForRevision());
  *request.mutable_transaction()->add_changes() = request.transaction().changes(0);
  EXPECT_EQ(Send(request).status().code(), StatusCode::kInvalidArgument);
}

// Guards against a late order that empties a machine again after that was cancelled.
TEST_F(OrderAdmissionTest, ALateRetirementDoesNotUndoItsCancelling) {
  Add(proto::ROLE_BACKUP, "b1");
  Add(proto::ROLE_BACKUP, "b2");
  world.RunFor(seconds(3));
  const auto retire = [this](std::uint64_t revision, bool cancel) {
    proto::RetireServerRequest request;
    request.set_machine("b1");
    request.set_cancel(cancel);
    request.mutable_guard()->set_revision(revision);
    return Call<proto::RetireServerResponse>(coordinators[0], "coordinator.RetireServer", request)
        .status();
  };
  const auto next_revision = [&retire] {
    return ParseInteger(retire(0, false).detail()).value_or(0);
  };
  const std::uint64_t first = next_revision();
  ASSERT_TRUE(retire(first, false).ok());
  ASSERT_TRUE(retire(next_revision(), true).ok());
  EXPECT_EQ(retire(first, false).code(), StatusCode::kStaleEpoch);
  EXPECT_TRUE(state().servers().retired_machines().empty());
}

}  // namespace
}  // namespace cloverbank
