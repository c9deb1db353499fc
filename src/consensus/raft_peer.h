#pragma once
/// @file
/// What a leader knows of one other member.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "base/time.h"
#include "proto/consensus.pb.h"

namespace cloverbank {

struct RaftPeer {
  proto::RaftMember member;
  /// Highest index known to be synced at the member.
  std::uint64_t match_index = 0;
  /// First index to send next.
  std::uint64_t next_index = 1;
  /// Sequence number of the message with entries or snapshot bytes that is under way; 0 if none is.
  std::uint64_t in_flight = 0;
  TimePoint in_flight_since;
  /// The last call failed: only empty messages are sent until the member answers.
  bool probing = false;
  /// When each unanswered message was sent.
  std::map<std::uint64_t, TimePoint> sent_at;
  /// When this leader began to count it among the members.
  TimePoint member_since;
  /// When the latest answered message was sent: the member heard this leader then or later.
  std::optional<TimePoint> last_contact;
  /// The snapshot being sent, and how much of it the member has.
  std::shared_ptr<const proto::RaftSnapshot> snapshot;
  std::uint64_t snapshot_offset = 0;
};

}  // namespace cloverbank
