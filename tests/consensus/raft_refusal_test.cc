#include "consensus/raft_refusal.h"

#include <gtest/gtest.h>

#include <map>
#include <string_view>

namespace cloverbank {
namespace {

TEST(RaftRefusalTest, MetricLabelsAreStable) {
  const std::map<RaftRefusal, std::string_view> labels = {
      {RaftRefusal::kNotLeader, "not_leader"},
      {RaftRefusal::kTransferInProgress, "handing_over"},
      {RaftRefusal::kTooManyUncommitted, "too_many_uncommitted"},
      {RaftRefusal::kWrongRecipient, "wrong_recipient"},
      {RaftRefusal::kOtherCluster, "other_cluster"},
      {RaftRefusal::kSupersededSender, "superseded_sender"},
      {RaftRefusal::kVoteStaleTerm, "vote_stale_term"},
      {RaftRefusal::kVoteLeaderAlive, "vote_leader_alive"},
      {RaftRefusal::kVoteGivenToAnother, "vote_given_to_another"},
      {RaftRefusal::kVoteLogBehind, "vote_log_behind"},
      {RaftRefusal::kLeaderStaleTerm, "leader_stale_term"},
      {RaftRefusal::kMalformedEntries, "malformed_entries"},
      {RaftRefusal::kSnapshotOffset, "snapshot_offset"},
      {RaftRefusal::kMembershipChangePending, "membership_change_pending"},
      {RaftRefusal::kReplacesLeader, "replaces_leader"},
      {RaftRefusal::kGroupFull, "group_full"},
      {RaftRefusal::kJoinUnconfirmed, "join_unconfirmed"},
      {RaftRefusal::kQuorumLost, "quorum_lost"},
      {RaftRefusal::kTransferFailed, "transfer_failed"},
      {RaftRefusal::kTransferStale, "transfer_stale"},
  };
  for (const auto& [refusal, label] : labels) {
    EXPECT_EQ(RaftRefusalName(refusal), label);
  }
}

}  // namespace
}  // namespace cloverbank
