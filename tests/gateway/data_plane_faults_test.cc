// Injects seeded faults into everything that three gateways depend on, and checks the guarantees
// that must hold during the faults.
#include <gtest/gtest.h>

#include <array>
#include <map>

#include "gateway_harness.h"

namespace cloverbank {
namespace {

constexpr std::array<const char*, 4> kRoutes = {"ask", "once", "serve", "unlock"};
constexpr Duration kStep = milliseconds(10);
constexpr int kSteps = 4000;
constexpr int kPeriod = 1000;  ///< Steps; the first half with faults, the second without.
/// Longest time until gateways send nothing more to a draining replica: the poll interval, the
/// poll's deadline and the time to connect.
constexpr Duration kMaximumDrainingDelay = milliseconds(1000);

class DataPlaneFaultsTest : public ::testing::TestWithParam<int> {
 protected:
  struct Caller {
    std::shared_ptr<FakeResponder> responder;
    bool disconnected = false;
  };

  DataPlaneFaultsTest() {
    harness_.options.sharing = SharingOptions();
    harness_.second_responses = true;
    harness_.AddRoute("ask", proto::BACKEND_KIND_MODEL, true);
    harness_.AddRoute("once", proto::BACKEND_KIND_MODEL, false);
    harness_.AddRoute("serve", proto::BACKEND_KIND_SERVICE, true);
    harness_.AddRoute("unlock", proto::BACKEND_KIND_SERVICE, false);
    for (int index = 0; index < 9; ++index) {
      const bool model = index < 6;
      harness_.AddReplica("r" + std::to_string(index),
                          std::string(1, static_cast<char>('a' + index % 3)), 3,
                          model ? proto::BACKEND_KIND_MODEL : proto::BACKEND_KIND_SERVICE);
    }
    harness_.on_arrival = [this](const FakeReplica& replica) { CheckArrival(replica); };
    harness_.StartWarm();
    harness_.AddPlane();
    harness_.AddPlane();
  }

  void CheckArrival(const FakeReplica& replica) {
    EXPECT_TRUE(harness_.permission.valid) << "a call was sent without a valid lease";
    const proto::Zone* zone = FindZone(harness_.permission.stored, replica.entry.zone());
    EXPECT_EQ(zone->state(), proto::ZONE_STATE_OPEN);
    const auto drained = drained_at_.find(replica.entry.id());
    if (drained != drained_at_.end()) {
      EXPECT_LE(harness_.world.Now() - drained->second, kMaximumDrainingDelay)
          << replica.entry.id();
    }
  }

  void Call() {
    const std::string route = kRoutes.at(harness_.world.RandomBelow(kRoutes.size()));
    const std::string stream = harness_.world.RandomBelow(2) == 0 ? "true" : "false";
    Caller caller{std::make_shared<FakeResponder>()};
    HttpHeaders headers = {
        {"X-Deadline-Ms", std::to_string(200 + harness_.world.RandomBelow(4000))}};
    // The prompt names the route in the requests that the replicas record.
    harness_.planes[harness_.world.RandomBelow(3)]->router.Post(
        "/v1/call/" + route, R"({"prompt":")" + route + R"(","stream":)" + stream + "}", headers,
        caller.responder);
    callers_.push_back(std::move(caller));
  }

  void ChangeReplica(FakeReplica& replica) {
    switch (harness_.world.RandomBelow(4)) {
      case 0:
        replica.mode = static_cast<FakeReplica::Mode>(harness_.world.RandomBelow(4));
        break;
      case 1:
        harness_.SetState(replica, proto::REPLICA_STATE_DRAINING);
        drained_at_.emplace(replica.entry.id(), harness_.world.Now());
        break;
      case 2:
        harness_.SetState(replica, proto::REPLICA_STATE_READY);
        drained_at_.erase(replica.entry.id());
        break;
      default:
        replica.entry.set_instance_id(std::to_string(harness_.world.Random()));
        ++harness_.list_version;
        break;
    }
  }

