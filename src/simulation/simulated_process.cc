#include "simulation/simulated_process.h"

#include <utility>

namespace cloverbank {

namespace {

/// Removes the entry `id` from `table` and returns it; an empty function if there is none.
template <typename Function>
Function Extract(std::unordered_map<std::uint64_t, Function>& table, std::uint64_t id) {
  auto node = table.extract(id);
  return node.empty() ? Function() : std::move(node.mapped());
}

}  // namespace

SimulatedProcess::~SimulatedProcess() {
  alive_ = false;
  ReleaseProgramAndCallbacks();
}

void SimulatedProcess::Deliver(std::function<void()> action) {
  if (!alive_) {
    return;
  }
  if (frozen_) {
    pending_actions_.push_back(std::move(action));
    return;
  }
  const std::shared_ptr<SimulatedProcess> keep = shared_from_this();
  ++running_callbacks_;
  action();
  --running_callbacks_;
  if (!alive_ && running_callbacks_ == 0) {
    ReleaseProgramAndCallbacks();
  }
}

std::deque<std::function<void()>> SimulatedProcess::Wake() {
  frozen_ = false;
  return std::exchange(pending_actions_, {});
}

void SimulatedProcess::End() {
  alive_ = false;
  if (running_callbacks_ == 0) {
    ReleaseProgramAndCallbacks();
  }
}

void SimulatedProcess::ReleaseProgramAndCallbacks() {
  // Moved out before they are destroyed, because destructors of captured objects may access these
  // members.
  const auto pending_actions = std::exchange(pending_actions_, {});
  const auto incoming = std::exchange(incoming_, {});
  const auto timers = std::exchange(timers_, {});
  const auto calls = std::exchange(calls_, {});
  const auto disk_operations = std::exchange(disk_operations_, {});
  const auto handlers = std::exchange(handlers_, {});
  const auto program = std::exchange(program_, nullptr);
}

TimerId SimulatedProcess::AddTimer(std::function<void()> action) {
  const TimerId timer = next_id_++;
  if (alive_) {
    timers_.emplace(timer, std::move(action));
  }
  return timer;
}

void SimulatedProcess::RunTimer(TimerId timer) {
  const auto action = Extract(timers_, timer);
  if (action) {
    action();
  }
}

std::uint64_t SimulatedProcess::AddCall(PeerReplyCallback done) {
  const std::uint64_t call = next_id_++;
  if (alive_) {
    calls_.emplace(call, std::move(done));
  }
  return call;
}

void SimulatedProcess::FinishCall(std::uint64_t call, PeerReply reply) {
  const auto done = Extract(calls_, call);
  if (done) {
    done(std::move(reply));
  }
}

std::uint64_t SimulatedProcess::AddDiskOperation(DataFolder::Done done) {
  const std::uint64_t operation = next_id_++;
  if (alive_) {
    disk_operations_.emplace(operation, std::move(done));
  }
  return operation;
}

void SimulatedProcess::FinishDiskOperation(std::uint64_t operation, Status status) {
  const auto done = Extract(disk_operations_, operation);
  if (done) {
    done(std::move(status));
  }
}

void SimulatedProcess::SetHandler(std::string_view method, PeerHandler handler) {
  if (alive_) {
    handlers_[std::string(method)] = std::make_shared<PeerHandler>(std::move(handler));
  }
}

std::shared_ptr<PeerHandler> SimulatedProcess::FindHandler(std::string_view method) const {
  const auto found = handlers_.find(method);
  return found == handlers_.end() ? nullptr : found->second;
}

std::uint64_t SimulatedProcess::AddIncoming(std::function<void()> on_broken) {
  const std::uint64_t incoming = next_id_++;
  incoming_.emplace(incoming, std::move(on_broken));
  return incoming;
}

void SimulatedProcess::BreakIncoming() {
  for (const auto& [incoming, on_broken] : std::exchange(incoming_, {})) {
    on_broken();
  }
}

}  // namespace cloverbank
