// Seeded faults on everything around three gateways, and the promises that must hold through them.
#include <gtest/gtest.h>

#include <array>
#include <map>

#include "gateway_harness.h"

namespace cloverbank {
namespace {

constexpr std::array<const char*, 4> kRoutes = {"ask", "once", "serve", "unlock"};
constexpr Duration kStep = milliseconds(10);
constexpr int kSteps = 4000;
constexpr int kPeriod = 1000;  ///< Steps of faults and then of calm.
/// Poll interval, its deadline, and the time to connect.
constexpr Duration kDrainingSeenWithin = milliseconds(1000);

class DataPlaneFaultsTest : public ::testing::TestWithParam<int> {
 protected:
  struct Caller {
    std::shared_ptr<FakeResponder> responder;
    bool left = false;
  };

  DataPlaneFaultsTest() {
    h_.options.sharing = SharingOptions();
    h_.AddRoute("ask", proto::BACKEND_KIND_MODEL, true);
    h_.AddRoute("once", proto::BACKEND_KIND_MODEL, false);
    h_.AddRoute("serve", proto::BACKEND_KIND_SERVICE, true);
    h_.AddRoute("unlock", proto::BACKEND_KIND_SERVICE, false);
    for (int index = 0; index < 9; ++index) {
      const bool model = index < 6;
      h_.AddReplica("r" + std::to_string(index), std::string(1, static_cast<char>('a' + index % 3)),
                    3, model ? proto::BACKEND_KIND_MODEL : proto::BACKEND_KIND_SERVICE);
    }
    h_.on_arrival = [this](const FakeReplica& replica) { CheckArrival(replica); };
    h_.StartWarm();
    h_.AddPlane();
    h_.AddPlane();
  }

  void CheckArrival(const FakeReplica& replica) {
    EXPECT_TRUE(h_.permission.valid) << "a call left without a lease";
    const proto::Zone* zone = FindZone(h_.permission.stored, replica.entry.zone());
    EXPECT_EQ(zone->state(), proto::ZONE_STATE_OPEN);
    const auto drained = drained_at_.find(replica.entry.id());
    if (drained != drained_at_.end()) {
      EXPECT_LE(h_.world.Now() - drained->second, kDrainingSeenWithin) << replica.entry.id();
    }
  }

  void Call() {
    const std::string route = kRoutes.at(h_.world.RandomBelow(kRoutes.size()));
    const std::string stream = h_.world.RandomBelow(2) == 0 ? "true" : "false";
    Caller caller{std::make_shared<FakeResponder>()};
    HttpHeaders headers = {{"X-Deadline-Ms", std::to_string(200 + h_.world.RandomBelow(4000))}};
    // The prompt tells the replicas' record which route it was.
    h_.planes[h_.world.RandomBelow(3)]->router.Post(
        "/v1/call/" + route, R"({"prompt":")" + route + R"(","stream":)" + stream + "}", headers,
        caller.responder);
    callers_.push_back(std::move(caller));
  }

  void ChangeReplica(FakeReplica& replica) {
    switch (h_.world.RandomBelow(4)) {
      case 0:
        replica.mode = static_cast<FakeReplica::Mode>(h_.world.RandomBelow(4));
        break;
      case 1:
        h_.SetState(replica, proto::REPLICA_STATE_DRAINING);
        drained_at_.emplace(replica.entry.id(), h_.world.Now());
        break;
      case 2:
        h_.SetState(replica, proto::REPLICA_STATE_READY);
        drained_at_.erase(replica.entry.id());
        break;
      default:
        replica.entry.set_instance_id(std::to_string(h_.world.Random()));
        ++h_.list_version;
        break;
    }
  }

  void Fault() {
    switch (h_.world.RandomBelow(8)) {
      case 0: {
        proto::Zone* zone =
            h_.permission.stored.mutable_zones(static_cast<int>(h_.world.RandomBelow(3)));
        const bool open = zone->state() == proto::ZONE_STATE_OPEN;
        zone->set_state(open ? proto::ZONE_STATE_DRAINED : proto::ZONE_STATE_OPEN);
        for (const auto& plane : h_.planes) {
          plane->pool->OnConfiguration();
        }
        break;
      }
      case 1:
        h_.permission.valid = !h_.permission.valid;
        break;
      case 2:
        h_.client->connect_time = milliseconds(1 + h_.world.RandomBelow(100));
        break;
      case 3: {
        Caller& caller = callers_[h_.world.RandomBelow(callers_.size())];
        if (!caller.responder->complete && caller.responder->disconnect) {
          caller.left = true;
          caller.responder->disconnect();
        }
        break;
      }
      default:
        ChangeReplica(h_.replicas["r" + std::to_string(h_.world.RandomBelow(9))]);
        break;
    }
  }

