// Runs whole groups under random faults and checks Raft's safety properties. A failing seed is
// printed: run it alone with CLOVERBANK_SEED=<seed>, or run more seeds with
// CLOVERBANK_SCHEDULES=<count>.
//
// Faults that were injected into the code one at a time, and which tests detect them: the number of
// failing schedules among seeds 1 to 3000, with the first failing one, and the other tests of this
// folder that fail.
//
//   injected fault                                  schedules  other tests that fail
//   vote answered before it is synced               4 (325)    AnswersAVoteRequest...
//   votes requested before own vote is synced       -          RequestsVotesOnlyOnce...
//   emptied disk votes under its old id             83 (53)    MemberWithAnEmptiedDisk...
//   lease without the margin for clock drift        5 (361)    LeaseCountsFrom...
//   lease counted from the response                 16 (27)    LeaseCountsFrom...
//   lease that does not expire                      561 (7)    LeaseCountsFrom...
//   votes despite recent contact with a leader      5 (216)    WithholdsVotesAfterLeader...
//   votes not withheld after a restart              1 (1457)   WithholdsVotesAfterARestart
//   entries of earlier terms committed alone        -          DoesNotCommitEntriesOf...
//   leader counts entries it has not synced         10 (276)   LeaderCountsOnlyIts...
//   entries acknowledged before they are synced     51 (22)    AcknowledgesEntriesOnly...
//   heartbeat response covers unsynced entries      -          AcknowledgesEntriesOnly...
//   votes without comparing logs                    422 (7)    RefusesAVoteForAStaleLog
//   overwritten suffix of the log reappears         26 (78)    PowerLossKeepsAPrefix...
//   torn tail not cut before the next write         1 (1138)   PowerLossKeepsAPrefix...
//   conflicting log kept beside a new snapshot      -          PowerLossKeepsAPrefix...
//   log cleared before the snapshot is written      2 (479)    InstallsASnapshotOver...
//   learners count for a majority                   610 (1)    LearnersDoNotCount...
//   learner promoted before it has caught up        -          DoesNotPromoteALagging...
//   member replaced in one step                     -          RemovesAnUnresponsive...
//   membership changed before an entry of the term  -          RefusesChangesBefore...
#include <gtest/gtest.h>

#include "consensus/raft_cluster.h"
#include "support/test_seeds.h"

namespace cloverbank {
namespace {

constexpr std::uint64_t kDefaultSchedules = 150;
constexpr int kFaultsInSchedule = 16;

/// One run: a group, a client, and a random sequence of faults that the seed determines.
class Schedule {
 public:
  explicit Schedule(std::uint64_t seed) : cluster_(Options(seed)), world_(cluster_.world()) {
    if (seed % 4 == 1) {  // Elections so fast that a slightly too long lease is detected.
      network_.minimum_delay = std::chrono::microseconds(100);
      network_.maximum_delay = milliseconds(1);
      disks_.minimum_sync = std::chrono::microseconds(100);
      disks_.maximum_sync = milliseconds(1);
    }
    world_.network() = network_;
    world_.disks() = disks_;
  }

  const std::vector<std::string>& Run() {
    cluster_.StartAll();
    ProposePeriodically();
    if (RandomBelow(4) != 0) {  // Else faults occur while the group is being formed.
      cluster_.RunUntil([this] { return cluster_.IsComplete(); }, seconds(5));
    }
    for (int fault = 0; fault < kFaultsInSchedule && Failures().empty(); ++fault) {
      ApplyFault();
      if (RandomBelow(3) != 0) {  // Else the next fault occurs at the same moment.
        cluster_.RunFor(milliseconds(RandomBelow(900)));
      }
      cluster_.CheckLogs();
    }
    if (Failures().empty()) {
      CheckProgressAfterHeal();
    }
    return Failures();
  }

