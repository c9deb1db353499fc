#include "gateway/operator_api.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "control_client/fake_control.h"
#include "gateway/adapter_harness.h"
#include "gateway/status_api.h"

namespace cloverbank {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;
using testing::UnorderedElementsAre;

struct OperatorGateway {
  OperatorGateway(Environment& environment, const NodeAgentOptions& options)
      : agent(environment, options), operators(http, agent), status(environment, http, agent) {
    agent.Start();
  }
  NodeAgent agent;
  AdapterHarness http;
  OperatorApi operators;
  StatusApi status;
};

class OperatorApiTest : public testing::Test {
 protected:
  OperatorApiTest() { StartGateway(world, control, &gateway); }

  std::shared_ptr<RecordedResponse> Post(const std::string& body, Duration wait = seconds(11)) {
    auto answer = gateway->http.Send("POST", "/v1/config/transactions", body);
    world.RunUntil([&answer] { return answer->count > 0; }, wait);
    EXPECT_EQ(answer->count, 1);
    return answer;
  }

  FakeControl control;
  OperatorGateway* gateway = nullptr;
  SimulatedWorld world{3};
};

constexpr const char* kTransaction = R"({"operation_id": "op-1", "expected_version": 4,
    "changes": [{"set_zone": {"name": "a", "state": "ZONE_STATE_DRAINED"}}]})";

TEST_F(OperatorApiTest, Returns200ForAnAppliedTransaction) {
  control.transaction_result.set_outcome(proto::TRANSACTION_OUTCOME_APPLIED);
  control.transaction_result.set_version(5);
  const auto answer = Post(kTransaction);
  EXPECT_EQ(answer->response.status, 200);
  EXPECT_EQ(answer->Body<proto::TransactionResult>().version(), 5U);
  ASSERT_EQ(control.transactions.size(), 1U);
  const proto::ConfigurationTransaction& sent = control.transactions[0].transaction();
  EXPECT_EQ(sent.operation_id(), "op-1");
  EXPECT_EQ(sent.expected_version(), 4U);
  EXPECT_EQ(sent.changes(0).set_zone().state(), proto::ZONE_STATE_DRAINED);
}

TEST_F(OperatorApiTest, Returns409ForAVersionConflict) {
  control.transaction_result.set_outcome(proto::TRANSACTION_OUTCOME_VERSION_CONFLICT);
  control.transaction_result.set_version(9);
  const auto answer = Post(kTransaction);
  EXPECT_EQ(answer->response.status, 409);
  EXPECT_EQ(answer->Error().current_version(), 9U);
  EXPECT_EQ(answer->Error().executed(), proto::EXECUTED_NO);
}

TEST_F(OperatorApiTest, Returns422WithEveryProblem) {
  control.transaction_result.set_outcome(proto::TRANSACTION_OUTCOME_INVALID);
  control.transaction_result.add_problems("first");
  control.transaction_result.add_problems("second");
  const auto answer = Post(kTransaction);
  EXPECT_EQ(answer->response.status, 422);
  EXPECT_THAT(answer->Error().problems(), ElementsAre("first", "second"));
}

TEST_F(OperatorApiTest, Returns400ForMalformedBodies) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {R"({"expected_version": 4})", "operation_id"},
      {R"({"operation_id": "x", "changes": [{"set_route": {"deadline_ms": "soon"}}]})",
       "deadline_ms"},
      {R"({"operation_id": "x", "changes": [{"set_rout": {}}]})", "set_rout"},
      {R"({"operation_id": "x")", "ConfigurationTransaction"},
      {"", "empty"},
  };
  for (const auto& [body, place] : cases) {
    const auto answer = Post(body);
    EXPECT_EQ(answer->response.status, 400) << body;
    EXPECT_THAT(answer->Error().message(), HasSubstr(place));
    EXPECT_EQ(answer->Error().executed(), proto::EXECUTED_NO);
  }
  EXPECT_TRUE(control.transactions.empty());
}

TEST_F(OperatorApiTest, ReturnsUnknownWithoutCoordinators) {
  world.Isolate("g");
  const auto answer = Post(kTransaction);
  EXPECT_EQ(answer->response.status, 503);
  EXPECT_EQ(answer->Error().executed(), proto::EXECUTED_UNKNOWN);
  EXPECT_THAT(answer->Error().message(), HasSubstr("operation_id \"op-1\""));
  EXPECT_FALSE(answer->Header("Retry-After").empty());
}

TEST_F(OperatorApiTest, SendsReadsAndRetirementsToTheLeader) {
  const auto config = gateway->http.Send("GET", "/v1/config");
  const auto history = gateway->http.Send("GET", "/v1/config/history", "", {}, {{"limit", "7"}});
  const auto bad_limit =
      gateway->http.Send("GET", "/v1/config/history", "", {}, {{"limit", "many"}});
  const auto status = gateway->http.Send("GET", "/v1/status");
  const auto retire = gateway->http.Send("POST", "/v1/stores/store-2/retire");
  const auto back =
      gateway->http.Send("POST", "/v1/stores/store-3/retire", "", {}, {{"cancel", "true"}});
  const auto health = gateway->http.Send("GET", "/healthz");
  world.RunFor(seconds(1));
  EXPECT_EQ(config->Body<proto::GetConfigurationResponse>().in_force_version(), 6U);
  EXPECT_EQ(history->Body<proto::GetConfigurationResponse>().history_size(), 7);
  EXPECT_EQ(bad_limit->response.status, 400);
  EXPECT_THAT(bad_limit->Error().message(), HasSubstr("\"many\""));
  EXPECT_THAT(status->Body<proto::GetFleetStatusResponse>().problems(), ElementsAre("a problem"));
  EXPECT_THAT(retire->Body<proto::RetireServerResponse>().node_ids(), ElementsAre(8U));
  EXPECT_THAT(control.retired, UnorderedElementsAre("store-2", "not store-3"));
  EXPECT_EQ(back->response.status, 200);
  EXPECT_EQ(health->response.status, 200);
}

// Guards against a retirement that is held up behind the gateway and undoes a newer order.
TEST_F(OperatorApiTest, RetiresAtARevision) {
  control.revision = 41;
  const auto retire = gateway->http.Send("POST", "/v1/stores/store-2/retire");
  world.RunFor(seconds(1));
  EXPECT_EQ(retire->response.status, 200);
  EXPECT_THAT(control.retired, ElementsAre("store-2"));
  ASSERT_EQ(control.retirements.size(), 2U);
  EXPECT_EQ(control.retirements[0].guard().revision(), 0U);
  EXPECT_EQ(control.retirements[1].guard().revision(), 41U);
}

TEST_F(OperatorApiTest, RefusesATransactionOnAnyVersion) {
  const auto answer = Post(R"({"operation_id": "op-1", "any_version": true,
      "changes": [{"set_zone": {"name": "a", "state": "ZONE_STATE_DRAINED"}}]})");
  EXPECT_EQ(answer->response.status, 400);
  EXPECT_THAT(control.transactions, testing::IsEmpty());
}

TEST_F(OperatorApiTest, HealthFollowsTheLease) {
  world.Isolate("g");
  world.RunFor(seconds(4));
  EXPECT_EQ(gateway->http.Send("GET", "/healthz")->response.status, 503);
}

}  // namespace
}  // namespace cloverbank
