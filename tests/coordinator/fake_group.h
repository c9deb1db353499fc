#pragma once
/// @file
/// A replicated log without consensus: the test chooses the leader, and a command is committed and
/// applied at every member `commit_delay` after it was proposed to the leader.

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "consensus/replicated_log.h"
#include "runtime/environment.h"

namespace cloverbank {

class FakeLog;

/// What the members share.
struct FakeGroup {
  std::vector<std::string> commands;  ///< The committed commands.
  std::vector<FakeLog*> logs;
  FakeLog* leader = nullptr;
  std::uint64_t term = 1;
  bool has_leader_lease = true;
  Duration commit_delay = milliseconds(3);
};

/// The log of one member.
class FakeLog : public ReplicatedLog {
 public:
  FakeLog(FakeGroup& group, Environment& environment, StateMachine& state)
      : group_(group), environment_(environment), state_(state) {
    group_.logs.push_back(this);
    CatchUp();
  }
  ~FakeLog() override {
    std::erase(group_.logs, this);
    group_.leader = group_.leader == this ? nullptr : group_.leader;
  }

  void Propose(std::string command, std::function<void(Result<std::string>)> done) override {
    const std::uint64_t term = group_.term;
    environment_.ScheduleAfter(group_.commit_delay,
                               [this, term, command = std::move(command), done = std::move(done)] {
                                 if (group_.leader != this || group_.term != term) {
                                   done(Status(StatusCode::kUnknownOutcome, "leadership lost"));
                                   return;
                                 }
                                 group_.commands.push_back(command);
                                 done(CatchUp());
                                 for (FakeLog* log : std::vector<FakeLog*>(group_.logs)) {
                                   log->CatchUp();
                                 }
                               });
  }

  bool HasLeaderLease() const override { return IsReadyLeader() && group_.has_leader_lease; }
  bool IsReadyLeader() const override { return group_.leader == this; }
  std::uint64_t term() const override { return group_.term; }
  Endpoint leader_endpoint() const override {
    return group_.leader == nullptr ? Endpoint() : group_.leader->environment_.peer_endpoint();
  }
  std::vector<LogMember> members() const override {
    std::vector<LogMember> members;
    for (const FakeLog* log : group_.logs) {
      members.push_back({members.size() + 1, log->environment_.peer_endpoint(), false});
    }
    return members;
  }
  void OnLeadershipChange(std::function<void(bool leads)> observer) override {
    leadership_ = std::move(observer);
  }
  void OnApplied(std::function<void(std::uint64_t index)> observer) override {
    applied_ = std::move(observer);
  }

  /// Makes this member the leader of a new term.
  void BecomeLeader() {
    FakeLog* const previous = group_.leader;
    group_.leader = this;
    ++group_.term;
    if (previous != nullptr && previous != this && previous->leadership_) {
      previous->leadership_(false);
    }
    if (leadership_) {
      leadership_(true);
    }
  }

 private:
  /// Applies the committed commands that this member has not applied yet.
  /// @return the result of the last one.
  std::string CatchUp() {
    std::string result;
    while (applied_index_ < group_.commands.size()) {
      ++applied_index_;
      result = state_.Apply(applied_index_, group_.commands[applied_index_ - 1]);
      if (applied_) {
        applied_(applied_index_);
      }
    }
    return result;
  }

  FakeGroup& group_;
  Environment& environment_;
  StateMachine& state_;
  std::function<void(bool)> leadership_;
  std::function<void(std::uint64_t)> applied_;
  std::uint64_t applied_index_ = 0;
};

}  // namespace cloverbank