 private:
  static ClusterOptions Options(std::uint64_t seed) {
    ClusterOptions options;
    options.seed = seed;
    options.size = seed % 5 == 0 ? 5 : 3;
    options.clock_rates = seed % 2 == 0 ? std::vector<int>{100} : std::vector<int>{96, 104, 100};
    options.node.maximum_append_entries = seed % 7 == 0 ? 1 : 1024;
    if (seed % 3 != 0) {
      options.node.snapshot_threshold_entries = 15;
      options.node.trailing_entries = seed % 3;
      options.node.snapshot_chunk_bytes = 64;
    }
    return options;
  }

  std::uint64_t RandomBelow(std::uint64_t bound) { return world_.RandomBelow(bound); }
  std::size_t PickMember() { return RandomBelow(cluster_.size()); }
  /// @return a random member, the leader more often than others.
  std::size_t PickVictim() {
    const std::size_t leader = cluster_.Leader();
    return leader == cluster_.size() || RandomBelow(2) == 0 ? PickMember() : leader;
  }
  const std::vector<std::string>& Failures() { return cluster_.record().failures; }

  /// Proposes in bursts with pauses, since any member can be elected while all logs are of the same
  /// length.
  void ProposePeriodically() {
    cluster_.Propose(PickMember());
    if (const std::size_t leader = cluster_.Leader();
        leader != cluster_.size() && RandomBelow(60) == 0) {
      cluster_.Propose(leader, "transfer");
    }
    const std::uint64_t pause = RandomBelow(20) == 0 ? 1500 : 30;
    world_.ScheduleAfter(milliseconds(5 + RandomBelow(pause)), [this] { ProposePeriodically(); });
  }

  void StartLater(std::size_t member) {
    world_.ScheduleAfter(milliseconds(RandomBelow(1500)), [this, member] {
      if (!cluster_.machine(member).running()) {
        cluster_.machine(member).Start();
      }
    });
  }

  void HealLater() {
    world_.ScheduleAfter(milliseconds(100 + RandomBelow(2500)), [this] { world_.HealAll(); });
  }

  void ApplyFault() {
    switch (RandomBelow(11)) {
      case 0:
        return Crash(false);
      case 1:
        return Crash(true);
      case 2:
        return LoseDisk();
      case 3:
        return Freeze();
      case 4:
        world_.Isolate(cluster_.name(PickVictim()));
        return HealLater();
      case 5:
        return PartitionOneWay();
      case 6:
        return Split();
      case 7:
        return DisturbNetwork();
      case 8:
        return RestartVoter();
      case 9:
        return LosePowerInElection();
      default:
        return SlowDisks();
    }
  }

  void Crash(bool power_loss) {
    const std::uint64_t victims = RandomBelow(4) == 0 ? cluster_.size() : 1 + RandomBelow(2);
    for (std::uint64_t count = 0; count < victims; ++count) {
      const std::size_t member = victims == cluster_.size() ? count : PickVictim();
      if (power_loss) {
        cluster_.machine(member).LosePower();
      } else {
        cluster_.machine(member).Kill();
      }
      StartLater(member);
    }
  }

  /// Loses at most one disk at a time: the group must be complete again before the next.
  void LoseDisk() {
    if (!cluster_.RunUntil([this] { return cluster_.IsComplete(); }, seconds(1))) {
      return;
    }
    const std::size_t member = PickVictim();
    cluster_.machine(member).LoseDisk();
    StartLater(member);
  }

  /// Cuts one member off from the leader's messages, and restarts a follower that has heard the
  /// leader: it must not vote for the isolated member at once.
  void RestartVoter() {
    const std::size_t leader = cluster_.Leader();
    const std::size_t isolated = PickMember();
    const std::size_t voter = PickMember();
    if (leader != cluster_.size() && isolated != leader && voter != leader && voter != isolated) {
      world_.Cut(cluster_.name(leader), cluster_.name(isolated));
      cluster_.RunFor(milliseconds(500 + RandomBelow(500)));
      cluster_.machine(voter).Kill();
      cluster_.machine(voter).Start();
    }
    HealLater();
  }

