#pragma once
/// @file
/// One run of a process. It owns every callback that its program registers (timers, replies, disk
/// completions, peer handlers) and destroys them when the run ends; the event queue holds only weak
/// references. So no callback of an ended run is ever called, and nothing it captured outlives the
/// run.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "runtime/environment.h"
#include "storage/data_folder.h"

namespace cloverbank {

class SimulatedProcess : public std::enable_shared_from_this<SimulatedProcess> {
 public:
  SimulatedProcess() = default;
  ~SimulatedProcess();
  SimulatedProcess(const SimulatedProcess&) = delete;
  SimulatedProcess& operator=(const SimulatedProcess&) = delete;

  bool alive() const { return alive_; }
  /// Keeps the program that the process runs until the run ends.
  void SetProgram(std::shared_ptr<void> program) { program_ = std::move(program); }

  /// Runs `action` in this process: now, or after `Wake` if it is frozen, or never if it has ended.
  void Deliver(std::function<void()> action);
  void Freeze() { frozen_ = true; }
  /// @return the actions that became due while frozen, in order; the caller delivers them.
  std::deque<std::function<void()>> Wake();
  /// Ends the run and destroys the program: at once, or when its running callback returns.
  void End();

  TimerId AddTimer(std::function<void()> action);
  void CancelTimer(TimerId timer) { timers_.erase(timer); }
  void RunTimer(TimerId timer);

  /// @return the id of the call for `FinishCall`.
  std::uint64_t AddCall(PeerReplyCallback done);
  /// Runs the callback of a call; ignored if it has run already.
  void FinishCall(std::uint64_t call, PeerReply reply);

  std::uint64_t AddDiskOperation(DataFolder::Done done);
  void FinishDiskOperation(std::uint64_t operation, Status status);

  void SetHandler(std::string_view method, PeerHandler handler);
  /// @return nullptr if the method is not served.
  std::shared_ptr<PeerHandler> FindHandler(std::string_view method) const;

  /// Records a received request that has no reply yet. `on_broken` runs if the process is killed
  /// before it replies.
  std::uint64_t AddIncoming(std::function<void()> on_broken);
  void RemoveIncoming(std::uint64_t incoming) { incoming_.erase(incoming); }
  /// Breaks the connections of all requests without a reply, as the operating system does when a
  /// process is killed.
  void BreakIncoming();

 private:
  /// Destroys the program and all callbacks.
  void ReleaseProgramAndCallbacks();

  bool alive_ = true;
  bool frozen_ = false;
  int running_callbacks_ = 0;
  std::uint64_t next_id_ = 1;
  std::shared_ptr<void> program_;
  std::deque<std::function<void()>> pending_actions_;  ///< Became due while frozen.
  std::unordered_map<TimerId, std::function<void()>> timers_;
  std::unordered_map<std::uint64_t, PeerReplyCallback> calls_;
  std::unordered_map<std::uint64_t, DataFolder::Done> disk_operations_;
  std::map<std::string, std::shared_ptr<PeerHandler>, std::less<>> handlers_;
  std::map<std::uint64_t, std::function<void()>> incoming_;
};

}  // namespace cloverbank
