// Membership changes: one member at a time (Ongaro's dissertation, 4.1-4.3); new members start as
// learners.
//
// Replacing a member: in the group {A, B, C}, C' replaces C, for example as C's machine with an
// empty disk and a new id. Replacing C by C' in one entry would be unsafe: the majorities {A, C}
// and {B, C'} do not intersect, and C's disk may return. So the change has two steps of one voter
// each:
//  - If C does not answer: remove C, then promote C'. A commit needs both A and B before the steps
//    and between them, so removing C costs no availability. With four voters (promoting first), A,
//    B and C' would all be needed.
//  - If C still answers (replacement by another machine): promote C', then remove C. In the other
//    order the group would be {A, B} in between and tolerate no failure, while four voters tolerate
//    one.
//
// A step is taken only while a majority of the next configuration is active. The state of the
// change is in the configuration (`RaftMember.replaces`), so that a new leader can complete it.
#include <algorithm>

#include "consensus/raft_core.h"

namespace cloverbank {
namespace {

bool SameEndpoint(const proto::RaftMember& left, const proto::RaftMember& right) {
  return left.endpoint().host() == right.endpoint().host() &&
         left.endpoint().port() == right.endpoint().port();
}

const proto::RaftMember* FindMember(const proto::RaftConfiguration& configuration,
                                    std::uint64_t member_id) {
  for (const proto::RaftMember& member : configuration.members()) {
    if (member.member_id() == member_id) {
      return &member;
    }
  }
  return nullptr;
}

proto::RaftConfiguration RemoveMember(const proto::RaftConfiguration& configuration,
                                      std::uint64_t member_id) {
  proto::RaftConfiguration reduced;
  for (const proto::RaftMember& member : configuration.members()) {
    if (member.member_id() == member_id) {
      continue;
    }
    proto::RaftMember* remaining = reduced.add_members();
    *remaining = member;
    if (remaining->replaces() == member_id) {
      remaining->clear_replaces();
    }
  }
  return reduced;
}

proto::RaftConfiguration PromoteMember(const proto::RaftConfiguration& configuration,
                                       std::uint64_t member_id) {
  proto::RaftConfiguration promoted = configuration;
  for (proto::RaftMember& member : *promoted.mutable_members()) {
    if (member.member_id() == member_id) {
      member.set_learner(false);
    }
  }
  return promoted;
}

}  // namespace

bool RaftCore::CanChangeMembership() const {
  // The leader must first have committed an entry of its own term (Ongaro's correction of 2015 to
  // single-server changes), and the last change must be committed.
  return IsReadyLeader() && log_.configuration_index() <= commit_index_;
}

Status RaftCore::AdmitMember(TimePoint now, const proto::RaftMember& member,
                             std::uint64_t replaces) {
  if (role_ != RaftRole::kLeader) {
    return {StatusCode::kNotLeader, "this member does not lead the group"};
  }
  const proto::RaftMember* known = FindMember(configuration(), member.member_id());
  if (known != nullptr && SameEndpoint(*known, member)) {
    return Status::Ok();
  }
  if (!CanChangeMembership()) {
    RecordRefusal(RaftRefusal::kMembershipChangePending);
    return {
        StatusCode::kUnavailable,
        "a membership change is pending, or this leader has committed no entry of its term yet"};
  }
  if (known != nullptr) {
    return UpdateMemberEndpoint(now, member);
  }
  proto::RaftConfiguration next = RemoveDisplacedLearners(now, member, replaces);
  const std::uint64_t replaced = FindReplacedMember(now, next, member, replaces);
  if (Status status = CheckReplacement(next, replaced); !status.ok()) {
    return status;
  }
  proto::RaftMember& learner = *next.add_members();
  learner = member;
  learner.set_learner(true);
  learner.set_replaces(replaced);
  ProposeConfiguration(now, next);
  return Status::Ok();
}

proto::RaftConfiguration RaftCore::RemoveDisplacedLearners(TimePoint now,
                                                           const proto::RaftMember& joining,
                                                           std::uint64_t replaces) const {
  // Learners do not count for a majority, so they can be removed along with another change.
  proto::RaftConfiguration remaining;
  for (const proto::RaftMember& existing : configuration().members()) {
    const bool displaced = SameEndpoint(existing, joining) || existing.member_id() == replaces;
    if (!existing.learner() || !(displaced || IsUnresponsiveLearner(now, existing))) {
      *remaining.add_members() = existing;
    }
  }
  return remaining;
}

std::uint64_t RaftCore::FindReplacedMember(TimePoint now, const proto::RaftConfiguration& remaining,
                                           const proto::RaftMember& joining,
                                           std::uint64_t replaces) const {
  std::uint64_t replaced = FindMember(configuration(), replaces) != nullptr ? replaces : 0;
  for (const proto::RaftMember& existing : remaining.members()) {
    // The member that had this endpoint no longer exists, so it takes precedence over one that the
    // request names.
    if (SameEndpoint(existing, joining)) {
      replaced = existing.member_id();
    }
  }
  return replaced == 0 && IsFull(remaining) ? FindLongestUnresponsiveVoter(now) : replaced;
}

Status RaftCore::CheckReplacement(const proto::RaftConfiguration& remaining,
                                  std::uint64_t replaced) {
  if (replaced == member_id()) {
    RecordRefusal(RaftRefusal::kReplacesLeader);
    return {StatusCode::kConflict,
            "the leader, member " + std::to_string(replaced) + ", cannot be replaced"};
  }
  if (replaced == 0 && IsFull(remaining)) {
    RecordRefusal(RaftRefusal::kGroupFull);
    return {StatusCode::kConflict, "the group is full with " +
                                       std::to_string(remaining.members_size()) +
                                       " members; name the member to replace"};
  }
  return Status::Ok();
}

bool RaftCore::IsFull(const proto::RaftConfiguration& configuration) const {
  return static_cast<std::size_t>(configuration.members_size()) >= options_.maximum_members;
}

TimePoint RaftCore::LastContact(const RaftPeer& peer) const {
  const TimePoint tracked_since = std::max(term_started_, peer.member_since);
  return std::max(tracked_since, peer.last_contact.value_or(tracked_since));
}

bool RaftCore::IsUnresponsiveLearner(TimePoint now, const proto::RaftMember& member) const {
  const auto peer = peers_.find(member.member_id());
  return member.learner() && peer != peers_.end() &&
         options_.replace_unresponsive_after > Duration::zero() &&
         now - LastContact(peer->second) >= options_.replace_unresponsive_after;
}

bool RaftCore::HasResponsiveReplacement(TimePoint now, std::uint64_t voter) const {
  return std::any_of(peers_.begin(), peers_.end(), [this, now, voter](const auto& entry) {
    const proto::RaftMember& member = entry.second.member;
    return member.replaces() == voter && !IsUnresponsiveLearner(now, member);
  });
}

std::uint64_t RaftCore::FindLongestUnresponsiveVoter(TimePoint now) const {
  if (options_.replace_unresponsive_after <= Duration::zero()) {
    return 0;
  }
  std::uint64_t longest_unresponsive = 0;
  TimePoint unresponsive_since = now - options_.replace_unresponsive_after;
  for (const auto& [id, peer] : peers_) {
    const TimePoint since = LastContact(peer);
    if (!peer.member.learner() && since <= unresponsive_since &&
        !HasResponsiveReplacement(now, id)) {
      longest_unresponsive = id;
      unresponsive_since = since;
    }
  }
  return longest_unresponsive;
}

Status RaftCore::UpdateMemberEndpoint(TimePoint now, const proto::RaftMember& member) {
  // The same disk runs at another address. The set of voters does not change, so this is always
  // safe.
  proto::RaftConfiguration next = configuration();
  for (proto::RaftMember& existing : *next.mutable_members()) {
    if (existing.member_id() == member.member_id()) {
      *existing.mutable_endpoint() = member.endpoint();
    }
  }
  ProposeConfiguration(now, next);
  return Status::Ok();
}

void RaftCore::ProposeConfiguration(TimePoint now, const proto::RaftConfiguration& configuration) {
  proto::RaftEntry entry;
  entry.set_index(log_.last_index() + 1);
  entry.set_term(term());
  *entry.mutable_configuration() = configuration;
  AppendToLog(std::move(entry));
  RebuildPeers(now);
  ReplicateToAll(now);
}

void RaftCore::RebuildPeers(TimePoint now) {
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    const bool removed = FindMember(configuration(), peer->first) == nullptr;
    peer = removed ? peers_.erase(peer) : std::next(peer);
  }
  for (const proto::RaftMember& member : configuration().members()) {
    if (member.member_id() == member_id()) {
      continue;
    }
    const auto [peer, added] = peers_.try_emplace(member.member_id());
    peer->second.member = member;
    if (added) {
      peer->second.next_index = log_.last_index() + 1;
      peer->second.member_since = now;
    }
  }
}

