// Receiving entries and snapshots: Raft sections 5.3 and 7.
#include <algorithm>
#include <limits>

#include "consensus/raft_core.h"

namespace cloverbank {

bool RaftCore::AcceptLeader(TimePoint now, std::uint64_t leader_term, std::uint64_t leader_id) {
  if (leader_term < term()) {
    RecordRefusal(RaftRefusal::kLeaderStaleTerm);
    return false;
  }
  if (role_ == RaftRole::kLeader && leader_term == term()) {
    Fail("two leaders in term " + std::to_string(term()) + ": this member, " +
         std::to_string(member_id()) + ", and member " + std::to_string(leader_id));
    return false;
  }
  BecomeFollower(now, leader_term, leader_id);
  RecordLeaderContact(now);
  return true;
}

void RaftCore::HandleAppendEntries(TimePoint now, const proto::AppendEntriesRequest& request,
                                   RaftReplyToken token) {
  proto::AppendEntriesResponse response;
  response.set_follower_id(member_id());
  response.set_sequence(request.sequence());
  const bool accepted = AcceptLeader(now, request.term(), request.leader_id());
  response.set_term(term());
  response.set_success(accepted && AcceptEntries(request, response));
  const bool confirms_entries = response.success() && !request.entries().empty();
  Reply({token, std::move(response)}, confirms_entries ? last_write_ : last_metadata_write_);
}

bool RaftCore::AcceptEntries(const proto::AppendEntriesRequest& request,
                             proto::AppendEntriesResponse& response) {
  if (!MatchesPrevious(request)) {
    response.set_match_index(FindConflictHint(request));
    return false;
  }
  if (!StoreEntries(request)) {
    response.set_match_index(commit_index_);
    return false;
  }
  const std::uint64_t last_new_index =
      request.previous_log_index() + static_cast<std::uint64_t>(request.entries_size());
  SetCommitIndex(std::min({request.leader_commit(), last_new_index, log_.last_index()}));
  // A heartbeat's response does not wait for a sync, so it covers only entries already synced.
  response.set_match_index(request.entries().empty() ? std::min(last_new_index, synced_index_)
                                                     : last_new_index);
  return true;
}

bool RaftCore::MatchesPrevious(const proto::AppendEntriesRequest& request) const {
  const std::uint64_t previous = request.previous_log_index();
  if (previous < log_.base_index()) {
    return true;  // Covered by a snapshot, hence committed and the same on every leader.
  }
  return log_.TermAt(previous) == request.previous_log_term();
}

std::uint64_t RaftCore::FindConflictHint(const proto::AppendEntriesRequest& request) const {
  const std::uint64_t previous = request.previous_log_index();
  if (previous > log_.last_index()) {
    return log_.last_index();
  }
  // Skips all entries of the conflicting term (end of Raft section 5.3), but none that is
  // committed.
  return std::max(log_.FirstIndexOfTermAt(previous) - 1, commit_index_);
}

bool RaftCore::StoreEntries(const proto::AppendEntriesRequest& request) {
  std::uint64_t expected_index = request.previous_log_index();
  for (const proto::RaftEntry& entry : request.entries()) {
    ++expected_index;
    if (entry.index() != expected_index || entry.term() > request.term()) {
      RecordRefusal(RaftRefusal::kMalformedEntries);
      return false;
    }
    if (entry.index() <= log_.base_index()) {
      continue;
    }
    const std::optional<std::uint64_t> stored_term = log_.TermAt(entry.index());
    if (stored_term == entry.term()) {
      continue;
    }
    if (stored_term) {
      if (entry.index() <= commit_index_) {
        Fail("the leader sent entry " + std::to_string(entry.index()) + " of term " +
             std::to_string(entry.term()) + ", but the committed entry at this index is of term " +
             std::to_string(*stored_term));
        return false;
      }
      TruncateLog(entry.index());
    }
    AppendToLog(entry);
  }
  return true;
}

void RaftCore::TruncateLog(std::uint64_t index) {
  // Needs no write of its own: on the disk the next appended entry also overwrites this one and all
  // later ones.
  log_.TruncateFrom(index);
  const std::uint64_t last_remaining = index - 1;
  synced_index_ = std::min(synced_index_, last_remaining);
  for (UnsyncedWrite& write : unsynced_writes_) {
    write.last_index = std::min(write.last_index, last_remaining);
  }
}

void RaftCore::HandleInstallSnapshot(TimePoint now, const proto::InstallSnapshotRequest& request,
                                     RaftReplyToken token) {
  proto::InstallSnapshotResponse response;
  response.set_follower_id(member_id());
  response.set_sequence(request.sequence());
  const bool accepted = AcceptLeader(now, request.term(), request.leader_id());
  response.set_term(term());
  if (!accepted) {
    Reply({token, std::move(response)}, last_metadata_write_);
    return;
  }
  if (request.last_included_index() <= commit_index_) {
    response.set_next_offset(std::numeric_limits<std::uint64_t>::max());
    Reply({token, std::move(response)}, last_write_);
    return;
  }
  response.set_next_offset(AcceptSnapshotChunk(request));
  Reply({token, std::move(response)}, request.done() ? last_write_ : last_metadata_write_);
}

std::uint64_t RaftCore::AcceptSnapshotChunk(const proto::InstallSnapshotRequest& request) {
  const bool same_snapshot =
      incoming_term_ == request.term() &&
      incoming_snapshot_.last_included_index() == request.last_included_index();
  if (!same_snapshot || request.offset() == 0) {
    incoming_snapshot_.Clear();
    incoming_snapshot_.set_last_included_index(request.last_included_index());
    incoming_term_ = request.term();
  }
  if (request.offset() != incoming_snapshot_.state().size()) {
    RecordRefusal(RaftRefusal::kSnapshotOffset);
    return incoming_snapshot_.state().size();
  }
  incoming_snapshot_.mutable_state()->append(request.data());
  const std::uint64_t next_offset = incoming_snapshot_.state().size();
  if (request.done()) {
    InstallReceivedSnapshot(request);
  }
  return next_offset;
}

void RaftCore::InstallReceivedSnapshot(const proto::InstallSnapshotRequest& request) {
  const std::uint64_t index = request.last_included_index();
  auto snapshot = std::make_shared<proto::RaftSnapshot>(std::move(incoming_snapshot_));
  incoming_snapshot_.Clear();
  incoming_term_ = 0;
  snapshot->set_last_included_term(request.last_included_term());
  *snapshot->mutable_configuration() = request.configuration();
  snapshot_ = std::move(snapshot);
  if (log_.TermAt(index) == request.last_included_term()) {
    log_.CompactTo(index);
  } else {
    log_.Reset(index, request.last_included_term(), request.configuration());
  }
  commit_index_ = index;
  // Nothing of the new log is synced until it has been rewritten.
  synced_index_ = 0;
  unsynced_writes_.clear();
  // Entries that the same input committed precede the end of the snapshot, which contains their
  // effects.
  effects_.committed.clear();
  effects_.restore = snapshot_;
  AddWrite().snapshot = snapshot_;
  RewriteLog();
}

void RaftCore::CompactLog(std::uint64_t snapshot_index) {
  const std::uint64_t trailing = std::min(snapshot_index, options_.trailing_entries);
  std::uint64_t new_base = snapshot_index;
  std::size_t bytes = 0;
  while (new_base > snapshot_index - trailing && new_base > log_.base_index()) {
    bytes += log_.At(new_base).ByteSizeLong();
    if (bytes > options_.trailing_bytes) {
      break;
    }
    --new_base;
  }
  if (new_base > log_.base_index()) {
    log_.CompactTo(new_base);
    RewriteLog();
  }
}

void RaftCore::RewriteLog() {
  RaftWrite& write = AddWrite();
  write.replaces_log = true;
  write.base_index = log_.base_index();
  write.base_term = log_.base_term();
  write.entries = log_.Slice(log_.base_index() + 1, std::numeric_limits<std::size_t>::max(),
                             std::numeric_limits<std::size_t>::max());
  unsynced_writes_.push_back({write.id, log_.last_index()});
}

}  // namespace cloverbank
