#include "gateway/response_timing.h"

#include <gtest/gtest.h>

namespace cloverbank {
namespace {

constexpr TimePoint kStart{seconds(100)};
constexpr ResponseTargets kTargets{milliseconds(300), milliseconds(200)};

TEST(ResponseTimingTest, StreamWithinBothTargetsIsNotLate) {
  ResponseTiming timing(kTargets, kStart);
  timing.OnEvent(kStart + milliseconds(300));
  timing.OnEvent(kStart + milliseconds(500));
  EXPECT_EQ(timing.lateness(), Lateness::kNone);
  EXPECT_EQ(timing.first_response_delay(), milliseconds(300));
  EXPECT_EQ(timing.events(), 2U);
}

TEST(ResponseTimingTest, ReportsTheLongestPause) {
  ResponseTiming timing(kTargets, kStart);
  timing.OnEvent(kStart + milliseconds(100));
  timing.OnEvent(kStart + milliseconds(301));
  timing.OnEvent(kStart + milliseconds(400));
  EXPECT_EQ(timing.lateness(), Lateness::kPause);
  EXPECT_EQ(timing.longest_pause(), milliseconds(201));
  EXPECT_EQ(timing.longest_pause_start(), milliseconds(100));
}

TEST(ResponseTimingTest, PrefersALateFirstEventToALatePause) {
  ResponseTiming timing(kTargets, kStart);
  timing.OnEvent(kStart + milliseconds(301));
  timing.OnEvent(kStart + milliseconds(900));
  EXPECT_EQ(timing.lateness(), Lateness::kFirstChunk);
}

TEST(ResponseTimingTest, ClassifiesALateCompleteResponse) {
  ResponseTiming timing(kTargets, kStart);
  timing.OnComplete(kStart + milliseconds(301));
  EXPECT_EQ(timing.lateness(), Lateness::kCompleteResponse);
}

TEST(ResponseTimingTest, WithoutTargetsNothingIsLate) {
  ResponseTiming timing(ResponseTargets{}, kStart);
  timing.OnEvent(kStart + seconds(5));
  timing.OnEvent(kStart + seconds(50));
  EXPECT_EQ(timing.lateness(), Lateness::kNone);
}

}  // namespace
}  // namespace cloverbank
