#include "deployment/deployment.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cloverbank {
namespace {

using testing::HasSubstr;

TEST(DeploymentTest, ReadsAndPrintsMachinesReplicasAndBehaviour) {
  const auto deployment = ParseDeployment(R"([deployment]
name = "small"
platform_list = "127.0.9.1:9000"
emulator_admin = "127.0.9.1:9001"
[[machine]]
name = "front"
address = "127.0.1.1"
zone = "a"
roles = ["gateway"]
[[replica]]
id = "m-1"
endpoint = "127.0.4.1:8000"
zone = "a"
kind = "model"
backend = "m"
capacity = 8
[behaviour.m]
decode_step_us = 500
)",
                                          "fleet.toml");
  ASSERT_TRUE(deployment.ok()) << deployment.status().ToString();
  ASSERT_NE(deployment->FindMachine("front"), nullptr);
  EXPECT_EQ(deployment->replicas[0].capacity, 8U);
  EXPECT_EQ(deployment->BehaviourOf("m").decode_step, std::chrono::microseconds(500));
  const auto reparsed = ParseDeployment(PrintDeployment(*deployment), "printed");
  ASSERT_TRUE(reparsed.ok()) << reparsed.status().ToString();
  EXPECT_EQ(PrintDeployment(*reparsed), PrintDeployment(*deployment));
  EXPECT_EQ(reparsed->replicas[0].endpoint, deployment->replicas[0].endpoint);
  EXPECT_EQ(deployment->BehaviourOf("other").decode_step, BackendBehaviour{}.decode_step);
}

TEST(DeploymentTest, ABooleanOfAnotherTypeIsAProblem) {
  const auto deployment = ParseDeployment(R"([deployment]
name = "small"
platform_list = "127.0.9.1:9000"
emulator_admin = "127.0.9.1:9001"
[[machine]]
name = "front"
address = "127.0.1.1"
zone = "a"
roles = ["gateway", "backup"]
spare_backup = "true"
)",
                                          "fleet.toml");
  ASSERT_FALSE(deployment.ok());
  EXPECT_THAT(deployment.status().message(), HasSubstr("spare_backup: expected true or false"));
}

TEST(DeploymentTest, MoveToNetworkLeavesIpv6AddressesUnchanged) {
  Deployment deployment;
  deployment.platform_list = {"::1", 9000};
  deployment.emulator_admin = {"127.0.9.1", 9001};
  MoveToNetwork("127.44", &deployment);
  EXPECT_EQ(deployment.platform_list.host, "::1");
  EXPECT_EQ(deployment.emulator_admin.host, "127.44.9.1");
}

TEST(DeploymentTest, ErrorListsEveryProblem) {
  const auto deployment = ParseDeployment(R"([deployment]
name = "small"
platform_list = "nowhere"
emulator_admin = "127.0.9.1:9001"
[[machine]]
name = "x"
address = "127.0.1.1"
zone = "a"
roles = ["gateway"]
[[machine]]
name = "x"
address = "127.0.1.1"
zone = "a"
roles = ["gateway"]
)",
                                          "fleet.toml");
  ASSERT_FALSE(deployment.ok());
  EXPECT_THAT(deployment.status().message(), HasSubstr("platform_list"));
  EXPECT_THAT(deployment.status().message(), HasSubstr("two machines are named x"));
  EXPECT_THAT(deployment.status().message(), HasSubstr("address 127.0.1.1"));
}

}  // namespace
}  // namespace cloverbank
