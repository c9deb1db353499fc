#pragma once
/// @file
/// The one event loop of a process: actions, timers on the boot clock, and stop signals.

#include <functional>
#include <memory>

#include "base/time.h"
#include "runtime/environment.h"

namespace boost::asio {
class io_context;
}

namespace cloverbank {

/// Runs on the thread that calls `Run`; everything but `Post` and `Stop` belongs to that thread.
/// It must outlive every server, client and environment built on it.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs actions until `Stop`. May be called again afterwards.
  void Run();
  /// Makes `Run` return after the action under way. Thread-safe.
  void Stop();
  /// Runs `action` soon on the loop, never from within this call. Thread-safe.
  void Post(std::function<void()> action);

  /// @return CLOCK_BOOTTIME, which advances while the machine is suspended.
  static TimePoint Now();
  /// Runs `action` once after `delay`, measured on the boot clock.
  TimerId ScheduleAfter(Duration delay, std::function<void()> action);
  /// Cancels a pending timer; does nothing if it has run or is 0.
  void CancelTimer(TimerId timer);

  /// Runs `action(signal)` at each SIGTERM and SIGINT, instead of their default effect.
  void OnStopSignal(std::function<void(int signal)> action);

  /// Runs `action` at each SIGHUP, instead of its default effect.
  void OnReloadSignal(std::function<void()> action);

  /// For the other adapters in net/ only.
  boost::asio::io_context& io_context();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace cloverbank
