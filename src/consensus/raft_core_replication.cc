// What a leader does: log replication (Raft sections 5.3 and 5.4.2), heartbeats, check quorum,
// sending snapshots.
#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "consensus/endpoint_proto.h"
#include "consensus/raft_core.h"

namespace cloverbank {
namespace {

/// A message with entries or snapshot data is resent if it is not answered within this many
/// heartbeat intervals. Receiving it twice is harmless.
constexpr int kResendAfterHeartbeats = 3;

/// @param values one per voter.
/// @return the highest value that a majority of `values` reaches or exceeds.
template <typename Value>
Value HighestReachedByMajority(std::vector<Value> values) {
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[values.size() / 2];
}

}  // namespace

void RaftCore::TickLeader(TimePoint now) {
  if (now >= LastQuorumContact(now, true) + options_.maximum_election_timeout) {
    RecordRefusal(RaftRefusal::kQuorumLost);
    BecomeFollower(now, term(), 0);
    return;
  }
  for (auto& [id, peer] : peers_) {
    ReplicateTo(now, peer, true);
  }
  AdvanceMembership(now);
  next_wakeup_ = now + options_.heartbeat_interval;
  AdvanceTransfer(now);
}

void RaftCore::ReplicateTo(TimePoint now, RaftPeer& peer, bool heartbeat) {
  const Duration resend_after = kResendAfterHeartbeats * options_.heartbeat_interval;
  if (peer.in_flight_sequence != 0 && now - peer.in_flight_since >= resend_after) {
    peer.in_flight_sequence = 0;
  }
  const bool may_send_data = peer.in_flight_sequence == 0 && !peer.probing;
  if (may_send_data && (peer.snapshot || peer.next_index <= log_.base_index())) {
    SendSnapshotChunk(now, peer);
  } else if (may_send_data && peer.next_index <= log_.last_index()) {
    SendEntries(now, peer, true);
  } else if (heartbeat) {
    SendEntries(now, peer, false);
  }
}

std::uint64_t RaftCore::AllocateSequence(TimePoint now, RaftPeer& peer) {
  ++last_sequence_;
  peer.sent_at[last_sequence_] = now;
  return last_sequence_;
}

void RaftCore::SendEntries(TimePoint now, RaftPeer& peer, bool with_entries) {
  proto::AppendEntriesRequest request;
  request.set_term(term());
  request.set_leader_id(member_id());
  request.set_leader_commit(commit_index_);
  request.set_cluster_id(cluster_id());
  request.set_recipient_id(peer.member.member_id());
  request.set_sequence(AllocateSequence(now, peer));
  // A heartbeat may overtake entries in flight, so its previous entry is one that is known to
  // match.
  const std::uint64_t previous =
      peer.in_flight_sequence != 0 ? peer.match_index : peer.next_index - 1;
  if (const std::optional<std::uint64_t> previous_term = log_.TermAt(previous)) {
    request.set_previous_log_index(previous);
    request.set_previous_log_term(*previous_term);
  }
  if (with_entries) {
    const std::size_t limit =
        peer.member.learner() ? options_.catch_up_bytes : options_.maximum_append_bytes;
    for (proto::RaftEntry& entry :
         log_.Slice(peer.next_index, options_.maximum_append_entries, limit)) {
      *request.add_entries() = std::move(entry);
    }
    peer.in_flight_sequence = request.sequence();
    peer.in_flight_since = now;
  }
  effects_.messages.push_back(
      {peer.member.member_id(), ToEndpoint(peer.member.endpoint()), std::move(request)});
}

void RaftCore::SendSnapshotChunk(TimePoint now, RaftPeer& peer) {
  if (!peer.snapshot) {
    peer.snapshot = snapshot_;
    peer.snapshot_offset = 0;
  }
  const std::string& state = peer.snapshot->state();
  proto::InstallSnapshotRequest request;
  request.set_term(term());
  request.set_leader_id(member_id());
  request.set_cluster_id(cluster_id());
  request.set_recipient_id(peer.member.member_id());
  request.set_sequence(AllocateSequence(now, peer));
  request.set_last_included_index(peer.snapshot->last_included_index());
  request.set_last_included_term(peer.snapshot->last_included_term());
  *request.mutable_configuration() = peer.snapshot->configuration();
  request.set_offset(peer.snapshot_offset);
  const std::size_t chunk = peer.member.learner()
                                ? std::min(options_.catch_up_bytes, options_.snapshot_chunk_bytes)
                                : options_.snapshot_chunk_bytes;
  request.set_data(state.substr(peer.snapshot_offset, chunk));
  request.set_done(peer.snapshot_offset + request.data().size() == state.size());
  peer.in_flight_sequence = request.sequence();
  peer.in_flight_since = now;
  effects_.messages.push_back(
      {peer.member.member_id(), ToEndpoint(peer.member.endpoint()), std::move(request)});
}

void RaftCore::ReplicateToAll(TimePoint now) {
  for (auto& [id, peer] : peers_) {
    ReplicateTo(now, peer, false);
  }
}

RaftPeer* RaftCore::RecordResponse(TimePoint now, std::uint64_t response_term,
                                   std::uint64_t follower_id, std::uint64_t sequence) {
  if (response_term > term()) {
    BecomeFollower(now, response_term, 0);
    return nullptr;
  }
  const auto found = peers_.find(follower_id);
  if (role_ != RaftRole::kLeader || response_term != term() || found == peers_.end()) {
    return nullptr;
  }
  RaftPeer& peer = found->second;
  const auto sent = peer.sent_at.find(sequence);
  if (sent == peer.sent_at.end()) {
    return nullptr;  // The request was sent in an earlier term, or is already answered.
  }
  if (!peer.last_contact || *peer.last_contact < sent->second) {
    peer.last_contact = sent->second;
  }
  peer.sent_at.erase(sent);
  peer.probing = false;
  return &peer;
}

void RaftCore::HandleAppendEntriesResponse(TimePoint now,
                                           const proto::AppendEntriesResponse& response) {
  RaftPeer* peer =
      RecordResponse(now, response.term(), response.follower_id(), response.sequence());
  if (peer == nullptr) {
    return;
  }
  if (peer->in_flight_sequence == response.sequence()) {
    peer->in_flight_sequence = 0;
  }
  if (!response.success()) {
    DecrementNextIndex(now, *peer, response.match_index());
    return;
  }
  peer->match_index = std::max(peer->match_index, response.match_index());
  peer->next_index = std::max(peer->next_index, peer->match_index + 1);
  AdvanceCommit(now);
  ContinueReplication(now, response.follower_id());
}

void RaftCore::ContinueReplication(TimePoint now, std::uint64_t member) {
  // A configuration change may have removed the peer.
  const auto found = peers_.find(member);
  if (found != peers_.end() && !found->second.member.learner()) {
    ReplicateTo(now, found->second, false);
  }
}

void RaftCore::DecrementNextIndex(TimePoint now, RaftPeer& peer, std::uint64_t hint) {
  const std::uint64_t next_index = std::max(peer.match_index + 1, hint + 1);
  if (next_index >= peer.next_index) {
    return;  // The response was overtaken by a later one.
  }
  peer.next_index = next_index;
  ReplicateTo(now, peer, false);
}

void RaftCore::HandleInstallSnapshotResponse(TimePoint now,
                                             const proto::InstallSnapshotResponse& response) {
  RaftPeer* peer =
      RecordResponse(now, response.term(), response.follower_id(), response.sequence());
  // Only the response to the latest chunk counts: an earlier one may belong to another snapshot.
  if (peer == nullptr || peer->in_flight_sequence != response.sequence() || !peer->snapshot) {
    return;
  }
  peer->in_flight_sequence = 0;
  peer->snapshot_offset = response.next_offset();
  if (response.next_offset() >= peer->snapshot->state().size()) {
    const std::uint64_t index = peer->snapshot->last_included_index();
    peer->snapshot.reset();
    peer->match_index = std::max(peer->match_index, index);
    peer->next_index = peer->match_index + 1;
    AdvanceCommit(now);
  }
  ContinueReplication(now, response.follower_id());
}

void RaftCore::HandleCallFailed(std::uint64_t member, std::uint64_t sequence) {
  const auto found = peers_.find(member);
  if (found == peers_.end() || found->second.sent_at.erase(sequence) == 0) {
    return;
  }
  RaftPeer& peer = found->second;
  peer.probing = true;  // The next heartbeat probes it without entries.
  if (peer.in_flight_sequence == sequence) {
    peer.in_flight_sequence = 0;
  }
}

TimePoint RaftCore::LastQuorumContact(TimePoint now, bool count_start_of_term) const {
  const TimePoint without_contact = count_start_of_term ? term_started_ : TimePoint::min();
  std::vector<TimePoint> contact_times;
  for (const proto::RaftMember& member : configuration().members()) {
    if (member.learner()) {
      continue;
    }
    const auto peer = peers_.find(member.member_id());
    if (member.member_id() == member_id()) {
      contact_times.push_back(now);
    } else {
      const bool has_contact = peer != peers_.end() && peer->second.last_contact;
      contact_times.push_back(has_contact ? std::max(without_contact, *peer->second.last_contact)
                                          : without_contact);
    }
  }
  return HighestReachedByMajority(std::move(contact_times));
}

void RaftCore::AdvanceCommit(TimePoint now) {
  std::vector<std::uint64_t> match_indexes;
  for (const proto::RaftMember& member : configuration().members()) {
    if (member.learner()) {
      continue;
    }
    const auto peer = peers_.find(member.member_id());
    const bool is_self = member.member_id() == member_id();
    match_indexes.push_back(is_self ? synced_index_ : peer->second.match_index);
  }
  const std::uint64_t majority_match = HighestReachedByMajority(std::move(match_indexes));
  // An entry of an earlier term is committed only together with one of this term (Raft, 5.4.2 and
  // figure 8).
  if (majority_match > commit_index_ && log_.TermAt(majority_match) == term()) {
    SetCommitIndex(majority_match);
  }
  AdvanceMembership(now);
  AdvanceTransfer(now);
}

}  // namespace cloverbank
