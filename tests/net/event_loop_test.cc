#include "net/event_loop.h"

#include <gtest/gtest.h>

#include <csignal>
#include <string>
#include <thread>

namespace cloverbank {
namespace {

TEST(EventLoopTest, RunsTimersInOrderOfDueTime) {
  EventLoop loop;
  std::string order;
  loop.ScheduleAfter(milliseconds(20), [&] {
    order += 'c';
    loop.Stop();
  });
  loop.ScheduleAfter(milliseconds(10), [&] { order += 'b'; });
  loop.Post([&] { order += 'a'; });
  loop.Run();
  EXPECT_EQ(order, "abc");
}

TEST(EventLoopTest, CancelledTimerNeverRuns) {
  EventLoop loop;
  bool ran = false;
  const TimerId cancelled = loop.ScheduleAfter(milliseconds(2), [&] { ran = true; });
  loop.ScheduleAfter(milliseconds(1), [&] { loop.CancelTimer(cancelled); });
  loop.ScheduleAfter(milliseconds(5), [&] { loop.Stop(); });
  loop.Run();
  EXPECT_FALSE(ran);
}

TEST(EventLoopTest, TimerNeverRunsBeforeItsDueTime) {
  EventLoop loop;
  const TimePoint start = EventLoop::Now();
  TimePoint ran;
  loop.ScheduleAfter(milliseconds(15), [&] {
    ran = EventLoop::Now();
    loop.Stop();
  });
  loop.Run();
  EXPECT_GE(ran - start, milliseconds(15));
}

TEST(EventLoopTest, PostFromAnotherThreadRunsAction) {
  EventLoop loop;
  std::thread poster([&] { loop.Post([&] { loop.Stop(); }); });
  loop.Run();
  poster.join();
}

// Guards against a SIGHUP ending a process that is starting.
TEST(EventLoopTest, ReloadSignalThatCameWhileStartingRunsTheActionLater) {
  EventLoop::HoldReloadSignal();
  std::raise(SIGHUP);
  EventLoop loop;
  int reloads = 0;
  loop.OnReloadSignal([&] {
    ++reloads;
    loop.Stop();
  });
  loop.Run();
  EXPECT_EQ(reloads, 1);
}

TEST(EventLoopTest, StopSignalRunsRegisteredAction) {
  EventLoop loop;
  int received = 0;
  loop.OnStopSignal([&](int signal) {
    received = signal;
    loop.Stop();
  });
  loop.Post([] { std::raise(SIGTERM); });
  loop.Run();
  EXPECT_EQ(received, SIGTERM);
}

TEST(EventLoopTest, DestructorDropsPendingActions) {
  auto captured = std::make_shared<int>(0);
  {
    EventLoop loop;
    loop.ScheduleAfter(seconds(100), [captured] {});
    loop.Post([captured] {});
  }
  EXPECT_EQ(captured.use_count(), 1);
}

}  // namespace
}  // namespace cloverbank
