#include "replicas/replica_prober.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>

#include "replicas/fake_http.h"
#include "simulation/simulated_world.h"

namespace cloverbank {
namespace {

/// Probes three replicas that stay in slow start, and one that is still loading at its first probe,
/// so that only the regular round probes it again.
class ProberProgram {
 public:
  ProberProgram(Environment& environment, std::map<std::string, int>* probes)
      : client_(environment), prober_(environment, client_, ProbeOptions(), Handler(probes)) {
    std::vector<ReplicaProber::Target> targets;
    for (const char* name : {"idle-1", "idle-2", "idle-3", "loading"}) {
      const Endpoint endpoint{"10.0.0." + std::to_string(targets.size() + 1), 8000};
      targets.push_back({name, endpoint, "instance-1"});
      client_.scripts[endpoint.ToString()] = [](const ExchangePtr& exchange) {
        exchange->Answer({200, {}, "ok"});
      };
    }
    prober_.SetTargets(targets, {"loading", "idle-1", "idle-2", "idle-3"});
    prober_.Start();
  }

 private:
  ReplicaProber::ResultHandler Handler(std::map<std::string, int>* probes) {
    return [this, probes](const std::string& id, const std::string&, bool, const HttpHeaders&) {
      ++(*probes)[id];
      if (id != "loading") {
        prober_.RepeatSoon(id);
      }
    };
  }

  FakeHttpClient client_;
  ReplicaProber prober_;
};

TEST(ReplicaProberTest, UrgentProbesDoNotStarveTheRegularRound) {
  SimulatedWorld world(1);
  SimulatedMachine& machine = world.AddMachine("gateway", "10.0.1.1");
  std::map<std::string, int> probes;
  machine.SetProgram([&](Environment& environment, DataFolder&) -> std::shared_ptr<void> {
    return std::make_shared<ProberProgram>(environment, &probes);
  });
  machine.Start();
  world.RunFor(seconds(20));
  EXPECT_GE(probes["loading"], 10) << "its regular interval is one second";
  EXPECT_GE(probes["idle-1"], 50) << "those in slow start are probed more often";
}

}  // namespace
}  // namespace cloverbank
