#include "admission/admission_control.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace cloverbank {
namespace {

const TimePoint start_time = TimePoint(seconds(1000));

WaitingCall Waiting(WaitId id, proto::Priority priority, Duration wait) {
  return {id, "model", priority, start_time + wait, 1000};
}

TEST(AdmissionControlTest, OrdersByPriorityThenDeadline) {
  AdmissionControl admission({});
  std::vector<WaitId> displaced;
  admission.Enqueue(Waiting(1, proto::PRIORITY_STANDARD, milliseconds(900)), start_time,
                    &displaced);
  admission.Enqueue(Waiting(2, proto::PRIORITY_STANDARD, milliseconds(500)), start_time,
                    &displaced);
  admission.Enqueue(Waiting(3, proto::PRIORITY_INTERACTIVE, seconds(2)), start_time, &displaced);
  EXPECT_EQ(admission.FirstWaiting("model", 9), (std::vector<WaitId>{3, 2, 1}));
  EXPECT_EQ(admission.NextExpiry(), start_time + milliseconds(500));
  EXPECT_EQ(admission.TakeExpired(start_time + milliseconds(600)), std::vector<WaitId>{2});
  EXPECT_TRUE(admission.Remove(3));
  EXPECT_FALSE(admission.Remove(3));
  EXPECT_EQ(admission.waiting(), 1U);
}

TEST(AdmissionControlTest, FullQueueDisplacesOnlyLowerPriority) {
  AdmissionOptions options;
  options.queue_length = 2;
  AdmissionControl admission(options);
  std::vector<WaitId> displaced;
  admission.Enqueue(Waiting(1, proto::PRIORITY_STANDARD, seconds(1)), start_time, &displaced);
  admission.Enqueue(Waiting(2, proto::PRIORITY_STANDARD, seconds(2)), start_time, &displaced);
  const auto refused = admission.Enqueue(Waiting(3, proto::PRIORITY_STANDARD, milliseconds(1)),
                                         start_time, &displaced);
  ASSERT_TRUE(refused.has_value());
  EXPECT_EQ(refused->refusal, Refusal::kQueueFull);
  EXPECT_GT(refused->retry_after, Duration::zero());
  EXPECT_FALSE(
      admission.Enqueue(Waiting(4, proto::PRIORITY_INTERACTIVE, seconds(1)), start_time, &displaced)
          .has_value());
  EXPECT_EQ(displaced, std::vector<WaitId>{2});
}

TEST(AdmissionControlTest, RefusesCallsThatWouldWaitTooLong) {
  AdmissionControl admission({});
  std::vector<WaitId> displaced;
  for (WaitId id = 1; id <= 50; ++id) {
    admission.Enqueue(Waiting(id, proto::PRIORITY_STANDARD, seconds(3)), start_time, &displaced);
  }
  for (WaitId id = 1; id <= 10; ++id) {  // 10 calls per second.
    admission.Serve(id, start_time + milliseconds(100) * static_cast<int>(id));
  }
  const TimePoint now = start_time + seconds(1);
  WaitingCall late = Waiting(60, proto::PRIORITY_STANDARD, seconds(3));
  const auto refused = admission.Enqueue(late, now, &displaced);
  ASSERT_TRUE(refused.has_value());
  EXPECT_EQ(refused->refusal, Refusal::kQueueTooSlow);
  late.priority = proto::PRIORITY_INTERACTIVE;  // Ahead of the others, so it is served in time.
  EXPECT_FALSE(admission.Enqueue(late, now, &displaced).has_value());
}

TEST(AdmissionControlTest, StaysWithinBoundsUnderRandomLoad) {
  AdmissionOptions options;
  options.queue_length = 20;
  options.total_queue_length = 30;
  options.queue_bytes = 25'000;
  AdmissionControl admission(options);
  std::mt19937_64 random(7);
  std::map<WaitId, TimePoint> expected_waiting;
  TimePoint now = start_time;
  for (WaitId id = 1; id < 50'000; ++id) {
    now += milliseconds(random() % 4);
    for (const WaitId expired : admission.TakeExpired(now)) {
      ASSERT_LE(expected_waiting.at(expired), now);
      expected_waiting.erase(expired);
    }
    WaitingCall call = Waiting(id, static_cast<proto::Priority>(random() % 4), {});
    call.backend = random() % 2 == 0 ? "model" : "other";
    call.wait_deadline = now + milliseconds(1 + random() % 5000);
    std::vector<WaitId> displaced;
    const auto refused = admission.Enqueue(call, now, &displaced);
    for (const WaitId removed : displaced) {
      ASSERT_EQ(expected_waiting.erase(removed), 1U);
    }
    if (!refused) {
      expected_waiting[id] = std::min(call.wait_deadline, now + options.longest_wait);
    }
    if (random() % 8 == 0) {
      for (const WaitId first : admission.FirstWaiting(call.backend, 1)) {
        ASSERT_TRUE(admission.Serve(first, now));
        ASSERT_EQ(expected_waiting.erase(first), 1U);
      }
    }
    ASSERT_LE(admission.Waiting("model"), options.queue_length);
    ASSERT_LE(admission.waiting(), options.total_queue_length);
    ASSERT_EQ(admission.waiting(), expected_waiting.size());
    ASSERT_LE(admission.waiting_bytes(), options.queue_bytes);
    ASSERT_EQ(admission.waiting_bytes(), 1000 * expected_waiting.size());
  }
}

}  // namespace
}  // namespace cloverbank
