// Orders without a version are sent with what bounds them: their revision, and a deadline.
#include "control_client/unversioned_order_client.h"

#include <gtest/gtest.h>

#include <optional>

#include "fake_control.h"

namespace cloverbank {
namespace {

/// A node that takes orders of operators.
struct OrderNode {
  OrderNode(Environment& environment, const NodeAgentOptions& options)
      : agent(environment, options), client(environment, agent, "g") {
    agent.Start();
  }
  NodeAgent agent;
  UnversionedOrderClient client;
};

class UnversionedOrderClientTest : public testing::Test {
 protected:
  UnversionedOrderClientTest() {
    control_.transaction_result.set_outcome(proto::TRANSACTION_OUTCOME_APPLIED);
    control_.revision = 7;
    StartGateway(world_, control_, &node_);
    world_.RunFor(seconds(1));
  }
  void Submit(std::uint64_t revision = 7) {
    answer_.reset();
    proto::ConfigurationTransaction transaction;
    transaction.set_any_version(true);
    node_->client.Submit(
        transaction, {.revision = revision, .taken = world_.Now() - milliseconds(40)},
        [this](const Result<proto::SubmitTransactionResponse>& result) { answer_ = result; });
  }
  StatusCode AnswerCode() const {
    return answer_.has_value() ? answer_->status().code() : StatusCode::kInternal;
  }

  FakeControl control_;
  OrderNode* node_ = nullptr;
  std::optional<Result<proto::SubmitTransactionResponse>> answer_;
  SimulatedWorld world_{6};
};

TEST_F(UnversionedOrderClientTest, SendsAnOrderWithItsRevisionAndAge) {
  Submit(7);
  world_.RunFor(seconds(1));
  EXPECT_EQ(AnswerCode(), StatusCode::kOk);
  ASSERT_EQ(control_.transactions.size(), 1U);
  const proto::OrderGuard& guard = control_.transactions[0].guard();
  EXPECT_EQ(guard.revision(), 7U);
  EXPECT_EQ(guard.node(), "g");
  EXPECT_EQ(guard.age_ms(), 40U);
}

// Guards against an order without a revision that looks to the leader like one without a guard.
TEST_F(UnversionedOrderClientTest, SendsAGuardWithoutARevisionToo) {
  Submit(0);
  proto::RetireServerRequest retire;
  retire.set_machine("store-1");
  node_->client.Retire(retire, {.revision = 0, .taken = world_.Now()},
                       [](const Result<proto::RetireServerResponse>&) {});
  world_.RunFor(seconds(1));
  ASSERT_EQ(control_.transactions.size(), 1U);
  EXPECT_TRUE(control_.transactions[0].has_guard());
  EXPECT_EQ(control_.retirements.size(), 1U);
  EXPECT_TRUE(control_.retirements.at(0).has_guard());
}

TEST_F(UnversionedOrderClientTest, PassesOnTheCurrentRevisionOfARefusedOrder) {
  control_.revision = 41;
  Submit(7);
  world_.RunFor(seconds(1));
  EXPECT_EQ(AnswerCode(), StatusCode::kStaleEpoch);
  EXPECT_EQ(answer_->status().detail(), "41");
}

// Guards against an order that is carried out at another revision than the one that it names.
TEST_F(UnversionedOrderClientTest, DoesNotRepeatARefusedOrderByItself) {
  control_.revision = 41;
  Submit(7);
  world_.RunFor(seconds(5));
  EXPECT_EQ(control_.transactions.size(), 1U);
}

// Guards against retries that reach the coordinators after the operator went on to another node.
TEST_F(UnversionedOrderClientTest, GivesUpBeforeOperatorsDo) {
  for (const char* coordinator : {"c1", "c2", "c3"}) {
    world_.Cut("g", coordinator);
  }
  Submit();
  world_.RunFor(seconds(1));
  EXPECT_TRUE(answer_.has_value());
  world_.HealAll();
  world_.RunFor(seconds(5));
  EXPECT_TRUE(control_.transactions.empty());
}

}  // namespace
}  // namespace cloverbank
