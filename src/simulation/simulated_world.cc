#include "simulation/simulated_world.h"

#include <cstdlib>
#include <map>
#include <utility>

#include "base/logging.h"
#include "simulation/event_queue.h"
#include "simulation/seeded_random.h"
#include "simulation/simulated_environment.h"
#include "simulation/simulated_machine.h"
#include "simulation/simulated_network.h"
#include "simulation/simulated_process.h"

namespace cloverbank {

namespace {

constexpr std::uint16_t kPeerPort = 7401;
/// Caller's address in calls from outside any machine.
constexpr const char* kExternalHost = "127.0.0.1";

}  // namespace

struct SimulatedWorld::State {
  explicit State(std::uint64_t seed)
      : seeds(seed),
        random(seeds.Next()),
        network(queue, seeds.Next()),
        external_process(std::make_shared<SimulatedProcess>()) {}

  const std::string& HostOf(std::string_view name) { return Find(name).endpoint().host; }
  SimulatedMachine& Find(std::string_view name) {
    const auto found = machines.find(name);
    if (found == machines.end()) {
      Log(LogLevel::kError, "simulated_machine_unknown", {{"machine", name}});
      std::abort();
    }
    return *found->second;
  }

  EventQueue queue;
  SeededRandom seeds;   ///< Gives each component the seed of its own random numbers.
  SeededRandom random;  ///< For the test (`SimulatedWorld::Random`).
  SimulatedNetwork network;
  DiskBehaviour disks;
  /// Makes the calls and disk accesses of tests.
  std::shared_ptr<SimulatedProcess> external_process;
  std::map<std::string, std::unique_ptr<SimulatedMachineImpl>, std::less<>> machines;
};

SimulatedWorld::SimulatedWorld(std::uint64_t seed) : state_(std::make_unique<State>(seed)) {}

SimulatedWorld::~SimulatedWorld() {
  // Programs end first, while everything that they refer to still exists. Then scheduled events are
  // discarded.
  for (const auto& [name, machine] : state_->machines) {
    machine->Kill();
  }
  state_->external_process->End();
  state_->queue.Clear();
}

TimePoint SimulatedWorld::Now() const { return state_->queue.now(); }

std::uint64_t SimulatedWorld::Random() { return state_->random.Next(); }

std::uint64_t SimulatedWorld::RandomBelow(std::uint64_t bound) {
  return state_->random.Below(bound);
}

NetworkBehaviour& SimulatedWorld::network() { return state_->network.behaviour(); }

DiskBehaviour& SimulatedWorld::disks() { return state_->disks; }

SimulatedMachine& SimulatedWorld::AddMachine(const std::string& name, const std::string& host) {
  auto& slot = state_->machines[name];
  if (slot) {
    Log(LogLevel::kError, "simulated_machine_added_twice", {{"machine", name}});
    std::abort();
  }
  slot = std::make_unique<SimulatedMachineImpl>(name, Endpoint{host, kPeerPort}, state_->queue,
                                                state_->network, state_->disks,
                                                state_->external_process, state_->seeds.Next());
  return *slot;
}

SimulatedMachine& SimulatedWorld::machine(std::string_view name) { return state_->Find(name); }

void SimulatedWorld::Cut(std::string_view from, std::string_view to) {
  state_->network.Cut(state_->HostOf(from), state_->HostOf(to));
}

void SimulatedWorld::Isolate(std::string_view name) {
  const std::string& host = state_->HostOf(name);
  for (const auto& [other_name, other] : state_->machines) {
    if (other_name != name) {
      state_->network.Cut(host, other->endpoint().host);
      state_->network.Cut(other->endpoint().host, host);
    }
  }
}

void SimulatedWorld::HealAll() { state_->network.HealAll(); }

void SimulatedWorld::Heal(std::string_view name) { state_->network.Heal(state_->HostOf(name)); }

void SimulatedWorld::ScheduleAfter(Duration delay, std::function<void()> action) {
  state_->queue.Schedule(state_->queue.now() + delay, std::move(action));
}

void SimulatedWorld::CallPeer(const Endpoint& to, std::string_view method, std::string body,
                              Duration deadline, PeerReplyCallback done) {
  state_->network.Call(state_->external_process, kExternalHost, to, method, std::move(body),
                       deadline, std::move(done));
}

void SimulatedWorld::RunFor(Duration time) {
  const TimePoint end = Now() + time;
  while (state_->queue.RunNext(end)) {
  }
  state_->queue.AdvanceTo(end);
}

bool SimulatedWorld::RunUntil(const std::function<bool()>& condition, Duration limit) {
  const TimePoint end = Now() + limit;
  while (!condition()) {
    if (!state_->queue.RunNext(end)) {
      state_->queue.AdvanceTo(end);
      return condition();
    }
  }
  return true;
}

}  // namespace cloverbank
