#include "consensus/raft_refusal.h"

namespace cloverbank {

std::string_view RaftRefusalName(RaftRefusal refusal) {
  switch (refusal) {
    case RaftRefusal::kNotLeader:
      return "not_leader";
    case RaftRefusal::kTransferInProgress:
      return "handing_over";
    case RaftRefusal::kTooManyUncommitted:
      return "too_many_uncommitted";
    case RaftRefusal::kWrongRecipient:
      return "wrong_recipient";
    case RaftRefusal::kOtherCluster:
      return "other_cluster";
    case RaftRefusal::kSupersededSender:
      return "superseded_sender";
    case RaftRefusal::kVoteStaleTerm:
      return "vote_stale_term";
    case RaftRefusal::kVoteLeaderAlive:
      return "vote_leader_alive";
    case RaftRefusal::kVoteGivenToAnother:
      return "vote_given_to_another";
    case RaftRefusal::kVoteLogBehind:
      return "vote_log_behind";
    case RaftRefusal::kLeaderStaleTerm:
      return "leader_stale_term";
    case RaftRefusal::kMalformedEntries:
      return "malformed_entries";
    case RaftRefusal::kSnapshotOffset:
      return "snapshot_offset";
    case RaftRefusal::kMembershipChangePending:
      return "membership_change_pending";
    case RaftRefusal::kReplacesLeader:
      return "replaces_leader";
    case RaftRefusal::kGroupFull:
      return "group_full";
    case RaftRefusal::kJoinUnconfirmed:
      return "join_unconfirmed";
    case RaftRefusal::kQuorumLost:
      return "quorum_lost";
    case RaftRefusal::kTransferFailed:
      return "transfer_failed";
    case RaftRefusal::kTransferStale:
      return "transfer_stale";
  }
  return "unknown";
}

}  // namespace cloverbank
