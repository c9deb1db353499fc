#pragma once
/// @file
/// Runs a step of a state machine in rounds for as long as another round is requested. A request
/// from within the step causes a further round instead of a nested call.
///
/// Threads: the owner's event loop only.

namespace cloverbank {

class RepeatedStep {
 public:
  /// Requests another round after the one that is running.
  void RequestRound() { round_requested_ = true; }

  /// Runs `step` until no round is requested, at least once, or until `stopped`, which it reads
  /// before each round. Called from within a running step, it only requests a round.
  template <typename Step>
  void Run(const bool& stopped, Step step) {
    round_requested_ = true;
    if (running_) {
      return;
    }
    running_ = true;
    while (round_requested_ && !stopped) {
      round_requested_ = false;
      step();
    }
    running_ = false;
  }

 private:
  bool running_ = false;
  bool round_requested_ = false;
};

}  // namespace cloverbank
