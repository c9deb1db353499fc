#include "consensus/raft_core.h"

#include <algorithm>

namespace cloverbank {
namespace {

proto::RaftConfiguration SnapshotConfiguration(const RaftDurableState& state) {
  return state.snapshot ? state.snapshot->configuration() : proto::RaftConfiguration();
}

}  // namespace

RaftCore::RaftCore(const RaftCoreOptions& options, RaftDurableState state, TimePoint now)
    : options_(options),
      random_state_(options.random_seed),
      metadata_(std::move(state.metadata)),
      log_(state.base_index, state.base_term, SnapshotConfiguration(state)),
      snapshot_(std::move(state.snapshot)) {
  for (proto::RaftEntry& entry : state.entries) {
    log_.Append(std::move(entry));
  }
  synced_index_ = log_.last_index();
  commit_index_ = snapshot_ ? snapshot_->last_included_index() : 0;
  // The time of the last contact with a leader is not stored, so assume that it was just now.
  RecordLeaderContact(now);
}

void RaftCore::Tick(TimePoint now) {
  if (now < next_wakeup_) {
    return;
  }
  if (!writable_) {
    TickUnwritable(now);
  } else if (role_ == RaftRole::kLeader) {
    TickLeader(now);
  } else {
    StartPreVote(now);
  }
}

void RaftCore::SetWritable(TimePoint now, bool writable) {
  writable_ = writable;
  const bool leads = role_ == RaftRole::kLeader;
  if (!writable && leads && !TransferLeadership(now).ok()) {
    BecomeFollower(now, term(), 0);
  }
}

void RaftCore::TickUnwritable(TimePoint now) {
  if (role_ == RaftRole::kLeader && transfer_target_ != 0) {
    TickLeader(now);
    return;
  }
  BecomeFollower(now, term(), 0);
  ResetElectionTimer(now, options_.minimum_election_timeout, options_.maximum_election_timeout);
}

void RaftCore::HandlePersisted(TimePoint now, RaftWriteId write) {
  persisted_write_ = std::max(persisted_write_, write);
  while (!unsynced_writes_.empty() && unsynced_writes_.front().id <= persisted_write_) {
    synced_index_ = unsynced_writes_.front().last_index;
    unsynced_writes_.pop_front();
  }
  while (!pending_replies_.empty() && pending_replies_.begin()->first <= persisted_write_) {
    effects_.replies.push_back(std::move(pending_replies_.begin()->second));
    pending_replies_.erase(pending_replies_.begin());
  }
  if (snapshot_write_ != 0 && snapshot_write_ <= persisted_write_) {
    snapshot_write_ = 0;
    CompactLog(snapshot_->last_included_index());
  }
  if (role_ == RaftRole::kCandidate && !vote_requests_sent_ && vote_write_ <= persisted_write_) {
    vote_requests_sent_ = true;
    SendVoteRequests();
    CountVote(now, member_id());
  } else if (role_ == RaftRole::kLeader) {
    AdvanceCommit(now);
  }
}

Result<RaftPosition> RaftCore::Propose(TimePoint now, std::string command) {
  if (role_ == RaftRole::kLeader && now >= next_wakeup_) {
    TickLeader(now);  // A leader that was suspended detects here that its quorum is lost.
  }
  if (role_ != RaftRole::kLeader) {
    RecordRefusal(RaftRefusal::kNotLeader);
    return Status(StatusCode::kNotLeader, "this member does not lead the group");
  }
  if (transfer_target_ != 0) {
    RecordRefusal(RaftRefusal::kTransferInProgress);
    return Status(StatusCode::kNotLeader, "this member is transferring leadership to another");
  }
  if (log_.last_index() - commit_index_ >= options_.maximum_uncommitted_entries) {
    RecordRefusal(RaftRefusal::kTooManyUncommitted);
    return Status(StatusCode::kResourceExhausted,
                  std::to_string(log_.last_index() - commit_index_) +
                      " entries are not committed yet; the limit is " +
                      std::to_string(options_.maximum_uncommitted_entries));
  }
  proto::RaftEntry entry;
  entry.set_index(log_.last_index() + 1);
  entry.set_term(term());
  entry.set_command(std::move(command));
  AppendToLog(std::move(entry));
  ReplicateToAll(now);
  return RaftPosition{log_.last_index(), term()};
}

void RaftCore::StoreSnapshot(std::uint64_t index, std::string state) {
  const bool newer = !snapshot_ || index > snapshot_->last_included_index();
  if (snapshot_write_ != 0 || !newer || index > commit_index_) {
    return;
  }
  auto snapshot = std::make_shared<proto::RaftSnapshot>();
  snapshot->set_last_included_index(index);
  snapshot->set_last_included_term(*log_.TermAt(index));
  *snapshot->mutable_configuration() = log_.ConfigurationAt(index);
  snapshot->set_state(std::move(state));
  snapshot_ = std::move(snapshot);
  RaftWrite& write = AddWrite();
  write.snapshot = snapshot_;
  snapshot_write_ = write.id;
}

Status RaftCore::AdmitSender(std::uint64_t cluster_id, std::uint64_t recipient_id) {
  if (recipient_id != member_id()) {
    RecordRefusal(RaftRefusal::kWrongRecipient);
    return {StatusCode::kNotFound, "the message is for member " + std::to_string(recipient_id) +
                                       ", but this is member " + std::to_string(member_id())};
  }
  if (cluster_id == metadata_.cluster_id() && cluster_id != 0) {
    return Status::Ok();
  }
  if (cluster_id == 0 || !IsEmpty()) {
    RecordRefusal(RaftRefusal::kOtherCluster);
    return {StatusCode::kConflict, "the sender's cluster id is " + std::to_string(cluster_id) +
                                       ", but this member's is " +
                                       std::to_string(metadata_.cluster_id())};
  }
  metadata_.set_cluster_id(cluster_id);
  WriteMetadata();
  return Status::Ok();
}

void RaftCore::Bootstrap(std::uint64_t cluster_id, const proto::RaftConfiguration& configuration) {
  metadata_.set_cluster_id(cluster_id);
  metadata_.set_current_term(std::max<std::uint64_t>(1, term()));
  WriteMetadata();
  proto::RaftEntry entry;
  entry.set_index(1);
  entry.set_term(1);
  *entry.mutable_configuration() = configuration;
  AppendToLog(std::move(entry));
}

bool RaftCore::IsMember() const {
  const auto& members = configuration().members();
  return std::any_of(members.begin(), members.end(), [this](const proto::RaftMember& member) {
    return member.member_id() == member_id();
  });
}

void RaftCore::BecomeFollower(TimePoint now, std::uint64_t new_term, std::uint64_t leader_id) {
  if (new_term > term()) {
    metadata_.set_current_term(new_term);
    metadata_.set_voted_for(0);
    WriteMetadata();
  }
  if (role_ != RaftRole::kFollower) {
    role_ = RaftRole::kFollower;
    peers_.clear();
    ResetElectionTimer(now, options_.minimum_election_timeout, options_.maximum_election_timeout);
  }
  leader_id_ = leader_id;
}

void RaftCore::RecordLeaderContact(TimePoint now) {
  withhold_votes_until_ = now + options_.minimum_election_timeout;
  ResetElectionTimer(now, options_.minimum_election_timeout, options_.maximum_election_timeout);
}

void RaftCore::ResetElectionTimer(TimePoint now, Duration minimum, Duration maximum) {
  next_wakeup_ = now + RandomBetween(minimum, maximum);
}

RaftWrite& RaftCore::AddWrite() {
  RaftWrite& write = effects_.writes.emplace_back();
  write.id = ++last_write_;
  return write;
}

void RaftCore::WriteMetadata() {
  RaftWrite& write = effects_.writes.empty() ? AddWrite() : effects_.writes.back();
  write.metadata = metadata_;
  last_metadata_write_ = write.id;
}

void RaftCore::AppendToLog(proto::RaftEntry entry) {
  RaftWrite& write = effects_.writes.empty() ? AddWrite() : effects_.writes.back();
  write.entries.push_back(entry);
  log_.Append(std::move(entry));
  if (unsynced_writes_.empty() || unsynced_writes_.back().id != write.id) {
    unsynced_writes_.push_back({write.id, 0});
  }
  unsynced_writes_.back().last_index = log_.last_index();
}

void RaftCore::Reply(RaftReply reply, RaftWriteId after) {
  if (after <= persisted_write_) {
    effects_.replies.push_back(std::move(reply));
  } else {
    pending_replies_.emplace(after, std::move(reply));
  }
}

void RaftCore::Fail(std::string_view reason) {
  effects_.fatal = Status(StatusCode::kInternal, std::string(reason));
}

Duration RaftCore::RandomBetween(Duration minimum, Duration maximum) {
  // SplitMix64 (Steele, Lea and Flood, "Fast splittable pseudorandom number generators").
  random_state_ += 0x9E3779B97F4A7C15ULL;
  std::uint64_t mixed = random_state_;
  mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
  mixed ^= mixed >> 31U;
  const auto span = static_cast<std::uint64_t>((maximum - minimum).count()) + 1;
  return minimum + Duration(static_cast<Duration::rep>(mixed % span));
}

void RaftCore::SetCommitIndex(std::uint64_t index) {
  while (commit_index_ < index) {
    ++commit_index_;
    effects_.committed.push_back(log_.At(commit_index_));
  }
}

bool RaftCore::IsVoter(std::uint64_t id) const {
  const auto& members = configuration().members();
  return std::any_of(members.begin(), members.end(), [id](const proto::RaftMember& member) {
    return member.member_id() == id && !member.learner();
  });
}

std::size_t RaftCore::VoterCount() const {
  const auto& members = configuration().members();
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(),
                    [](const proto::RaftMember& member) { return !member.learner(); }));
}

}  // namespace cloverbank
