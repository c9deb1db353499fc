#pragma once
/// @file
/// What goes into `RaftCore` and comes out of it: options, durable state, effects.

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

/// Names an incoming request until its answer comes out as a `RaftReply`.
using RaftReplyToken = std::uint64_t;
/// Numbers writes to disk in their order; 0 is before the first.
using RaftWriteId = std::uint64_t;

struct RaftCoreOptions {
  /// Silence of the leader after which a follower may vote for another one. The leader's lease
  /// rests on it.
  Duration minimum_election_timeout = milliseconds(400);
  /// Election timeouts are drawn between the minimum and this. A leader that hears no majority for
  /// this long steps down.
  Duration maximum_election_timeout = milliseconds(800);
  Duration heartbeat_interval = milliseconds(100);
  /// Share of the minimum election timeout by which the lease is shorter, for clocks of unequal
  /// rate.
  std::uint32_t lease_margin_percent = 10;
  std::size_t maximum_append_entries = 1024;
  std::size_t maximum_append_bytes = 1U << 20U;
  std::size_t snapshot_chunk_bytes = 256U << 10U;
  /// What a learner that catches up is sent in one heartbeat interval. The rest of the leader's
  /// link belongs to voters and to the heartbeats of nodes, whose leases must not run out
  /// meanwhile.
  std::size_t catch_up_bytes = 128U << 10U;
  /// Entries before a snapshot that stay in the log, so that a slow follower needs no snapshot.
  std::uint64_t trailing_entries = 512;
  /// The most bytes of them. Memory and disk hold the log whole, and a snapshot rewrites it.
  std::size_t trailing_bytes = 2U << 20U;
  /// Proposals are refused while this many entries wait for their commit.
  std::uint64_t maximum_uncommitted_entries = 16384;
  /// Voters of a complete group. A join that replaces nobody is refused when there are as many
  /// members.
  std::size_t maximum_members = 3;
  /// A voter that was not heard for this long gives its place to a joining member at another
  /// address that names nobody to replace. Zero: never.
  Duration replace_unresponsive_after{};
  /// Seeds the election timeouts. Differs from member to member.
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

/// One write, to be carried out after all earlier ones: first metadata, then the snapshot, then the
/// log.
struct RaftWrite {
  RaftWriteId id = 0;
  std::optional<proto::RaftMetadata> metadata;
  std::shared_ptr<const proto::RaftSnapshot> snapshot;
  /// Whether `entries` (after the base) are the whole log from now on. If not, they are added to
  /// it; an entry whose index is already there takes its place and removes all after it.
  bool replaces_log = false;
  std::uint64_t base_index = 0;
  std::uint64_t base_term = 0;
  std::vector<proto::RaftEntry> entries;
};

/// A request to another member. Its outcome comes back as a response or as `HandleCallFailed`.
struct RaftMessage {
  std::uint64_t member_id = 0;
  Endpoint endpoint;
  std::variant<proto::RequestVoteRequest, proto::AppendEntriesRequest,
               proto::InstallSnapshotRequest, proto::TimeoutNowRequest>
      request;
};

/// The answer to a request handed in under `token`.
struct RaftReply {
  RaftReplyToken token = 0;
  std::variant<proto::RequestVoteResponse, proto::AppendEntriesResponse,
               proto::InstallSnapshotResponse>
      response;
};

/// What the driver has to do after an input, in the order of the members. The core never asks for
/// anything that rests on a write before `HandlePersisted` has confirmed that write.
struct RaftEffects {
  std::vector<RaftWrite> writes;
  std::vector<RaftReply> replies;
  std::vector<RaftMessage> messages;
  /// State to restore before `committed` is applied.
  std::shared_ptr<const proto::RaftSnapshot> restore;
  /// Committed entries in order of their index, each given out once.
  std::vector<proto::RaftEntry> committed;
  /// Why something was refused or given up, for the metrics.
  std::vector<RaftRefusal> refusals;
  /// A broken invariant or damaged state: the member must stop.
  std::optional<Status> fatal;

  bool empty() const {
    return writes.empty() && replies.empty() && messages.empty() && !restore && committed.empty() &&
           refusals.empty() && !fatal;
  }
};

enum class RaftRole : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

}  // namespace cloverbank
