// Limits and order of the calls to backups when every queue node of a large fleet has failed: with
// the log of every node to be released at every backup, a recovery must not wait for releases.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "control_state/control_commands.h"
#include "leader/recovery_manager.h"

namespace cloverbank {
namespace {

/// A large fleet of which every queue node has died at once, as when all machines restart. Four of
/// them owned a partition, whose log must be read; the logs of the others are only released.
class LargeRecoveryTest : public testing::Test {
 protected:
  static constexpr std::size_t kNodes = 90;
  static constexpr std::size_t kOwners = 4;  ///< One for each partition.

  LargeRecoveryTest() {
    std::vector<NodeId> old_queue_nodes;
    for (std::size_t node = 0; node < kNodes; ++node) {
      backups_.push_back(fleet_.Register(proto::ROLE_BACKUP, "s" + std::to_string(node), node + 1));
      old_queue_nodes.push_back(
          fleet_.Register(proto::ROLE_QUEUE, "s" + std::to_string(node), 100));
      fleet_.CommitHead(old_queue_nodes.back(), 1, 1, {backups_.front()});
      if (node >= kNodes - kOwners) {
        fleet_.Assign(old_queue_nodes.back(), {node - (kNodes - kOwners)});
      }
    }
    for (const NodeId node : old_queue_nodes) {
      fleet_.DeclareDead(node);
    }
  }
  /// Numbers of calls to backups that a step requests.
  struct CallCounts {
    std::size_t readings = 0;
    std::size_t releases = 0;
  };
  /// Runs step number `step`, 50 ms after the one before, with no partition to be assigned.
  CallCounts Step(int step) {
    CallCounts counts;
    const TimePoint now = TimePoint(seconds(100)) + step * milliseconds(50);
    for (const RecoveryAction& action : manager_.Step(fleet_.state, {now, false, {}})) {
      if (const auto* reading = std::get_if<StartReadingAction>(&action)) {
        ++counts.readings;
        readings_.push_back(*reading);
      } else if (const auto* release = std::get_if<ReleaseAction>(&action)) {
        ++counts.releases;
        releases_.push_back(*release);
      }
    }
    return counts;
  }
  /// Answers every call that was requested and not yet answered.
  void AnswerAll() {
    for (const StartReadingAction& action : std::exchange(readings_, {})) {
      manager_.HandleReadingData(action.dead, action.backup, proto::StartReadingDataResponse());
    }
    for (const ReleaseAction& action : std::exchange(releases_, {})) {
      manager_.HandleReleased(action.dead, action.backup, Status::Ok());
    }
  }

  ControlDriver fleet_;
  std::vector<NodeId> backups_;
  RecoveryManager manager_{RecoveryOptions()};
  std::vector<StartReadingAction> readings_;
  std::vector<ReleaseAction> releases_;
};

TEST_F(LargeRecoveryTest, BoundsCallsInFlight) {
  const RecoveryOptions options;
  const CallCounts first = Step(0);
  EXPECT_EQ(first.readings, options.maximum_reading_calls);
  EXPECT_EQ(first.releases, options.maximum_release_calls);
  const CallCounts second = Step(1);
  EXPECT_EQ(second.readings, 0U) << "no call has been answered yet";
  EXPECT_EQ(second.releases, 0U) << "no call has been answered yet";
}

TEST_F(LargeRecoveryTest, ReadingsDoNotWaitForReleases) {
  std::size_t readings = Step(0).readings;
  int steps = 1;
  for (; readings < kOwners * kNodes && steps < 10; ++steps) {
    AnswerAll();
    readings += Step(steps).readings;
  }
  EXPECT_EQ(readings, kOwners * kNodes);
  EXPECT_LE(steps, 2);
}

TEST_F(LargeRecoveryTest, ReleasesEveryLog) {
  std::size_t released = 0;
  for (int step = 0; step < 200; ++step) {
    released += Step(step).releases;
    AnswerAll();
  }
  EXPECT_EQ(released, (kNodes - kOwners) * kNodes);
}

}  // namespace
}  // namespace cloverbank