  void InjectFault() {
    switch (harness_.world.RandomBelow(8)) {
      case 0: {
        proto::Zone* zone = harness_.permission.stored.mutable_zones(
            static_cast<int>(harness_.world.RandomBelow(3)));
        const bool open = zone->state() == proto::ZONE_STATE_OPEN;
        zone->set_state(open ? proto::ZONE_STATE_DRAINED : proto::ZONE_STATE_OPEN);
        for (const auto& plane : harness_.planes) {
          plane->pool->OnConfiguration();
        }
        break;
      }
      case 1:
        harness_.permission.valid = !harness_.permission.valid;
        break;
      case 2:
        harness_.client->connect_time = milliseconds(1 + harness_.world.RandomBelow(100));
        break;
      case 3: {
        Caller& caller = callers_[harness_.world.RandomBelow(callers_.size())];
        if (!caller.responder->complete && caller.responder->disconnect) {
          caller.disconnected = true;
          caller.responder->disconnect();
        }
        break;
      }
      default:
        ChangeReplica(harness_.replicas["r" + std::to_string(harness_.world.RandomBelow(9))]);
        break;
    }
  }

  void ClearFaults() {
    harness_.permission.valid = true;
    drained_at_.clear();
    for (auto& [id, replica] : harness_.replicas) {
      replica.mode = FakeReplica::Mode::kServe;
      harness_.SetState(replica, proto::REPLICA_STATE_READY);
    }
    for (proto::Zone& zone : *harness_.permission.stored.mutable_zones()) {
      zone.set_state(proto::ZONE_STATE_OPEN);
    }
    for (const auto& plane : harness_.planes) {
      plane->pool->OnConfiguration();
    }
  }

  /// Checks that the body consists of the chunks of one run, numbered from 0, and that the last one
  /// is an end or an error.
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
    for (const auto& [id, replica] : harness_.replicas) {
      for (const proto::CallRequest& request : replica.executed) {
        const int count = ++runs[request.call_id()];
        const bool non_idempotent = request.prompt() == "once" || request.prompt() == "unlock";
        EXPECT_TRUE(!non_idempotent || count == 1) << request.call_id() << " ran twice";
      }
    }
    for (const Caller& caller : callers_) {
      const FakeResponder& responder = *caller.responder;
      ASSERT_EQ(responder.answers, caller.disconnected ? responder.answers : 1);
      const std::string call_id(FindHeader(responder.headers, "X-Call-Id"));
      if (responder.status == 200) {
        ++served_;
        EXPECT_GE(runs[call_id], 1);
      } else if (responder.complete) {
        const proto::CallError error = GatewayHarness::ErrorIn(responder);
        const bool reported_not_run = error.executed() == proto::EXECUTED_NO;
        EXPECT_TRUE(!reported_not_run || runs[error.call_id()] == 0) << error.code();
        EXPECT_NE(error.executed(), proto::EXECUTED_UNSPECIFIED);
      }
      if (responder.chunks > 0 && responder.complete) {
        CheckStream(responder.body);
      }
    }
  }

  GatewayHarness harness_{static_cast<std::uint64_t>(GetParam())};
  std::map<std::string, TimePoint> drained_at_;
  std::vector<Caller> callers_;
  int served_ = 0;
};

TEST_P(DataPlaneFaultsTest, KeepsGuaranteesUnderFaults) {
  for (int step = 0; step < kSteps; ++step) {
    Call();
    const bool calm = step % kPeriod >= kPeriod / 2;
    if (step % kPeriod == kPeriod / 2) {
      ClearFaults();
    }
    if (!calm && harness_.world.RandomBelow(20) == 0) {
      InjectFault();
    }
    harness_.world.RunFor(kStep);
    for (const auto& plane : harness_.planes) {
      ASSERT_LE(plane->queue->Waiting("model"), harness_.options.admission.queue_length);
    }
  }
  harness_.world.RunFor(seconds(30));
  CheckCallers();
  EXPECT_GT(served_, kSteps / 20);  // Guards against a run that refuses almost every call.
  for (const auto& plane : harness_.planes) {
    EXPECT_EQ(plane->live->calls_in_flight(), 0U);
    for (const auto& [id, load] : plane->pool->loads()) {
      EXPECT_EQ(load.own(), 0U) << id;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, DataPlaneFaultsTest, ::testing::Range(1, 9));

}  // namespace
}  // namespace cloverbank
