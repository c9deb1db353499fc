#pragma once
/// @file
/// Tracks the terms in which this member leads: at the start of each it resets the leader's state
/// that is not replicated. Excludes pauses of this process from failure detection. Threads: the
/// owner's event loop only.

#include <cstdint>
#include <functional>

#include "leader/command_proposer.h"
#include "leader/leader_context.h"
#include "leader/leader_controller.h"

namespace cloverbank {

class LeaderSession {
 public:
  /// @param on_begin_term called at the end of each `BeginTerm`, on the event loop.
  LeaderSession(LeaderContext& context, CommandProposer& proposer,
                LeaderController& leader_controller, std::function<void()> on_begin_term);

  /// Starts a term. Call it when this member becomes leader.
  void BeginTerm();
  /// Call it when this member loses leadership.
  void End() { leading_ = false; }
  /// @return whether this member may answer. If it may, but the log has not yet called its
  /// leadership observer for this term, calls `BeginTerm` first.
  bool EnsureReady();
  /// Call it at each tick. Takes a long gap between ticks as a pause of this process, in which it
  /// received no heartbeats.
  void RecordTick();

 private:
  LeaderContext& context_;
  CommandProposer& proposer_;
  LeaderController& leader_controller_;
  std::function<void()> on_begin_term_;
  bool leading_ = false;
  std::uint64_t term_ = 0;
  TimePoint last_ready_tick_;  ///< Last tick at which this member could answer.
};

}  // namespace cloverbank
