// Nodes none of whose seeds is a coordinator must still find the coordinators.
#include "control_client/coordinator_referral.h"

#include <gtest/gtest.h>

#include "fake_control.h"
#include "runtime/node_methods.h"

namespace cloverbank {
namespace {

/// A gateway process: its agent, and the handlers that refer callers to the coordinators.
struct Gateway {
  std::unique_ptr<NodeAgent> agent;
  std::unique_ptr<CoordinatorReferral> referral;
};

class CoordinatorReferralTest : public testing::Test {
 protected:
  CoordinatorReferralTest() {
    for (const char* name : {"c1", "c2", "c3"}) {
      endpoints_[name] = world_.AddMachine(name, std::string("10.0.1.") + name[1]).endpoint();
    }
    for (const auto& [name, endpoint] : endpoints_) {
      world_.machine(name).SetProgram([this, name = name](Environment& environment, DataFolder&) {
        return std::make_shared<FakeCoordinator>(environment, name, control_, endpoints_);
      });
      world_.machine(name).Start();
      control_.members.push_back(ToMessage(endpoint));
    }
  }

  static proto::Endpoint ToMessage(const Endpoint& endpoint) {
    proto::Endpoint message;
    message.set_host(endpoint.host);
    message.set_port(endpoint.port);
    return message;
  }

  /// Adds a running gateway that knows only `seeds`.
  void AddGateway(const std::string& name, const std::string& address,
                  const std::vector<Endpoint>& seeds) {
    world_.AddMachine(name, address)
        .SetProgram([this, name, seeds](Environment& environment, DataFolder&) {
          NodeAgentOptions options;
          options.role = proto::ROLE_GATEWAY;
          options.machine = name;
          options.coordinators = seeds;
          auto gateway = std::make_shared<Gateway>();
          gateway->agent = std::make_unique<NodeAgent>(environment, options);
          gateway->referral = std::make_unique<CoordinatorReferral>(environment, *gateway->agent);
          gateway->agent->Start();
          gateways_[name] = gateway.get();
          return gateway;
        });
    world_.machine(name).Start();
  }

  /// Runs the world for up to `limit`. @return whether the gateway `name` has a lease then.
  bool JoinsWithin(const std::string& name, Duration limit) {
    return world_.RunUntil([this, name] { return gateways_[name]->agent->HasValidLease(); }, limit);
  }

  FakeControl control_;
  std::map<std::string, Endpoint> endpoints_;
  std::map<std::string, Gateway*> gateways_;
  SimulatedWorld world_{9};
};

// After a power loss of all machines, a node's seeds may all be machines that do not know the
// coordinators either. The leader's list must then reach the node.
TEST_F(CoordinatorReferralTest, AcceptsTheCoordinatorListFromTheLeader) {
  AddGateway("lost", "10.0.2.1", {Endpoint{"10.0.2.9", 7401}});
  EXPECT_FALSE(JoinsWithin("lost", seconds(2)));
  proto::UpdateCoordinatorsRequest request;
  for (const auto& [name, endpoint] : endpoints_) {
    *request.add_coordinators() = ToMessage(endpoint);
  }
  world_.CallPeer(world_.machine("lost").endpoint(), UpdateCoordinatorsMethod(proto::ROLE_GATEWAY),
                  request.SerializeAsString(), seconds(1), [](const PeerReply&) {});
  EXPECT_TRUE(JoinsWithin("lost", seconds(2)));
}

// While a machine is off, all of its seeds may be replaced. They may then all be gateways.
TEST_F(CoordinatorReferralTest, SeedThatIsAGatewayRefersToTheCoordinators) {
  AddGateway("known", "10.0.2.1", {endpoints_["c2"]});
  ASSERT_TRUE(JoinsWithin("known", seconds(3)));
  AddGateway("new", "10.0.2.2", {world_.machine("known").endpoint()});
  EXPECT_TRUE(JoinsWithin("new", seconds(2)));
}

TEST_F(CoordinatorReferralTest, RefersNoCallsBeforeItsFirstHeartbeat) {
  AddGateway("first", "10.0.2.1", {Endpoint{"10.0.2.2", 7401}});
  AddGateway("second", "10.0.2.2", {world_.machine("first").endpoint()});
  EXPECT_FALSE(JoinsWithin("first", seconds(3)));
  AddGateway("known", "10.0.2.3", {endpoints_["c1"]});
  EXPECT_TRUE(JoinsWithin("known", seconds(2)));
}

TEST_F(CoordinatorReferralTest, FindsTheNextLeaderAfterAStaleReferral) {
  AddGateway("known", "10.0.2.1", {endpoints_["c2"]});
  ASSERT_TRUE(JoinsWithin("known", seconds(3)));
  world_.machine("c1").Kill();
  control_.leader = "c3";
  AddGateway("new", "10.0.2.2", {world_.machine("known").endpoint()});
  EXPECT_TRUE(JoinsWithin("new", seconds(6)));
}

}  // namespace
}  // namespace cloverbank
