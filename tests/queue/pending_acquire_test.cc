// Which pending AcquireWork requests a queue node answers when batch items become available.
#include <gtest/gtest.h>

#include <string>

#include "queue/queue_world.h"

namespace cloverbank {
namespace {

/// Many gateways. Each sends a new request as soon as one was answered without grants.
class PendingAcquireTest : public testing::Test {
 protected:
  PendingAcquireTest() : world_(21) {
    world_.AddQueue("q1");
    world_.AssignPartition("q1");
  }

  static constexpr int kGateways = 60;
  static constexpr std::uint32_t kSlots = 2;
  static constexpr std::uint64_t kFirstGatewayId = 1000;

  /// Sends a request for each gateway and waits until all are pending.
  void SendAll(const std::string& backend = "model") {
    for (int gateway = 0; gateway < kGateways; ++gateway) {
      // A third of them are in the queue node's zone.
      SendRequest(gateway, gateway % 3 == 0 ? "zone-b1" : "zone-b2", backend);
    }
    world_.world.RunFor(seconds(1));
    sent_ = 0;
  }
  void SendRequest(int gateway, const std::string& zone, const std::string& backend) {
    ++sent_;
    proto::AcquireWorkRequest request;
    request.set_gateway_node_id(kFirstGatewayId + static_cast<std::uint64_t>(gateway));
    request.set_zone(zone);
    request.add_capacity()->set_backend(backend);
    request.mutable_capacity(0)->set_slots(kSlots);
    request.set_hold_ms(4000);
    world_.world.CallPeer(world_.world.machine("q1").endpoint(), "queue.AcquireWork",
                          request.SerializeAsString(), seconds(5),
                          [this, gateway, zone, backend](const PeerReply& reply) {
                            proto::AcquireWorkResponse response;
                            ASSERT_TRUE(response.ParseFromString(reply.body));
                            granted_ += response.grants_size();
                            granted_in_zone_ += zone == "zone-b1" ? response.grants_size() : 0;
                            if (response.grants_size() == 0) {
                              SendRequest(gateway, zone, backend);
                            }
                          });
  }

  QueueWorld world_;
  int sent_ = 0;  ///< Requests sent since `SendAll`.
  int granted_ = 0;
  int granted_in_zone_ = 0;
};

TEST_F(PendingAcquireTest, WakesOnlyAsManyGatewaysAsNeeded) {
  SendAll();
  world_.Accept("q1", "key", 6);
  world_.world.RunFor(milliseconds(100));
  EXPECT_EQ(granted_, 6);
  EXPECT_LE(sent_, 12)
      << "at most twice as many requests as items may be sent, not one for each of 60 gateways";
}

TEST_F(PendingAcquireTest, WakesGatewaysOfItsZoneFirst) {
  SendAll();
  world_.Accept("q1", "key", 10);
  world_.world.RunFor(milliseconds(100));
  EXPECT_EQ(granted_, 10);
  EXPECT_EQ(granted_in_zone_, 10);
}

TEST_F(PendingAcquireTest, LargeBatchReachesAllGateways) {
  SendAll();
  world_.Accept("q1", "key", 2 * kGateways * static_cast<int>(kSlots));
  world_.world.RunFor(milliseconds(300));
  EXPECT_EQ(granted_, kGateways * static_cast<int>(kSlots));
}

TEST_F(PendingAcquireTest, DoesNotWakeGatewaysOfOtherBackends) {
  SendAll("other");
  world_.Accept("q1", "key", 6);
  world_.world.RunFor(seconds(1));
  EXPECT_EQ(sent_, 0);
}

}  // namespace
}  // namespace cloverbank
