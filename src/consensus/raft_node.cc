#include "consensus/raft_node.h"

#include <algorithm>
#include <utility>

#include "base/logging.h"

namespace cloverbank {

RaftNode::RaftNode(Environment& environment, DataFolder& folder, StateMachine& state_machine,
                   RaftNodeOptions options)
    : context_{environment, std::move(options), [this] { ExecuteEffects(); }, /*core=*/nullptr},
      storage_(
          folder, [this](RaftWriteId write) { OnPersisted(write); },
          [this](const Status& status) { Stop(status); },
          [this](const Status& status) { disk_full_handler_.OnDiskFull(status); }),
      applier_(context_, state_machine),
      proposals_(context_),
      disk_full_handler_(context_, storage_),
      formation_(context_),
      transport_(context_, formation_.directory()) {}

RaftNode::~RaftNode() { context_.environment.CancelTimer(wakeup_timer_); }

RaftCoreOptions RaftNode::CoreOptions() {
  RaftCoreOptions core_options;
  core_options.minimum_election_timeout = context_.options.election_timeout;
  core_options.maximum_election_timeout = 2 * context_.options.election_timeout;
  core_options.heartbeat_interval = context_.options.heartbeat_interval;
  core_options.trailing_entries = context_.options.trailing_entries;
  core_options.snapshot_chunk_bytes = context_.options.snapshot_chunk_bytes;
  core_options.maximum_append_entries = context_.options.maximum_append_entries;
  core_options.maximum_members =
      std::max(context_.options.wanted_voters, context_.options.seeds.size());
  core_options.replace_unresponsive_after = context_.options.replace_unresponsive_after;
  core_options.random_seed = context_.environment.Random();
  return core_options;
}

Status RaftNode::Load() {
  Result<RaftDurableState> state = storage_.Load();
  if (!state.ok()) {
    return state.status();
  }
  if (state->snapshot) {
    if (Status status = applier_.Restore(*state->snapshot); !status.ok()) {
      return status;
    }
  }
  context_.identity_durable = state->metadata.member_id() != 0;
  if (!context_.identity_durable) {
    // The disk is empty. This is a new member, with a new id, so that it is not mistaken for one
    // that has voted.
    state->metadata.set_member_id(std::max<std::uint64_t>(1, context_.environment.Random()));
    RaftWrite identity;
    identity.metadata = state->metadata;
    storage_.Write(std::move(identity));
  }
  context_.core =
      std::make_unique<RaftCore>(CoreOptions(), *std::move(state), context_.environment.Now());
  return Status::Ok();
}

void RaftNode::Start() {
  Log(LogLevel::kInfo, "raft_started",
      {{"member_id", context_.core->member_id()},
       {"term", context_.core->term()},
       {"last_index", context_.core->log().last_index()}});
  transport_.Serve();
  formation_.Serve();
  storage_.Start();
  ScheduleWakeup();
  formation_.Start();
}

void RaftNode::Propose(std::string command, std::function<void(Result<std::string>)> done) {
  if (context_.stopped) {
    done(Status(StatusCode::kNotLeader, "this member has stopped"));
    return;
  }
  const Result<RaftPosition> position =
      context_.core->Propose(context_.environment.Now(), std::move(command));
  if (!position.ok()) {
    ExecuteEffects();
    const Endpoint leader = leader_endpoint();
    done(Status(position.status().code(), position.status().message(),
                leader.valid() ? leader.ToString() : std::string()));
    return;
  }
  proposals_.Add(*position, std::move(done));
  ExecuteEffects();
}

Status RaftNode::TransferLeadership() {
  if (!IsReadyLeader()) {
    return {StatusCode::kNotLeader, "this member does not lead the group"};
  }
  Status status = context_.core->TransferLeadership(context_.environment.Now());
  ExecuteEffects();
  return status;
}

bool RaftNode::HasLeaderLease() const {
  return IsReadyLeader() && context_.core->HasLeaderLease(context_.environment.Now());
}

bool RaftNode::IsReadyLeader() const { return context_.IsReadyLeader(); }

std::uint64_t RaftNode::term() const { return context_.core ? context_.core->term() : 0; }

Endpoint RaftNode::leader_endpoint() const { return context_.LeaderEndpoint(); }

std::vector<LogMember> RaftNode::members() const { return context_.Members(); }

void RaftNode::OnLeadershipChange(std::function<void(bool leads)> observer) {
  leadership_observers_.push_back(std::move(observer));
}

void RaftNode::OnApplied(std::function<void(std::uint64_t index)> observer) {
  applied_observers_.push_back(std::move(observer));
}

void RaftNode::OnPersisted(RaftWriteId write) {
  if (context_.stopped) {
    return;
  }
  context_.identity_durable = true;
  disk_full_handler_.OnWriteSucceeded();
  context_.core->HandlePersisted(context_.environment.Now(), write);
  ExecuteEffects();
}

void RaftNode::ExecuteEffects() {
  if (executing_effects_ || context_.stopped) {
    return;  // A nested call from the loop below, which executes the new effects, or stopped.
  }
  executing_effects_ = true;
  for (RaftEffects effects = context_.core->TakeEffects(); !effects.empty() && !context_.stopped;
       effects = context_.core->TakeEffects()) {
    Execute(effects);
    proposals_.FailFromLostTerms();
    NotifyLeadership();
  }
  executing_effects_ = false;
  if (!context_.stopped) {
    ScheduleWakeup();
  }
}

void RaftNode::Execute(RaftEffects& effects) {
  for (const RaftRefusal reason : effects.refusals) {
    context_.RecordRefusal(reason);
  }
  if (effects.fatal) {
    Stop(*effects.fatal);
    return;
  }
  for (RaftWrite& write : effects.writes) {
    storage_.Write(std::move(write));
  }
  for (const RaftReply& reply : effects.replies) {
    transport_.SendReply(reply);
  }
  for (const RaftMessage& message : effects.messages) {
    transport_.Send(message);
  }
  if (Status status = ApplyCommitted(effects); !status.ok()) {
    Stop(status);
  }
}

Status RaftNode::ApplyCommitted(const RaftEffects& effects) {
  if (!effects.restore && effects.committed.empty()) {
    return Status::Ok();
  }
  if (effects.restore) {
    if (Status status = applier_.Restore(*effects.restore); !status.ok()) {
      return status;
    }
  }
  for (const proto::RaftEntry& entry : effects.committed) {
    proposals_.Complete(entry, applier_.Apply(entry));
  }
  for (const auto& observer : applied_observers_) {
    observer(context_.applied_index);
  }
  applier_.TakeSnapshotIfDue();
  return Status::Ok();
}

void RaftNode::NotifyLeadership() {
  const std::uint64_t leading_term = IsReadyLeader() ? context_.core->term() : 0;
  if (leading_term == notified_term_) {
    return;
  }
  const bool stopped_leading = notified_term_ != 0;
  notified_term_ = leading_term;
  Log(LogLevel::kInfo, "raft_leadership_changed",
      {{"leads", leading_term != 0},
       {"term", context_.core->term()},
       {"applied", context_.applied_index}});
  context_.environment.metrics().SetGauge("raft_is_leader", leading_term != 0 ? 1 : 0);
  context_.environment.metrics().SetGauge("raft_term", static_cast<double>(context_.core->term()));
  for (const auto& observer : leadership_observers_) {
    if (stopped_leading) {
      observer(false);
    }
    if (leading_term != 0) {
      observer(true);
    }
  }
}

void RaftNode::ScheduleWakeup() {
  const TimePoint due = context_.core->NextWakeup();
  if (wakeup_timer_ != 0 && wakeup_at_ <= due) {
    // The timer fires early and is then scheduled anew, which is cheaper than a timer per
    // heartbeat.
    return;
  }
  context_.environment.CancelTimer(wakeup_timer_);
  wakeup_at_ = due;
  const Duration delay = std::max(Duration::zero(), due - context_.environment.Now());
  wakeup_timer_ = context_.environment.ScheduleAfter(delay, [this] {
    wakeup_timer_ = 0;
    if (!context_.stopped) {
      context_.core->Tick(context_.environment.Now());
      ExecuteEffects();
      ScheduleWakeup();
    }
  });
}

void RaftNode::Stop(const Status& status) {
  if (std::exchange(context_.stopped, true)) {
    return;
  }
  Log(LogLevel::kError, "raft_stopped", {{"reason", status.ToString()}});
  context_.environment.metrics().Increment("raft_fatal_total",
                                           {{"reason", StatusCodeName(status.code())}});
  context_.environment.CancelTimer(wakeup_timer_);
  formation_.Stop();
  disk_full_handler_.Stop();
  transport_.FailPendingReplies();
  proposals_.FailFromLostTerms();
  NotifyLeadership();
  if (context_.options.on_fatal) {
    context_.options.on_fatal(status);
  }
}

}  // namespace cloverbank
