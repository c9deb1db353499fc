#pragma once
/// @file
/// What a leader knows about replication to one other member (Raft, section 5.3).

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "base/time.h"
#include "proto/consensus.pb.h"

namespace cloverbank {

struct RaftPeer {
  proto::RaftMember member;
  /// Highest index known to be synced at the member (matchIndex).
  std::uint64_t match_index = 0;
  /// Index of the next entry to send (nextIndex).
  std::uint64_t next_index = 1;
  /// Sequence number of the pending message with entries or snapshot data; 0 if none is.
  std::uint64_t in_flight_sequence = 0;
  TimePoint in_flight_since;
  /// Whether the last call failed. Then only empty messages are sent until the member answers.
  bool probing = false;
  /// When each unanswered message was sent, by sequence number.
  std::map<std::uint64_t, TimePoint> sent_at;
  /// When this leader first had the member in its configuration.
  TimePoint member_since;
  /// When the latest message that the member answered was sent: it heard this leader then or later.
  std::optional<TimePoint> last_contact;
  /// The snapshot being sent, and how many bytes of it the member has.
  std::shared_ptr<const proto::RaftSnapshot> snapshot;
  std::uint64_t snapshot_offset = 0;
};

}  // namespace cloverbank