  void Heal() {
    h_.permission.valid = true;
    drained_at_.clear();
    for (auto& [id, replica] : h_.replicas) {
      replica.mode = FakeReplica::Mode::kServe;
      h_.SetState(replica, proto::REPLICA_STATE_READY);
    }
    for (proto::Zone& zone : *h_.permission.stored.mutable_zones()) {
      zone.set_state(proto::ZONE_STATE_OPEN);
    }
    for (const auto& plane : h_.planes) {
      plane->pool->OnConfiguration();
    }
  }

  /// Pieces of one run from 0 on, closed by an end or by an error.
  void CheckStream(const std::string& body) {
    std::string run;
    std::uint64_t expected = 0;
    bool closed = false;
    for (std::size_t at = 0; at < body.size();) {
      const std::size_t end = body.find('\n', at);
      proto::StreamChunk chunk;
      ASSERT_TRUE(FromJson(body.substr(at, end - at), &chunk).ok());
      at = end + 1;
      ASSERT_FALSE(closed);
      ASSERT_EQ(chunk.sequence(), expected++);
      ASSERT_TRUE(run.empty() || run == chunk.run_id());
      run = chunk.run_id();
      closed = chunk.end() || chunk.has_error();
    }
    EXPECT_TRUE(closed);
  }

  void CheckCallers() {
    std::map<std::string, int> runs;
    for (const auto& [id, replica] : h_.replicas) {
      for (const proto::CallRequest& request : replica.ran) {
        const int count = ++runs[request.call_id()];
        const bool once = request.prompt() == "once" || request.prompt() == "unlock";
        EXPECT_TRUE(!once || count == 1) << request.call_id() << " ran twice";
      }
    }
    for (const Caller& caller : callers_) {
      const FakeResponder& responder = *caller.responder;
      ASSERT_EQ(responder.answers, caller.left ? responder.answers : 1);
      const std::string call_id(FindHeader(responder.headers, "X-Call-Id"));
      if (responder.status == 200) {
        ++served_;
        EXPECT_GE(runs[call_id], 1);
      } else if (responder.complete) {
        const proto::CallError error = GatewayHarness::ErrorIn(responder);
        const bool promised = error.executed() == proto::EXECUTED_NO;
        EXPECT_TRUE(!promised || runs[error.call_id()] == 0) << error.code();
        EXPECT_NE(error.executed(), proto::EXECUTED_UNSPECIFIED);
      }
      if (responder.chunks > 0 && responder.complete) {
        CheckStream(responder.body);
      }
    }
  }

  GatewayHarness h_{static_cast<std::uint64_t>(GetParam())};
  std::map<std::string, TimePoint> drained_at_;
  std::vector<Caller> callers_;
  int served_ = 0;
};

TEST_P(DataPlaneFaultsTest, KeepsGuaranteesUnderFaults) {
  for (int step = 0; step < kSteps; ++step) {
    Call();
    const bool calm = step % kPeriod >= kPeriod / 2;
    if (step % kPeriod == kPeriod / 2) {
      Heal();
    }
    if (!calm && h_.world.RandomBelow(20) == 0) {
      Fault();
    }
    h_.world.RunFor(kStep);
    for (const auto& plane : h_.planes) {
      ASSERT_LE(plane->queue->Waiting("model"), h_.options.admission.queue_length);
    }
  }
  h_.world.RunFor(seconds(30));
  CheckCallers();
  EXPECT_GT(served_, kSteps / 20);  // The run was not spent refusing.
  for (const auto& plane : h_.planes) {
    EXPECT_EQ(plane->live->calls_in_flight(), 0U);
    for (const auto& [id, load] : plane->pool->loads()) {
      EXPECT_EQ(load.own(), 0U) << id;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, DataPlaneFaultsTest, ::testing::Range(1, 9));

}  // namespace
}  // namespace cloverbank
