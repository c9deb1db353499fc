#include "consensus/raft_node.h"

#include <algorithm>
#include <utility>

#include "base/logging.h"

namespace cloverbank {
namespace {

/// Between tries of a write for which the disk had no room.
constexpr Duration kDiskFullRetryInterval = milliseconds(200);

}  // namespace

RaftNode::RaftNode(Environment& environment, DataFolder& folder, StateMachine& state_machine,
                   RaftNodeOptions options)
    : environment_(environment),
      storage_(
          folder, [this](RaftWriteId write) { OnPersisted(write); },
          [this](const Status& status) { Stop(status); },
          [this](const Status& status) { OnDiskFull(status); }),
      state_machine_(state_machine),
      options_(std::move(options)) {}

RaftNode::~RaftNode() {
  environment_.CancelTimer(wakeup_timer_);
  environment_.CancelTimer(formation_timer_);
  environment_.CancelTimer(retry_timer_);
}

RaftCoreOptions RaftNode::CoreOptions() {
  RaftCoreOptions core_options;
  core_options.minimum_election_timeout = options_.election_timeout;
  core_options.maximum_election_timeout = 2 * options_.election_timeout;
  core_options.heartbeat_interval = options_.heartbeat_interval;
  core_options.trailing_entries = options_.trailing_entries;
  core_options.snapshot_chunk_bytes = options_.snapshot_chunk_bytes;
  core_options.maximum_append_entries = options_.maximum_append_entries;
  core_options.maximum_members = std::max(options_.wanted_voters, options_.seeds.size());
  core_options.replace_unresponsive_after = options_.replace_unresponsive_after;
  core_options.random_seed = environment_.Random();
  return core_options;
}

Status RaftNode::Load() {
  Result<RaftDurableState> state = storage_.Load();
  if (!state.ok()) {
    return state.status();
  }
  if (state->snapshot) {
    if (Status status = state_machine_.RestoreSnapshot(state->snapshot->state()); !status.ok()) {
      return status;
    }
    applied_index_ = state->snapshot->last_included_index();
    snapshot_index_ = applied_index_;
  }
  identity_durable_ = state->metadata.member_id() != 0;
  if (!identity_durable_) {
    // The disk is empty: a new member, which must not be taken for one that remembers a vote.
    state->metadata.set_member_id(std::max<std::uint64_t>(1, environment_.Random()));
    RaftWrite identity;
    identity.metadata = state->metadata;
    storage_.Write(std::move(identity));
  }
  core_ = std::make_unique<RaftCore>(CoreOptions(), *std::move(state), environment_.Now());
  return Status::Ok();
}

void RaftNode::Start() {
  Log(LogLevel::kInfo, "raft_started",
      {{"member_id", core_->member_id()},
       {"term", core_->term()},
       {"last_index", core_->log().last_index()}});
  ServePeers();
  ServeFormation();
  storage_.Start();
  ArmTimer();
  ScheduleFormation();
}

void RaftNode::Propose(std::string command, std::function<void(Result<std::string>)> done) {
  if (stopped_) {
    done(Status(StatusCode::kNotLeader, "this member has stopped"));
    return;
  }
  const Result<RaftPosition> position = core_->Propose(environment_.Now(), std::move(command));
  if (!position.ok()) {
    Drain();
    const Endpoint leader = leader_endpoint();
    done(Status(position.status().code(), position.status().message(),
                leader.valid() ? leader.ToString() : std::string()));
    return;
  }
  proposals_[position->index] = {position->term, std::move(done)};
  Drain();
}

Status RaftNode::TransferLeadership() {
  if (!IsReadyLeader()) {
    return {StatusCode::kNotLeader, "this member does not lead the group"};
  }
  Status status = core_->TransferLeadership(environment_.Now());
  Drain();
  return status;
}

bool RaftNode::HasLeaderLease() const {
  return IsReadyLeader() && core_->HasLeaderLease(environment_.Now());
}

bool RaftNode::IsReadyLeader() const {
  return !stopped_ && core_ && core_->IsReadyLeader() &&
         applied_index_ >= core_->term_start_index();
}

std::uint64_t RaftNode::term() const { return core_ ? core_->term() : 0; }

Endpoint RaftNode::leader_endpoint() const {
  for (const LogMember& member : members()) {
    if (core_->leader_id() != 0 && member.member_id == core_->leader_id()) {
      return member.endpoint;
    }
  }
  return {};
}

std::vector<LogMember> RaftNode::members() const {
  std::vector<LogMember> members;
  if (core_) {
    for (const proto::RaftMember& member : core_->configuration().members()) {
      members.push_back({member.member_id(), ToEndpoint(member.endpoint()), member.learner()});
    }
  }
  return members;
}

void RaftNode::OnLeadershipChange(std::function<void(bool leads)> observer) {
  leadership_observers_.push_back(std::move(observer));
}

void RaftNode::OnApplied(std::function<void(std::uint64_t index)> observer) {
  applied_observers_.push_back(std::move(observer));
}

void RaftNode::OnPersisted(RaftWriteId write) {
  if (stopped_) {
    return;
  }
  identity_durable_ = true;
  OnDiskSpaceAvailable();
  core_->HandlePersisted(environment_.Now(), write);
  Drain();
}

void RaftNode::OnDiskFull(const Status& status) {
  if (stopped_) {
    return;
  }
  retry_timer_ = environment_.ScheduleAfter(kDiskFullRetryInterval, [this] { storage_.Retry(); });
  if (std::exchange(disk_full_, true)) {
    return;
  }
  Log(LogLevel::kWarning, "raft_disk_full", {{"reason", status.ToString()}});
  environment_.metrics().SetGauge("raft_disk_full", 1);
  core_->SetWritable(environment_.Now(), false);
  Drain();
}

void RaftNode::OnDiskSpaceAvailable() {
  if (std::exchange(disk_full_, false)) {
    Log(LogLevel::kInfo, "raft_disk_space_available", {});
    environment_.metrics().SetGauge("raft_disk_full", 0);
    core_->SetWritable(environment_.Now(), true);
  }
}

void RaftNode::Drain() {
  if (draining_ || stopped_) {
    return;  // Called from a callback below: the loop further up takes the effects.
  }
  draining_ = true;
  for (RaftEffects effects = core_->TakeEffects(); !effects.empty() && !stopped_;
       effects = core_->TakeEffects()) {
    ApplyEffects(effects);
    FailLostProposals();
    NotifyLeadership();
  }
  draining_ = false;
  if (!stopped_) {
    ArmTimer();
  }
}

void RaftNode::RecordRefusal(RaftRefusal reason) {
  environment_.metrics().Increment("raft_refusals_total", {{"reason", RaftRefusalName(reason)}});
}

void RaftNode::ApplyEffects(RaftEffects& effects) {
  for (const RaftRefusal reason : effects.refusals) {
    RecordRefusal(reason);
  }
  if (effects.fatal) {
    Stop(*effects.fatal);
    return;
  }
  for (RaftWrite& write : effects.writes) {
    storage_.Write(std::move(write));
  }
  for (const RaftReply& reply : effects.replies) {
    SendReply(reply);
  }
  for (RaftMessage& message : effects.messages) {
    Send(message);
  }
  if (effects.restore) {
    if (Status status = state_machine_.RestoreSnapshot(effects.restore->state()); !status.ok()) {
      Stop(status);
      return;
    }
    applied_index_ = effects.restore->last_included_index();
    snapshot_index_ = applied_index_;
    bytes_since_snapshot_ = 0;
  }
  for (const proto::RaftEntry& entry : effects.committed) {
    Apply(entry);
  }
  if (effects.restore || !effects.committed.empty()) {
    for (const auto& observer : applied_observers_) {
      observer(applied_index_);
    }
    MaybeTakeSnapshot();
  }
}

void RaftNode::Apply(const proto::RaftEntry& entry) {
  std::string result;
  if (entry.has_command()) {
    result = state_machine_.Apply(entry.index(), entry.command());
    bytes_since_snapshot_ += entry.command().size();
  }
  applied_index_ = entry.index();
  const auto found = proposals_.find(entry.index());
  if (found == proposals_.end()) {
    return;
  }
  PendingProposal proposal = std::move(found->second);
  proposals_.erase(found);
  if (proposal.term == entry.term()) {
    proposal.done(std::move(result));
  } else {
    proposal.done(Status(StatusCode::kNotLeader, "another leader's command took its place"));
  }
}

void RaftNode::MaybeTakeSnapshot() {
  const bool due = applied_index_ - snapshot_index_ >= options_.snapshot_threshold_entries ||
                   bytes_since_snapshot_ >= options_.snapshot_threshold_bytes;
  if (due && !core_->IsWritingSnapshot()) {
    core_->StoreSnapshot(applied_index_, state_machine_.TakeSnapshot());
    snapshot_index_ = applied_index_;
    bytes_since_snapshot_ = 0;
    environment_.metrics().Increment("raft_snapshots_total", {{"kind", "taken"}});
  }
}

void RaftNode::FailLostProposals() {
  while (!proposals_.empty()) {
    const auto first = proposals_.begin();
    const bool still_leads = !stopped_ && core_->role() == RaftRole::kLeader;
    if (still_leads && first->second.term == core_->term()) {
      return;
    }
    auto done = std::move(first->second.done);
    proposals_.erase(first);
    done(Status(StatusCode::kUnknownOutcome, "leadership was lost before the commit"));
  }
}

void RaftNode::NotifyLeadership() {
  const std::uint64_t leads_term = IsReadyLeader() ? core_->term() : 0;
  if (leads_term == led_term_) {
    return;
  }
  const bool stopped_leading = led_term_ != 0;
  led_term_ = leads_term;
  Log(LogLevel::kInfo, "raft_leadership_changed",
      {{"leads", leads_term != 0}, {"term", core_->term()}, {"applied", applied_index_}});
  environment_.metrics().SetGauge("raft_is_leader", leads_term != 0 ? 1 : 0);
  environment_.metrics().SetGauge("raft_term", static_cast<double>(core_->term()));
  for (const auto& observer : leadership_observers_) {
    if (stopped_leading) {
      observer(false);
    }
    if (leads_term != 0) {
      observer(true);
    }
  }
}

void RaftNode::ArmTimer() {
  const TimePoint due = core_->NextWakeup();
  if (wakeup_timer_ != 0 && wakeup_at_ <= due) {
    return;  // Fires early and is armed anew then: cheaper than once a heartbeat.
  }
  environment_.CancelTimer(wakeup_timer_);
  wakeup_at_ = due;
  const Duration delay = std::max(Duration::zero(), due - environment_.Now());
  wakeup_timer_ = environment_.ScheduleAfter(delay, [this] {
    wakeup_timer_ = 0;
    if (!stopped_) {
      core_->Tick(environment_.Now());
      Drain();
      ArmTimer();
    }
  });
}

void RaftNode::Stop(const Status& status) {
  if (std::exchange(stopped_, true)) {
    return;
  }
  Log(LogLevel::kError, "raft_stopped", {{"reason", status.ToString()}});
  environment_.metrics().Increment("raft_fatal_total", {{"reason", StatusCodeName(status.code())}});
  environment_.CancelTimer(wakeup_timer_);
  environment_.CancelTimer(formation_timer_);
  environment_.CancelTimer(retry_timer_);
  auto waiting = std::exchange(waiting_replies_, {});
  for (auto& [token, reply] : waiting) {
    reply(nullptr);
  }
  FailLostProposals();
  NotifyLeadership();
  if (options_.on_fatal) {
    options_.on_fatal(status);
  }
}

}  // namespace cloverbank
