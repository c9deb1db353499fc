#include "net/event_loop.h"

#include <sys/timerfd.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <cerrno>
#include <csignal>
#include <ctime>
#include <map>
#include <system_error>
#include <unordered_map>
#include <utility>

namespace cloverbank {
namespace {

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

int OpenTimerDescriptor() {
  const int descriptor = timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
  if (descriptor < 0) {
    throw std::system_error(errno, std::generic_category(), "timerfd_create");
  }
  return descriptor;
}

/// @param how SIG_BLOCK or SIG_UNBLOCK.
void SetReloadSignalMask(int how) {
  sigset_t signals{};
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(how, &signals, nullptr);
}

}  // namespace

struct EventLoop::State {
  State() : timer_descriptor(context, OpenTimerDescriptor()), signals(context) {}

  /// Makes the timer descriptor wake the loop at the earliest timer, unless it is already set to
  /// that time or an earlier one.
  void ArmTimerDescriptor() {
    if (timers.empty() || timers.begin()->first.first >= armed_time) {
      return;
    }
    armed_time = timers.begin()->first.first;
    const std::int64_t due = armed_time.time_since_epoch().count();
    itimerspec expiry{};
    expiry.it_value.tv_sec = due / kNanosecondsPerSecond;
    expiry.it_value.tv_nsec = due % kNanosecondsPerSecond;
    timerfd_settime(timer_descriptor.native_handle(), TFD_TIMER_ABSTIME, &expiry, nullptr);
  }

  void WaitForTimers() {
    timer_descriptor.async_wait(boost::asio::posix::descriptor_base::wait_read,
                                [this](const boost::system::error_code& error) {
                                  if (!error) {
                                    OnTimersDue();
                                  }
                                });
  }

  void OnTimersDue() {
    std::uint64_t expirations = 0;
    [[maybe_unused]] const ssize_t size =
        read(timer_descriptor.native_handle(), &expirations, sizeof(expirations));
    armed_time = TimePoint::max();
    const TimePoint now = Now();
    while (!timers.empty() && timers.begin()->first.first <= now && !context.stopped()) {
      auto timer = timers.extract(timers.begin());
      due_times.erase(timer.key().second);
      timer.mapped()();
    }
    ArmTimerDescriptor();
    WaitForTimers();
  }

  void AwaitSignal() {
    signals.async_wait([this](const boost::system::error_code& error, int signal) {
      if (error) {
        return;
      }
      AwaitSignal();
      if (signal == SIGHUP) {
        on_reload_signal();
      } else {
        on_stop_signal(signal);
      }
    });
  }

  void AwaitSignalOnce() {
    if (!awaiting_signals) {
      awaiting_signals = true;
      AwaitSignal();
    }
  }

  // Declared before the context, because handlers that the context destroys may still cancel
  // timers.
  std::map<std::pair<TimePoint, TimerId>, std::function<void()>> timers;
  std::unordered_map<TimerId, TimePoint> due_times;
  TimerId last_timer = 0;
  TimePoint armed_time = TimePoint::max();
  /// Set while the loop is destroyed: actions and timers that destructors add then are dropped.
  std::atomic<bool> destroying = false;
  boost::asio::io_context context{1};
  boost::asio::posix::stream_descriptor timer_descriptor;
  boost::asio::signal_set signals;
  std::function<void(int)> on_stop_signal;
  std::function<void()> on_reload_signal;
  bool awaiting_signals = false;
};

EventLoop::EventLoop() : state_(std::make_unique<State>()) { state_->WaitForTimers(); }

EventLoop::~EventLoop() {
  state_->destroying = true;
  // Actions may own objects that cancel timers when destroyed, so move the actions out of the map
  // first.
  auto timers = std::move(state_->timers);
  state_->timers.clear();
  timers.clear();
}

void EventLoop::Run() {
  state_->context.run();
  state_->context.restart();
}

void EventLoop::Stop() { state_->context.stop(); }

void EventLoop::Post(std::function<void()> action) {
  if (!state_->destroying) {
    boost::asio::post(state_->context, std::move(action));
  }
}

TimePoint EventLoop::Now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(Duration(now.tv_sec * kNanosecondsPerSecond + now.tv_nsec));
}

TimerId EventLoop::ScheduleAfter(Duration delay, std::function<void()> action) {
  const TimerId timer = ++state_->last_timer;
  if (state_->destroying) {
    return timer;
  }
  const TimePoint due = Now() + std::max(delay, Duration(1));
  state_->timers.emplace(std::pair(due, timer), std::move(action));
  state_->due_times.emplace(timer, due);
  state_->ArmTimerDescriptor();
  return timer;
}

void EventLoop::CancelTimer(TimerId timer) {
  const auto due = state_->due_times.find(timer);
  if (due == state_->due_times.end()) {
    return;
  }
  const auto entry = state_->timers.find(std::pair(due->second, timer));
  state_->due_times.erase(due);
  if (entry != state_->timers.end()) {
    // Destroy the action only when the map is consistent again, because the action may own objects
    // that cancel timers.
    const auto removed = state_->timers.extract(entry);
  }
}

void EventLoop::OnStopSignal(std::function<void(int signal)> action) {
  state_->on_stop_signal = std::move(action);
  state_->signals.add(SIGTERM);
  state_->signals.add(SIGINT);
  state_->AwaitSignalOnce();
}

void EventLoop::HoldReloadSignal() { SetReloadSignalMask(SIG_BLOCK); }

void EventLoop::OnReloadSignal(std::function<void()> action) {
  state_->on_reload_signal = std::move(action);
  state_->signals.add(SIGHUP);
  state_->AwaitSignalOnce();
  SetReloadSignalMask(SIG_UNBLOCK);
}

boost::asio::io_context& EventLoop::io_context() { return state_->context; }

}  // namespace cloverbank
