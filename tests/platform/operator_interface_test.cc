// Orders of the platform's operator that name no version: evacuations and retirements.
#include "platform/operator_interface.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "control_client/fake_control.h"
#include "gateway/adapter_harness.h"

namespace cloverbank::platform {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;
using testing::StartsWith;

constexpr std::uint64_t kRevision = 41;

struct OperatorNode {
  OperatorNode(Environment& environment, const NodeAgentOptions& options)
      : agent(environment, options),
        operators(environment, http, agent,
                  {.node = "g", .endpoint = {"10.0.0.1", 7082}, .zones = {{"a", "region"}}}) {
    agent.Start();
  }
  NodeAgent agent;
  AdapterHarness http;
  OperatorInterface operators;
};

class OperatorInterfaceTest : public testing::Test {
 protected:
  OperatorInterfaceTest() {
    control_.transaction_result.set_outcome(proto::TRANSACTION_OUTCOME_APPLIED);
    control_.revision = kRevision;
    StartGateway(world_, control_, &node_);
  }

  std::shared_ptr<RecordedResponse> Post(const std::string& path) {
    auto answer = node_->http.Send("POST", path);
    world_.RunUntil([&answer] { return answer->count > 0; }, seconds(5));
    EXPECT_EQ(answer->count, 1) << path;
    return answer;
  }
  /// @return the path to which `answer` redirects.
  static std::string RedirectPath(const RecordedResponse& answer) {
    const std::string node = "http://10.0.0.1:7082";
    EXPECT_EQ(answer.response.status, 307);
    EXPECT_THAT(answer.Header("Location"), StartsWith(node));
    return answer.Header("Location").substr(node.size());
  }

  FakeControl control_;
  OperatorNode* node_ = nullptr;
  SimulatedWorld world_{8};
};

TEST_F(OperatorInterfaceTest, RedirectsAnEvacuationToAPathWithItsRevision) {
  const auto first = Post("/evacuate/a/start");
  const std::string path = RedirectPath(*first);
  EXPECT_THAT(path, StartsWith("/evacuate/a/start/41/"));
  world_.RunFor(milliseconds(30));
  EXPECT_EQ(Post(path)->response.status, 200);
  ASSERT_EQ(control_.transactions.size(), 2U);
  const proto::SubmitTransactionRequest& order = control_.transactions.back();
  EXPECT_EQ(order.guard().revision(), kRevision);
  EXPECT_GE(order.guard().age_ms(), 30U);
  EXPECT_EQ(order.transaction().changes(0).set_zone().state(), proto::ZONE_STATE_DRAINED);
}

// Guards against a late order that a node carries out because its connection is still open (EVAC).
TEST_F(OperatorInterfaceTest, CarriesOutNothingWithoutARevision) {
  Post("/evacuate/a/end");
  Post("/retire/store-1/start");
  world_.RunFor(seconds(5));
  for (const proto::SubmitTransactionRequest& order : control_.transactions) {
    EXPECT_EQ(order.guard().revision(), 0U);
  }
  EXPECT_THAT(control_.retired, IsEmpty());
}

// Guards against what a node that slept reads from its sockets (review/3).
TEST_F(OperatorInterfaceTest, CarriesOutNothingWithoutARevisionAfterASuspension) {
  world_.machine("g").Freeze();
  world_.RunFor(milliseconds(3200));
  world_.machine("g").Wake();
  RedirectPath(*Post("/evacuate/a/end"));
  EXPECT_EQ(control_.transactions.back().guard().revision(), 0U);
}

TEST_F(OperatorInterfaceTest, AsksForAnOrderAnewWhoseRevisionHasEnded) {
  const std::string path = RedirectPath(*Post("/evacuate/a/end"));
  control_.revision = kRevision + 1;
  const auto late = Post(path);
  EXPECT_EQ(late->response.status, 503);
  EXPECT_THAT(late->Header("Location"), IsEmpty());
}

TEST_F(OperatorInterfaceTest, RedirectsARetirementToAPathWithItsRevision) {
  const std::string path = RedirectPath(*Post("/retire/store-1/start"));
  EXPECT_THAT(path, StartsWith("/retire/store-1/start/41/"));
  EXPECT_EQ(Post(path)->response.status, 200);
  EXPECT_THAT(control_.retired, ElementsAre("store-1"));
}

TEST_F(OperatorInterfaceTest, TheSameRevisionMakesTheSameOperation) {
  const std::string path = RedirectPath(*Post("/evacuate/a/start"));
  Post(path);
  Post(path);
  ASSERT_EQ(control_.transactions.size(), 3U);
  EXPECT_EQ(control_.transactions[1].transaction().operation_id(),
            control_.transactions[2].transaction().operation_id());
}

TEST_F(OperatorInterfaceTest, RefusesUnknownZonesAndChanges) {
  EXPECT_EQ(Post("/evacuate/b/start")->response.status, 404);
  EXPECT_EQ(Post("/evacuate/a/begin")->response.status, 404);
}

}  // namespace
}  // namespace cloverbank::platform
