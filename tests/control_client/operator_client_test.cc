// Tests of transactions that are computed from the operator's document.
#include "control_client/operator_client.h"

#include <gtest/gtest.h>

#include <optional>

#include "fake_control.h"

namespace cloverbank {
namespace {

constexpr std::uint64_t kBaseLabel = 7;
constexpr std::uint64_t kNewLabel = 9;

/// A node that serves an operator interface.
struct OperatorNode {
  OperatorNode(Environment& environment, const NodeAgentOptions& options)
      : agent(environment, options), client(agent) {
    agent.Start();
  }
  NodeAgent agent;
  OperatorClient client;
};

class OperatorClientTest : public testing::Test {
 protected:
  OperatorClientTest() {
    control_.transaction_result.set_outcome(proto::TRANSACTION_OUTCOME_APPLIED);
    StartGateway(world_, control_, &node_);
  }

  /// Submits a transaction that is based on `kBaseLabel` and sets `kNewLabel`.
  /// @return its result.
  Result<proto::SubmitTransactionResponse> SubmitPatch() {
    auto document_transaction = std::make_shared<DocumentTransaction>();
    document_transaction->operation_id = "patch";
    document_transaction->base = kBaseLabel;
    document_transaction->label = kNewLabel;
    document_transaction->make =
        [](const std::string& document) -> Result<proto::ConfigurationTransaction> {
      proto::ConfigurationTransaction transaction;
      transaction.add_changes()->mutable_set_document()->set_source(document + " patched");
      return transaction;
    };
    std::optional<Result<proto::SubmitTransactionResponse>> answer;
    node_->client.SubmitDocumentTransaction(
        document_transaction,
        [&answer](const Result<proto::SubmitTransactionResponse>& result) { answer = result; });
    world_.RunUntil([&answer] { return answer.has_value(); }, seconds(5));
    return answer.value_or(Status(StatusCode::kInternal, "no answer"));
  }

  FakeControl control_;
  OperatorNode* node_ = nullptr;
  SimulatedWorld world_{5};
};

TEST_F(OperatorClientTest, SubmitsAPatchOfTheDocumentIfTheBaseIsCurrent) {
  control_.label = kBaseLabel;
  ASSERT_TRUE(SubmitPatch().ok());
  ASSERT_EQ(control_.transactions.size(), 1U);
  const auto& sent = control_.transactions[0].transaction();
  EXPECT_EQ(sent.changes(0).set_document().source(), "document 7 patched");
  EXPECT_EQ(sent.expected_label(), kBaseLabel);
  EXPECT_EQ(sent.label(), kNewLabel);
  EXPECT_FALSE(sent.inquiry());
}

TEST_F(OperatorClientTest, InquiresIfAnotherLabelIsCurrent) {
  control_.label = kBaseLabel + 1;
  ASSERT_TRUE(SubmitPatch().ok());
  ASSERT_EQ(control_.transactions.size(), 1U);
  EXPECT_TRUE(control_.transactions[0].transaction().inquiry());
  EXPECT_EQ(control_.transactions[0].transaction().changes_size(), 0);
}

TEST_F(OperatorClientTest, SubmitsAfterAnInquiryIfTheBaseBecameCurrent) {
  control_.label = kBaseLabel - 2;
  control_.next_label = kBaseLabel;
  const auto answer = SubmitPatch();
  ASSERT_TRUE(answer.ok());
  EXPECT_EQ(answer->result().outcome(), proto::TRANSACTION_OUTCOME_APPLIED);
  ASSERT_EQ(control_.transactions.size(), 2U);
  EXPECT_EQ(control_.transactions[1].transaction().changes(0).set_document().source(),
            "document 7 patched");
}

}  // namespace
}  // namespace cloverbank