bool RaftCore::IsResponsive(TimePoint now, std::uint64_t id) const {
  if (id == member_id()) {
    return true;
  }
  const auto peer = peers_.find(id);
  return peer != peers_.end() && peer->second.last_contact &&
         now - *peer->second.last_contact < options_.maximum_election_timeout;
}

bool RaftCore::IsCaughtUp(TimePoint now, std::uint64_t id) const {
  const auto peer = peers_.find(id);
  return IsResponsive(now, id) && peer != peers_.end() && peer->second.match_index >= commit_index_;
}

std::size_t RaftCore::CountResponsiveVoters(TimePoint now) const {
  const auto& members = configuration().members();
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), [this, now](const proto::RaftMember& member) {
        return !member.learner() && IsResponsive(now, member.member_id());
      }));
}

bool RaftCore::HasActiveMajority(TimePoint now,
                                 const proto::RaftConfiguration& configuration) const {
  std::size_t voters = 0;
  std::size_t active = 0;
  for (const proto::RaftMember& member : configuration.members()) {
    if (!member.learner()) {
      ++voters;
      active += IsResponsive(now, member.member_id()) ? 1 : 0;
    }
  }
  return active > voters / 2;
}

std::optional<proto::RaftConfiguration> RaftCore::ComputeNextConfiguration(TimePoint now) const {
  for (const proto::RaftMember& member : configuration().members()) {
    const proto::RaftMember* replaced = FindMember(configuration(), member.replaces());
    const bool promotable = member.learner() && IsCaughtUp(now, member.member_id());
    const bool replaced_is_inactive =
        replaced != nullptr && !IsResponsive(now, replaced->member_id());
    if (replaced != nullptr && replaced->member_id() != member_id() &&
        (!member.learner() || (promotable && replaced_is_inactive))) {
      return RemoveMember(configuration(), replaced->member_id());
    }
    if (promotable && (member.replaces() != 0 || VoterCount() < options_.maximum_members)) {
      return PromoteMember(configuration(), member.member_id());
    }
  }
  return std::nullopt;
}

void RaftCore::AdvanceMembership(TimePoint now) {
  if (!CanChangeMembership()) {
    return;
  }
  const std::optional<proto::RaftConfiguration> next = ComputeNextConfiguration(now);
  if (next && HasActiveMajority(now, *next)) {
    ProposeConfiguration(now, *next);
  }
}

}  // namespace cloverbank
