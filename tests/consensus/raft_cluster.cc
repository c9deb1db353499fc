#include "consensus/raft_cluster.h"

#include <sstream>

#include "base/logging.h"

namespace cloverbank {

std::string CommandListStateMachine::Apply(std::uint64_t index, const std::string& command) {
  if (!commands_.empty() && index <= commands_.rbegin()->first) {
    record_.Fail("index " + std::to_string(index) + " was applied out of order");
  }
  Check(index, command);
  return std::to_string(index);
}

void CommandListStateMachine::Check(std::uint64_t index, const std::string& command) {
  const auto [known, added] = record_.applied.emplace(index, command);
  if (!added && known->second != command) {
    record_.Fail("members applied different commands at index " + std::to_string(index));
  }
  commands_[index] = command;
}

std::string CommandListStateMachine::TakeSnapshot() const {
  std::ostringstream text;
  for (const auto& [index, command] : commands_) {
    text << index << ' ' << command << '\n';
  }
  return text.str();
}

Status CommandListStateMachine::RestoreSnapshot(const std::string& snapshot) {
  commands_.clear();
  std::istringstream text(snapshot);
  std::uint64_t index = 0;
  std::string command;
  while (text >> index >> command) {
    Check(index, command);
  }
  return Status::Ok();
}

MemberProcess::MemberProcess(Environment& inner, DataFolder& folder, int clock_rate,
                             RunRecord& record, RaftNodeOptions options)
    : environment(inner, clock_rate),
      machine(record),
      node(environment, folder, machine, [&options, &record] {
        options.on_fatal = [&record](const Status& status) {
          record.Fail("a member stopped: " + status.ToString());
        };
        return options;
      }()) {
  const Status status = node.Load();
  loaded = status.ok();
  if (!loaded) {
    record.Fail("a disk does not load: " + status.ToString());
    return;
  }
  node.Start();
  environment.RegisterPeerMethod(
      "test.Propose", [this, &record](const PeerRequest& request, PeerReplyCallback reply) {
        if (request.body.starts_with("transfer")) {
          reply({node.TransferLeadership(), {}});
          return;
        }
        node.Propose(request.body, [&record, command = request.body,
                                    reply = std::move(reply)](const Result<std::string>& result) {
          if (result.ok()) {
            const std::uint64_t index = std::stoull(*result);
            record.acknowledged[command] = index;
            record.highest_acknowledged = std::max(record.highest_acknowledged, index);
          }
          reply({result.status(), {}});
        });
      });
}

RaftCluster::RaftCluster(const ClusterOptions& options) : options_(options), world_(options.seed) {
  ConfigureLogging({LogLevel::kError, false, {}});
  processes_.resize(options.size);
  for (std::size_t member = 0; member < options.size; ++member) {
    names_.push_back("m" + std::to_string(member));
    SimulatedMachine& machine =
        world_.AddMachine(names_.back(), "10.0.0." + std::to_string(member + 1));
    if (options.seeds == 0 || member < options.seeds) {
      options_.node.seeds.push_back(machine.endpoint());
    }
  }
  for (std::size_t member = 0; member < options.size; ++member) {
    SetProgram(member);
  }
}

void RaftCluster::SetProgram(std::size_t member) {
  machine(member).SetProgram([this, member](Environment& environment, DataFolder& folder) {
    const int rate = options_.clock_rates[member % options_.clock_rates.size()];
    auto process =
        std::make_shared<MemberProcess>(environment, folder, rate, record_, options_.node);
    processes_[member] = process;
    return process;
  });
}

void RaftCluster::ReplaceMachine(std::size_t member, const std::string& host) {
  machine(member).Kill();
  names_[member] += "x";
  options_.node.seeds[member] = world_.AddMachine(names_[member], host).endpoint();
  SetProgram(member);
}

MemberProcess* RaftCluster::process(std::size_t member) {
  if (!machine(member).running()) {
    return nullptr;
  }
  const auto process = processes_[member].lock();
  return process && process->loaded ? process.get() : nullptr;
}

void RaftCluster::StartAll() {
  for (std::size_t member = 0; member < size(); ++member) {
    if (!machine(member).running()) {
      machine(member).Start();
    }
  }
}

void RaftCluster::RunFor(Duration time) {
  RunUntil([] { return false; }, time);
}

bool RaftCluster::RunUntil(const std::function<bool()>& condition, Duration limit) {
  return world_.RunUntil(
      [this, &condition] {
        CheckInvariants();
        return condition();
      },
      limit);
}

void RaftCluster::Propose(std::size_t member, const std::string& text) {
  const std::string command = text + std::to_string(++commands_);
  world_.CallPeer(machine(member).endpoint(), "test.Propose", command, seconds(5),
                  [](const PeerReply&) {});
}

std::size_t RaftCluster::Leader() {
  std::size_t leader = size();
  for (std::size_t member = 0; member < size(); ++member) {
    const bool leads = process(member) != nullptr && process(member)->node.IsReadyLeader();
    if (leads &&
        (leader == size() || process(member)->node.term() > process(leader)->node.term())) {
      leader = member;
    }
  }
  return leader;
}

bool RaftCluster::IsComplete() {
  const std::size_t leader = Leader();
  if (leader == size()) {
    return false;
  }
  const RaftCore& core = process(leader)->node.core();
  std::set<std::uint64_t> present;
  for (std::size_t member = 0; member < size(); ++member) {
    if (process(member) != nullptr) {
      present.insert(process(member)->node.core().member_id());
    }
  }
  std::set<std::uint64_t> voters;
  for (const LogMember& member : process(leader)->node.members()) {
    if (!member.learner) {
      voters.insert(member.member_id);
    }
  }
  return present.size() == size() && voters == present &&
         core.log().configuration_index() <= core.commit_index();
}

bool RaftCluster::HasConverged() {
  for (std::size_t member = 0; member < size(); ++member) {
    if (process(member) == nullptr || process(member)->machine.commands() != record_.applied) {
      return false;
    }
  }
  return true;
}

void RaftCluster::CheckInvariants() {
  std::size_t leases = 0;
  for (std::size_t member = 0; member < size(); ++member) {
    const MemberProcess* present = process(member);
    if (present == nullptr) {
      continue;
    }
    const RaftCore& core = present->node.core();
    if (core.role() == RaftRole::kLeader) {
      const auto [known, added] = record_.leaders.emplace(core.term(), core.member_id());
      if (!added && known->second != core.member_id()) {
        record_.Fail("two leaders in term " + std::to_string(core.term()));
      }
    }
    if (present->node.HasLeaderLease()) {
      ++leases;
      if (present->node.applied_index() < record_.highest_acknowledged) {
        record_.Fail("a leader with a lease lacks an acknowledged command");
      }
    }
  }
  if (leases > 1) {
    record_.Fail("two leaders with a lease");
  }
}

void RaftCluster::CheckLogs() {
  for (std::size_t member = 0; member < size(); ++member) {
    if (process(member) == nullptr) {
      continue;
    }
    const RaftLog& log = process(member)->node.core().log();
    for (std::uint64_t index = log.base_index() + 1; index <= log.last_index(); ++index) {
      const proto::RaftEntry& entry = log.At(index);
      const std::string content =
          std::to_string(*log.TermAt(index - 1)) + ":" + entry.SerializeAsString();
      const auto [known, added] =
          record_.entries.emplace(RunRecord::EntryId{index, entry.term()}, content);
      if (!added && known->second != content) {
        record_.Fail("logs differ at index " + std::to_string(index));
      }
    }
  }
}

}  // namespace cloverbank
