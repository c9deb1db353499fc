#pragma once
/// @file
/// Reasons for which consensus refuses a request or abandons an operation; labels of the metric
/// `raft_refusals_total`.

#include <cstdint>
#include <string_view>

namespace cloverbank {

enum class RaftRefusal : std::uint8_t {
  // Proposals.
  kNotLeader,
  kTransferInProgress,
  kTooManyUncommitted,
  // Senders.
  kWrongRecipient,
  kOtherCluster,
  kSupersededSender,
  // Votes.
  kVoteStaleTerm,
  kVoteLeaderAlive,
  kVoteGivenToAnother,
  kVoteLogBehind,
  // Messages of a leader.
  kLeaderStaleTerm,
  kMalformedEntries,
  kSnapshotOffset,
  // Membership.
  kMembershipChangePending,
  kReplacesLeader,
  kGroupFull,
  kJoinUnconfirmed,
  // Leadership.
  kQuorumLost,
  kTransferFailed,
  kTransferStale,
};

/// @return the name of `refusal` in metrics; stable.
std::string_view RaftRefusalName(RaftRefusal refusal);

}  // namespace cloverbank
