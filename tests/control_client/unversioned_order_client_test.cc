// Orders without a version must not be carried out late: nothing in them tells how old they are.
#include "control_client/unversioned_order_client.h"

#include <gtest/gtest.h>

#include <optional>

#include "fake_control.h"

namespace cloverbank {
namespace {

/// A node that takes orders of operators.
struct OrderNode {
  OrderNode(Environment& environment, const NodeAgentOptions& options)
      : agent(environment, options), client(environment, agent) {
    agent.Start();
  }
  NodeAgent agent;
  UnversionedOrderClient client;
};

class UnversionedOrderClientTest : public testing::Test {
 protected:
  UnversionedOrderClientTest() {
    control_.transaction_result.set_outcome(proto::TRANSACTION_OUTCOME_APPLIED);
    NodeAgentOptions options;
    options.role = proto::ROLE_GATEWAY;
    options.coordinators = AddFakeCoordinators(world_, control_);
    world_.AddMachine("g", "10.0.0.1")
        .SetProgram([this, options](Environment& environment, DataFolder&) {
          auto created = std::make_shared<OrderNode>(environment, options);
          node_ = created.get();
          return created;
        });
    world_.machine("g").Start();
    world_.RunUntil([this] { return node_->agent.HasValidLease(); }, seconds(5));
    world_.RunFor(seconds(1));
  }
  void Submit() {
    answer_.reset();
    node_->client.Submit(
        proto::ConfigurationTransaction(), [this] { return waits_; },
        [this](const Result<proto::SubmitTransactionResponse>& result) { answer_ = result; });
  }
  StatusCode AnswerCode() const {
    return answer_.has_value() ? answer_->status().code() : StatusCode::kInternal;
  }

  FakeControl control_;
  OrderNode* node_ = nullptr;
  bool waits_ = true;  ///< Whether the operator waits for the answer.
  std::optional<Result<proto::SubmitTransactionResponse>> answer_;
  SimulatedWorld world_{6};
};

TEST_F(UnversionedOrderClientTest, SendsAnOrderWhoseOperatorWaits) {
  Submit();
  world_.RunFor(seconds(1));
  EXPECT_EQ(AnswerCode(), StatusCode::kOk);
  EXPECT_EQ(control_.transactions.size(), 1U);
}

// Guards against a node that slept carrying out an order that a newer one has overtaken (review/3).
TEST_F(UnversionedOrderClientTest, RefusesWhatItReadsRightAfterASuspension) {
  world_.machine("g").Freeze();
  world_.RunFor(milliseconds(3200));
  world_.machine("g").Wake();
  Submit();
  world_.RunFor(milliseconds(100));
  EXPECT_EQ(AnswerCode(), StatusCode::kUnavailable);
  Submit();  // Still reading what came meanwhile.
  world_.RunFor(seconds(2));
  EXPECT_EQ(AnswerCode(), StatusCode::kUnavailable);
  EXPECT_TRUE(control_.transactions.empty());
  Submit();
  world_.RunFor(seconds(1));
  EXPECT_EQ(AnswerCode(), StatusCode::kOk);
}

// Guards against the same when the operator has closed its connection meanwhile.
TEST_F(UnversionedOrderClientTest, DropsAnOrderWhoseOperatorIsGone) {
  Submit();
  waits_ = false;  // The loop reads the end of the connection after the order.
  world_.RunFor(seconds(1));
  EXPECT_EQ(AnswerCode(), StatusCode::kUnavailable);
  EXPECT_TRUE(control_.transactions.empty());
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
