#include "simulation/simulated_environment.h"

#include <chrono>
#include <utility>

namespace cloverbank {

namespace {

/// Wall clock at simulated time zero: 2024-01-01T00:00:00Z.
constexpr std::int64_t kWallMillisecondsAtZero = 1'704'067'200'000;

}  // namespace

SimulatedEnvironment::SimulatedEnvironment(EventQueue& queue, SimulatedNetwork& network,
                                           std::shared_ptr<SimulatedProcess> process,
                                           Endpoint endpoint, std::uint64_t seed)
    : queue_(queue),
      network_(network),
      process_(std::move(process)),
      endpoint_(std::move(endpoint)),
      random_(seed) {}

std::int64_t SimulatedEnvironment::WallMilliseconds() const {
  const auto since_zero = queue_.now().time_since_epoch();
  return kWallMillisecondsAtZero + std::chrono::floor<milliseconds>(since_zero).count();
}

TimerId SimulatedEnvironment::ScheduleAfter(Duration delay, std::function<void()> action) {
  const TimerId timer = process_->AddTimer(std::move(action));
  queue_.Schedule(queue_.now() + delay, [weak = std::weak_ptr(process_), timer] {
    const auto process = weak.lock();
    if (process) {
      process->Deliver([raw = process.get(), timer] { raw->RunTimer(timer); });
    }
  });
  return timer;
}

void SimulatedEnvironment::CallPeer(const Endpoint& to, std::string_view method, std::string body,
                                    Duration deadline, PeerReplyCallback done) {
  if (process_->alive()) {
    network_.Call(process_, endpoint_.host, to, method, std::move(body), deadline, std::move(done));
  }
}

void SimulatedEnvironment::RegisterPeerMethod(std::string_view method, PeerHandler handler) {
  process_->SetHandler(method, std::move(handler));
}

}  // namespace cloverbank
