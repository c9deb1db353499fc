#pragma once
/// @file
/// A group of `RaftNode`s in a `SimulatedWorld`, whose clocks may run at different rates. Checks
/// Raft's safety properties after every event.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "consensus/raft_node.h"
#include "simulation/simulated_world.h"

namespace cloverbank {

/// What was observed of all members in one run. Violated invariants are collected in `failures`.
struct RunRecord {
  struct EntryId {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    bool operator<(const EntryId& other) const {
      return index != other.index ? index < other.index : term < other.term;
    }
  };

  std::map<std::uint64_t, std::string> applied;       ///< Applied command by index.
  std::map<std::string, std::uint64_t> acknowledged;  ///< Index by acknowledged command.
  std::map<std::uint64_t, std::uint64_t> leaders;     ///< Leader's member id by term.
  /// Content of each entry, together with the term of its predecessor.
  std::map<EntryId, std::string> entries;
  std::uint64_t highest_acknowledged = 0;
  std::vector<std::string> failures;

  void Fail(std::string what) { failures.push_back(std::move(what)); }
};

/// A state machine that keeps its commands by index, and records a failure if another member
/// applied a different command at the same index.
class CommandListStateMachine final : public StateMachine {
 public:
  explicit CommandListStateMachine(RunRecord& record) : record_(record) {}
  std::string Apply(std::uint64_t index, const std::string& command) override;
  std::string TakeSnapshot() const override;
  Status RestoreSnapshot(const std::string& snapshot) override;
  const std::map<std::uint64_t, std::string>& commands() const { return commands_; }

 private:
  void Check(std::uint64_t index, const std::string& command);

  RunRecord& record_;
  std::map<std::uint64_t, std::string> commands_;
};

/// An `Environment` whose clock runs at `rate_percent` of the simulated world's clock.
class DriftingEnvironment final : public Environment {
 public:
  DriftingEnvironment(Environment& inner, int rate_percent) : inner_(inner), rate_(rate_percent) {}
  TimePoint Now() const override {
    return TimePoint(inner_.Now().time_since_epoch() * rate_ / 100);
  }
  std::int64_t WallMilliseconds() const override { return inner_.WallMilliseconds(); }
  std::uint64_t Random() override { return inner_.Random(); }
  TimerId ScheduleAfter(Duration delay, std::function<void()> action) override {
    return inner_.ScheduleAfter(ToWorldTime(delay), std::move(action));
  }
  void CancelTimer(TimerId timer) override { inner_.CancelTimer(timer); }
  void CallPeer(const Endpoint& to, std::string_view method, std::string body, Duration deadline,
                PeerReplyCallback done) override {
    inner_.CallPeer(to, method, std::move(body), ToWorldTime(deadline), std::move(done));
  }
  void RegisterPeerMethod(std::string_view method, PeerHandler handler) override {
    inner_.RegisterPeerMethod(method, std::move(handler));
  }
  const Endpoint& peer_endpoint() const override { return inner_.peer_endpoint(); }
  Metrics& metrics() override { return inner_.metrics(); }

 private:
  Duration ToWorldTime(Duration local) const { return local * 100 / rate_ + Duration(1); }

  Environment& inner_;
  int rate_;
};

/// One process of a member. Its peer method "test.Propose" proposes the request's body as a
/// command; a body that starts with "transfer" transfers leadership instead.
struct MemberProcess {
  MemberProcess(Environment& inner, DataFolder& folder, int clock_rate, RunRecord& record,
                RaftNodeOptions options);

  DriftingEnvironment environment;
  CommandListStateMachine machine;
  RaftNode node;
  bool loaded = false;
};

struct ClusterOptions {
  std::size_t size = 3;
  std::size_t seeds = 0;  ///< This many of the first members are seeds; 0: all are.
  std::uint64_t seed = 1;
  std::vector<int> clock_rates = {100};  ///< In percent; assigned to the members in turn.
  RaftNodeOptions node = {};
};

class RaftCluster {
 public:
  explicit RaftCluster(const ClusterOptions& options);

  SimulatedWorld& world() { return world_; }
  RunRecord& record() { return record_; }
  std::size_t size() const { return names_.size(); }
  const std::string& name(std::size_t member) const { return names_[member]; }
  SimulatedMachine& machine(std::size_t member) { return world_.machine(names_[member]); }
  /// @return the process of `member`; null if it does not run or could not load its disk.
  MemberProcess* process(std::size_t member);
  /// Starts all members that do not run.
  void StartAll();
  /// Replaces the machine of `member`, which must be a seed, by one with an empty disk at `host`,
  /// also in the list of seeds. Members read the changed list when they next start.
  void ReplaceMachine(std::size_t member, const std::string& host);
  /// @return the options of members that start from now on.
  RaftNodeOptions& node_options() { return options_.node; }
  /// Lets time pass and checks the invariants after each event.
  void RunFor(Duration time);
  /// Like `RunFor`, up to `limit`. @return whether `condition` became true.
  bool RunUntil(const std::function<bool()>& condition, Duration limit);
  /// Sends a new command, `text` followed by a counter, to `member`.
  void Propose(std::size_t member, const std::string& text = "c");
  /// @return the member that is a ready leader in the highest term; size() if there is none.
  std::size_t Leader();
  /// Whether all members run, and there is a ready leader whose committed configuration has exactly
  /// them as voters.
  bool IsComplete();
  /// Whether every member runs and has applied all commands that any member applied.
  bool HasConverged();
  /// Checks that entries of the same index and term are the same in all logs seen in this run, and
  /// so are the terms of their predecessors.
  void CheckLogs();

 private:
  void CheckInvariants();
  void SetProgram(std::size_t member);

  RunRecord record_;
  ClusterOptions options_;
  std::vector<std::string> names_;
  std::vector<std::weak_ptr<MemberProcess>> processes_;
  std::uint64_t commands_ = 0;
  SimulatedWorld world_;
};

}  // namespace cloverbank
