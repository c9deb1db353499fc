#include "log_writer/repeated_step.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace cloverbank {
namespace {

TEST(RepeatedStepTest, RunsOnceWithoutRequest) {
  RepeatedStep step;
  int rounds = 0;
  step.Run(false, [&] { ++rounds; });
  EXPECT_EQ(rounds, 1);
}

TEST(RepeatedStepTest, RequestDuringStepRunsAnotherRound) {
  RepeatedStep step;
  int rounds = 0;
  step.Run(false, [&] {
    if (++rounds < 3) {
      step.RequestRound();
    }
  });
  EXPECT_EQ(rounds, 3);
}

TEST(RepeatedStepTest, NestedRunBecomesAnotherRound) {
  RepeatedStep step;
  int rounds = 0;
  int depth = 0;
  int deepest = 0;
  const auto round = [&](const auto& self) -> void {
    deepest = std::max(deepest, ++depth);
    if (++rounds == 1) {
      step.Run(false, [&] { self(self); });
    }
    --depth;
  };
  step.Run(false, [&] { round(round); });
  EXPECT_EQ(rounds, 2);
  EXPECT_EQ(deepest, 1);
}

TEST(RepeatedStepTest, EndsOnceStopped) {
  RepeatedStep step;
  bool stopped = false;
  int rounds = 0;
  step.Run(stopped, [&] {
    ++rounds;
    step.RequestRound();
    stopped = rounds == 2;
  });
  EXPECT_EQ(rounds, 2);
}

}  // namespace
}  // namespace cloverbank
