#include "gateway/gateway_service.h"

#include <gtest/gtest.h>

#include "calls/http_json.h"
#include "control_client/fake_control.h"
#include "replicas/fake_http.h"

namespace cloverbank {
namespace {

/// A gateway with one fake coordinator and one replica of a service.
class GatewayServiceTest : public ::testing::Test {
 protected:
  GatewayServiceTest() {
    SimulatedMachine& coordinator = world_.AddMachine("c1", "127.0.0.1");
    coordinator.SetProgram([this](Environment& environment, DataFolder&) {
      return std::make_shared<FakeCoordinator>(
          environment, "c1", control_,
          std::map<std::string, Endpoint>{{"c1", world_.machine("c1").endpoint()}});
    });
    coordinator.Start();
    SimulatedMachine& machine = world_.AddMachine("g", "127.0.0.2");
    machine.SetProgram([this](Environment& environment, DataFolder&) {
      environment_ = &environment;
      return std::make_shared<int>(0);
    });
    machine.Start();
    proto::ConfigurationChange change;
    change.mutable_set_route()->set_name("unlock");
    change.mutable_set_route()->set_backend("dock");
    change.mutable_set_route()->set_backend_kind(proto::BACKEND_KIND_SERVICE);
    control_.changes.push_back(change);
    ++control_.configuration_version;
    Build();
    world_.RunFor(milliseconds(300));
    SetZone(proto::ZONE_STATE_OPEN);
  }
  ~GatewayServiceTest() override {
    service_.reset();
    agent_.reset();
  }
  void SetZone(proto::ZoneState state) {
    proto::ConfigurationChange change;
    change.mutable_set_zone()->set_name("a");
    change.mutable_set_zone()->set_state(state);
    control_.changes.push_back(change);
    ++control_.configuration_version;
  }
  void Build() {
    client_ = std::make_unique<FakeHttpClient>(*environment_);
    client_->scripts["127.0.0.9:80"] = [](const ExchangePtr& exchange) {
      exchange->Answer({200,
                        {{"ETag", "\"1\""}},
                        R"({"version":"1","from":"elsewhere","replicas":[{"id":"d","zone":"a",)"
                        R"("endpoint":{"host":"127.0.0.8","port":80},"kind":2,"backend":"dock",)"
                        R"("state":1,"capacity":8}]})"});
    };
    client_->scripts["127.0.0.8:80"] = [this](const ExchangePtr& exchange) {
      if (exchange->request.path == "/health") {
        exchange->Answer({200, {{"x-cloverbank-load", "1/0/8"}}, ""});
        return;
      }
      ++executed_calls_;
      const std::string call_id(FindHeader(exchange->request.headers, "X-Call-Id"));
      exchange->Answer({200, {}, R"({"call_id":")" + call_id + R"(","text":"open"})"});
    };
    NodeAgentOptions agent;
    agent.role = proto::ROLE_GATEWAY;
    agent.machine = "g";
    agent.zone = "a";
    agent.coordinators = {world_.machine("c1").endpoint()};
    agent_ = std::make_unique<NodeAgent>(*environment_, agent);
    GatewayOptions options;
    options.zone = "a";
    options.replica_list.endpoint = {"127.0.0.9", 80};
    service_ = std::make_unique<GatewayService>(*environment_, *client_, router_, *agent_, options);
    agent_->Start();
    service_->Start();
  }
  int Call() {
    const auto caller = router_.Post("/v1/call/unlock", "{}");
    world_.RunFor(milliseconds(500));
    return caller->status;
  }
  std::string ReasonNotReady() const {
    std::string reason;
    const bool ready = service_->Ready(&reason);
    EXPECT_EQ(ready, reason.empty());
    return reason;
  }

  SimulatedWorld world_{3};
  FakeControl control_;
  Environment* environment_ = nullptr;
  std::unique_ptr<FakeHttpClient> client_;
  FakeRouter router_;
  std::unique_ptr<NodeAgent> agent_;
  std::unique_ptr<GatewayService> service_;
  int executed_calls_ = 0;
};

TEST_F(GatewayServiceTest, ServesOnlyWithALease) {
  world_.RunFor(seconds(1));
  EXPECT_EQ(ReasonNotReady(), "");
  EXPECT_EQ(Call(), 200);
  world_.Isolate("c1");
  world_.RunFor(seconds(4));
  EXPECT_EQ(ReasonNotReady(), "no lease from the coordinators");
  EXPECT_EQ(Call(), 503);
  world_.HealAll();
  world_.RunFor(seconds(2));
  EXPECT_EQ(Call(), 200);
  EXPECT_EQ(executed_calls_, 2);
}

TEST_F(GatewayServiceTest, AppliesADrainedZoneAtTheNextHeartbeat) {
  world_.RunFor(seconds(1));
  ASSERT_EQ(Call(), 200);
  SetZone(proto::ZONE_STATE_DRAINED);
  world_.RunFor(milliseconds(100));
  EXPECT_EQ(agent_->configuration().version(), 3U);
  EXPECT_EQ(Call(), 503);
  EXPECT_EQ(executed_calls_, 1);
}

TEST_F(GatewayServiceTest, RefusesCallsAfterAFreeze) {
  world_.RunFor(seconds(1));
  ASSERT_EQ(Call(), 200);
  world_.machine("g").Freeze();
  world_.RunFor(seconds(20));
  const auto caller = router_.Post("/v1/call/unlock", "{}");
  EXPECT_EQ(caller->status, 503);  // Refused before any event after the wake-up ran.
  world_.machine("g").Wake();
  world_.RunFor(seconds(2));
  EXPECT_EQ(executed_calls_, 1);
  EXPECT_EQ(Call(), 200);
}

TEST_F(GatewayServiceTest, DrainRefusesNewCallsAndFinishesRunningOnes) {
  world_.RunFor(seconds(1));
  ASSERT_EQ(Call(), 200);
  client_->connect_time = milliseconds(50);
  const auto running = router_.Post("/v1/call/unlock", "{}");
  const TimePoint now = world_.Now();
  service_->Drain({.admits_until = now, .ends_at = now + seconds(5)});
  EXPECT_EQ(ReasonNotReady(), "the gateway is stopping");
  EXPECT_FALSE(service_->Drained());
  EXPECT_EQ(Call(), 503);
  EXPECT_EQ(running->status, 200);
  EXPECT_TRUE(service_->Drained());
}

}  // namespace
}  // namespace cloverbank
