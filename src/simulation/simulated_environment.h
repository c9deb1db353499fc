#pragma once
/// @file
/// `Environment` of one simulated process run. After the run has ended, its calls have no effect.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "simulation/event_queue.h"
#include "simulation/seeded_random.h"
#include "simulation/simulated_network.h"
#include "simulation/simulated_process.h"

namespace cloverbank {

class SimulatedEnvironment final : public Environment {
 public:
  SimulatedEnvironment(EventQueue& queue, SimulatedNetwork& network,
                       std::shared_ptr<SimulatedProcess> process, Endpoint endpoint,
                       std::uint64_t seed);

  TimePoint Now() const override { return queue_.now(); }
  std::int64_t WallMilliseconds() const override;
  std::uint64_t Random() override { return random_.Next(); }
  TimerId ScheduleAfter(Duration delay, std::function<void()> action) override;
  void CancelTimer(TimerId timer) override { process_->CancelTimer(timer); }
  void CallPeer(const Endpoint& to, std::string_view method, std::string body, Duration deadline,
                PeerReplyCallback done) override;
  void RegisterPeerMethod(std::string_view method, PeerHandler handler) override;
  const Endpoint& peer_endpoint() const override { return endpoint_; }
  Metrics& metrics() override { return metrics_; }

 private:
  EventQueue& queue_;
  SimulatedNetwork& network_;
  const std::shared_ptr<SimulatedProcess> process_;
  const Endpoint endpoint_;
  SeededRandom random_;
  Metrics metrics_;
};

}  // namespace cloverbank
