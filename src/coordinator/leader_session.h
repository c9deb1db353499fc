#pragma once
/// @file
/// Tracks the terms in which this member leads: resets the leader's state that is not replicated at
/// the start of each, and excludes pauses of this process from failure detection. Threads: the
/// owner's event loop only.

#include <cstdint>
#include <functional>

#include "leader/command_proposer.h"
#include "leader/leader_context.h"
#include "leader/leader_controller.h"

namespace cloverbank {

class LeaderSession {
 public:
  /// @param on_begin called at the end of each `Begin`.
  LeaderSession(LeaderContext& context, CommandProposer& proposer,
                LeaderController& leader_controller, std::function<void()> on_begin);

  /// This member became leader.
  void Begin();
  /// This member lost leadership.
  void End() { leading_ = false; }
  /// @return whether this member may answer. Begins the session if it leads and the log has not
  /// called its observer yet.
  bool EnsureReady();
  /// Call it at each tick. A long gap between ticks is a pause, in which no heartbeat was received.
  void RecordTick();

 private:
  LeaderContext& context_;
  CommandProposer& proposer_;
  LeaderController& leader_controller_;
  std::function<void()> on_begin_;
  bool leading_ = false;
  std::uint64_t term_ = 0;
  TimePoint last_ready_tick_;  ///< Last tick at which this member could answer.
};

}  // namespace cloverbank