  /// Makes members lose unsynced writes while they vote.
  void LosePowerInElection() {
    SlowDisks();
    cluster_.machine(PickVictim()).LosePower();
    cluster_.RunFor(milliseconds(300 + RandomBelow(700)));
    const std::size_t voter = PickMember();
    cluster_.machine(voter).LosePower();
    cluster_.machine(voter).Start();
    cluster_.StartAll();
  }

  void Freeze() {
    const std::size_t member = PickVictim();
    cluster_.machine(member).Freeze();
    world_.ScheduleAfter(milliseconds(RandomBelow(2500)),
                         [this, member] { cluster_.machine(member).Wake(); });
  }

  void PartitionOneWay() {
    const std::size_t from = PickVictim();
    const std::size_t to = PickMember();
    if (from != to) {
      const bool outward = RandomBelow(2) == 0;
      world_.Cut(cluster_.name(outward ? from : to), cluster_.name(outward ? to : from));
    }
    HealLater();
  }

  void Split() {
    const std::uint64_t sides = RandomBelow(1ULL << cluster_.size());
    for (std::size_t from = 0; from < cluster_.size(); ++from) {
      for (std::size_t to = 0; to < cluster_.size(); ++to) {
        if (((sides >> from) & 1U) != ((sides >> to) & 1U)) {
          world_.Cut(cluster_.name(from), cluster_.name(to));
        }
      }
    }
    HealLater();
  }

  void DisturbNetwork() {
    world_.network().request_loss = 0.3;
    world_.network().reply_loss = 0.3;
    world_.network().request_duplication = 0.3;
    world_.network().maximum_delay = milliseconds(RandomBelow(2) == 0 ? 5 : 300);
    world_.ScheduleAfter(milliseconds(RandomBelow(2000)), [this] { world_.network() = network_; });
  }

  void SlowDisks() {
    world_.disks().maximum_sync = milliseconds(50 + RandomBelow(800));
    world_.ScheduleAfter(milliseconds(RandomBelow(2000)), [this] { world_.disks() = disks_; });
  }

  void CheckProgressAfterHeal() {
    cluster_.RunFor(seconds(3));  // By then all scheduled repairs have run.
    world_.HealAll();
    cluster_.StartAll();
    const std::size_t before = cluster_.record().acknowledged.size();
    const bool progress = cluster_.RunUntil(
        [&] { return cluster_.record().acknowledged.size() > before && cluster_.IsComplete(); },
        seconds(10));
    if (!progress) {
      cluster_.record().Fail("no progress within 10 s after all faults ended");
    }
    cluster_.RunUntil([this] { return cluster_.HasConverged(); }, seconds(10));
    cluster_.CheckLogs();
    if (!cluster_.HasConverged()) {
      cluster_.record().Fail("members did not converge");
    }
    for (const auto& [command, index] : cluster_.record().acknowledged) {
      const auto applied = cluster_.record().applied.find(index);
      if (applied == cluster_.record().applied.end() || applied->second != command) {
        cluster_.record().Fail("acknowledged command lost: " + command);
      }
    }
  }

  NetworkBehaviour network_;  ///< The behaviour without faults.
  DiskBehaviour disks_;       ///< The behaviour without faults.
  RaftCluster cluster_;
  SimulatedWorld& world_;
};

TEST(RaftSimulationTest, PreservesSafetyUnderRandomFaults) {
  const std::uint64_t only = NumberFromEnvironment("CLOVERBANK_SEED", 0);
  const std::uint64_t count = NumberFromEnvironment("CLOVERBANK_SCHEDULES", kDefaultSchedules);
  const std::uint64_t first = only != 0 ? only : 1;
  const std::uint64_t last = only != 0 ? only : count;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    const std::vector<std::string> failures = Schedule(seed).Run();
    for (const std::string& failure : failures) {
      ADD_FAILURE() << "CLOVERBANK_SEED=" << seed << ": " << failure;
    }
  }
}

}  // namespace
}  // namespace cloverbank
