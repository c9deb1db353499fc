#pragma once
/// @file
/// The time during which this member leads, one session a term: resets what the leader keeps beside
/// the replicated state at the start of each, and keeps pauses of this process out of failure
/// detection. Threads: the owner's event loop only.

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
  /// Call it at each tick: a long gap between ticks is a pause, in which no node could be heard.
  void RecordTick();

 private:
  LeaderContext& context_;
  CommandProposer& proposer_;
  LeaderController& leader_controller_;
  std::function<void()> on_begin_;
  bool leading_ = false;
  std::uint64_t term_ = 0;
  TimePoint last_ready_tick_;  ///< Last tick at which this member could hear and answer nodes.
};

}  // namespace cloverbank
