#pragma once
/// @file
/// Runs a step of a state machine again for as long as something asks for another round. A request
/// from within the step becomes a further round instead of a nested call.
///
/// Threads: the owner's event loop only.

namespace cloverbank {

class RepeatedStep {
 public:
  /// Asks for another round after the one that is running.
  void RequestRound() { round_requested_ = true; }

  /// Runs `step` at least once, until no round is requested or `stopped`. Inside a running step
  /// this only requests a round.
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
