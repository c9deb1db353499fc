#pragma once
/// @file
/// The event loop of a process: posted actions, timers on the boot clock, and signals.

#include <functional>
#include <memory>

#include "base/time.h"
#include "runtime/environment.h"

namespace boost::asio {
class io_context;
}

namespace cloverbank {

/// Runs on the thread that calls `Run`. Call everything except `Post` and `Stop` on that thread
/// only. The loop must outlive every server, client and environment that uses it.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs actions until `Stop`. May be called again afterwards.
  void Run();
  /// Makes `Run` return after the action that is running. Thread-safe.
  void Stop();
  /// Queues `action` to run on the loop, never within this call. Thread-safe.
  void Post(std::function<void()> action);

  /// @return the time on CLOCK_BOOTTIME, which advances while the machine is suspended.
  static TimePoint Now();
  /// Runs `action` once on the loop after `delay`, measured on the boot clock. @return the timer's
  /// id for `CancelTimer`.
  TimerId ScheduleAfter(Duration delay, std::function<void()> action);
  /// Cancels a pending timer; does nothing if it has run or is 0.
  void CancelTimer(TimerId timer);

  /// Runs `action(signal)` on the loop at each SIGTERM and SIGINT, instead of their default effect.
  void OnStopSignal(std::function<void(int signal)> action);

  /// Holds back each SIGHUP to this process until `OnReloadSignal`, so that none ends a process
  /// that is starting. To be called before the first thread is started.
  static void HoldReloadSignal();
  /// Runs `action` on the loop at each SIGHUP, also at one that was held back, instead of its
  /// default effect.
  void OnReloadSignal(std::function<void()> action);

  /// Only for the other classes of net/.
  boost::asio::io_context& io_context();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace cloverbank
