#include "simulation/simulated_process.h"

#include <utility>

namespace cloverbank {

namespace {

/// Takes the entry `id` out of `table`; empty function if it is not there.
template <typename Function>
Function Take(std::unordered_map<std::uint64_t, Function>& table, std::uint64_t id) {
  auto node = table.extract(id);
  return node.empty() ? Function() : std::move(node.mapped());
}

}  // namespace

SimulatedProcess::~SimulatedProcess() {
  alive_ = false;
  Dismantle();
}

void SimulatedProcess::Deliver(std::function<void()> action) {
  if (!alive_) {
    return;
  }
  if (frozen_) {
    waiting_.push_back(std::move(action));
    return;
  }
  const std::shared_ptr<SimulatedProcess> keep = shared_from_this();
  ++running_callbacks_;
  action();
  --running_callbacks_;
  if (!alive_ && running_callbacks_ == 0) {
    Dismantle();
  }
}

std::deque<std::function<void()>> SimulatedProcess::Wake() {
  frozen_ = false;
  return std::exchange(waiting_, {});
}

void SimulatedProcess::End() {
  alive_ = false;
  if (running_callbacks_ == 0) {
    Dismantle();
  }
}

void SimulatedProcess::Dismantle() {
  // Moved out first: destructors of what was captured may call back into these tables.
  const auto waiting = std::exchange(waiting_, {});
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
  const auto action = Take(timers_, timer);
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
  const auto done = Take(calls_, call);
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
  const auto done = Take(disk_operations_, operation);
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

std::uint64_t SimulatedProcess::AddIncoming(std::function<void()> broken) {
  const std::uint64_t incoming = next_id_++;
  incoming_.emplace(incoming, std::move(broken));
  return incoming;
}

void SimulatedProcess::BreakIncoming() {
  for (const auto& [incoming, broken] : std::exchange(incoming_, {})) {
    broken();
  }
}

}  // namespace cloverbank
