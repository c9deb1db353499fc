#pragma once
/// @file
/// Inputs and outputs of `RaftCore`: options, durable state, messages and effects.

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/status.h"
#include "base/time.h"
#include "consensus/raft_refusal.h"
#include "proto/consensus.pb.h"

namespace cloverbank {

/// Identifies an incoming request until its response comes out as a `RaftReply`.
using RaftReplyToken = std::uint64_t;
/// Sequence number of a write to disk; 0 is before the first.
using RaftWriteId = std::uint64_t;

struct RaftCoreOptions {
  /// A member votes for nobody for this long after it heard a leader (dissertation, 4.2.3
  /// and 6.4.1). The leader's lease depends on this.
  Duration minimum_election_timeout = milliseconds(400);
  /// Election timeouts are drawn between the minimum and this. A leader that no majority answers
  /// for this long steps down (check quorum, dissertation 6.2).
  Duration maximum_election_timeout = milliseconds(800);
  /// Interval between AppendEntries messages of a leader to each member.
  Duration heartbeat_interval = milliseconds(100);
  /// The lease is shorter than the minimum election timeout by this share of it, to allow for clock
  /// drift.
  std::uint32_t lease_margin_percent = 10;
  /// Limits of one AppendEntries message.
  std::size_t maximum_append_entries = 1024;
  std::size_t maximum_append_bytes = 1U << 20U;
  /// Limit of the snapshot data in one InstallSnapshot message.
  std::size_t snapshot_chunk_bytes = 256U << 10U;
  /// Limit of the entries or snapshot data that a learner is sent in one heartbeat interval while
  /// it catches up. This leaves bandwidth of the leader for voters and for the heartbeats of nodes,
  /// whose leases must not expire meanwhile.
  std::size_t catch_up_bytes = 128U << 10U;
  /// Number of entries before a snapshot that stay in the log, so that a slow follower needs no
  /// snapshot.
  std::uint64_t trailing_entries = 512;
  /// Limit of the trailing entries' total size, because the complete log is kept in memory and each
  /// snapshot rewrites it on disk.
  std::size_t trailing_bytes = 2U << 20U;
  /// Proposals are refused while this many entries are uncommitted.
  std::uint64_t maximum_uncommitted_entries = 16384;
  /// Number of voters in a full group. A join that replaces no member is refused when the group has
  /// this many members.
  std::size_t maximum_members = 3;
  /// A voter that has not answered for this long is replaced by a joining member at another
  /// endpoint that names no member to replace. Zero: never.
  Duration replace_unresponsive_after{};
  /// Seed of the random election timeouts. It has to differ between members.
  std::uint64_t random_seed = 1;
};

/// What a member finds on its disk when it starts. Everything in it is synced.
struct RaftDurableState {
  proto::RaftMetadata metadata;
  /// Null when no snapshot has been taken.
  std::shared_ptr<const proto::RaftSnapshot> snapshot;
  /// The entry before the first of `entries`; (0, 0) at the beginning of the log.
  std::uint64_t base_index = 0;
  std::uint64_t base_term = 0;
  std::vector<proto::RaftEntry> entries;
};

/// One write, to be executed after all earlier ones: first metadata, then the snapshot, then the
/// log.
struct RaftWrite {
  RaftWriteId id = 0;
  std::optional<proto::RaftMetadata> metadata;
  std::shared_ptr<const proto::RaftSnapshot> snapshot;
  /// Whether `entries` (after the base) are the complete log from now on. If not, they are
  /// appended; an entry whose index already exists overwrites it and removes all later ones.
  bool replaces_log = false;
  std::uint64_t base_index = 0;
  std::uint64_t base_term = 0;
  std::vector<proto::RaftEntry> entries;
};

/// A request to another member. The driver passes back its response, or `HandleCallFailed`.
struct RaftMessage {
  std::uint64_t member_id = 0;
  Endpoint endpoint;
  std::variant<proto::RequestVoteRequest, proto::AppendEntriesRequest,
               proto::InstallSnapshotRequest, proto::TimeoutNowRequest>
      request;
};

/// The response to the request that the core got with `token`.
struct RaftReply {
  RaftReplyToken token = 0;
  std::variant<proto::RequestVoteResponse, proto::AppendEntriesResponse,
               proto::InstallSnapshotResponse>
      response;
};

/// What the driver has to do after an input, in the order of the fields. Nothing that depends on a
/// write is asked for before `HandlePersisted` has confirmed that write.
struct RaftEffects {
  std::vector<RaftWrite> writes;
  std::vector<RaftReply> replies;
  std::vector<RaftMessage> messages;
  /// State to restore before `committed` is applied.
  std::shared_ptr<const proto::RaftSnapshot> restore;
  /// Committed entries in order of their index, each of them once.
  std::vector<proto::RaftEntry> committed;
  /// Refusals to be counted in the metrics.
  std::vector<RaftRefusal> refusals;
  /// Set if an invariant is violated or the state is damaged: the member must stop.
  std::optional<Status> fatal;

  bool empty() const {
    return writes.empty() && replies.empty() && messages.empty() && !restore && committed.empty() &&
           refusals.empty() && !fatal;
  }
};

/// The paper's server states, and the pre-candidate of pre-vote (dissertation, 9.6).
enum class RaftRole : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

}  // namespace cloverbank
