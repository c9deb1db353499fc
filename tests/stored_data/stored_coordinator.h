#pragma once
/// @file
/// The content of the stored coordinator data: what release 335d412 was told to write into
/// `tests/data/335d412/coordinator`.

#include <memory>
#include <vector>

#include "consensus/raft_types.h"
#include "control_state/control_state.h"

namespace cloverbank::stored_data {

inline constexpr std::uint64_t kMember = 11;
inline constexpr std::uint64_t kReplacedMember = 13;
inline constexpr std::uint64_t kNewMember = 14;
inline constexpr std::uint64_t kClusterId = 7;
inline constexpr std::uint64_t kTerm = 3;
/// The last entry that the snapshot holds.
inline constexpr std::uint64_t kSnapshotIndex = 8;
/// The last entry of the log.
inline constexpr std::uint64_t kLastIndex = 12;
inline constexpr std::uint32_t kPartitions = 4;

/// @return commands of the state machine by index from 1: those up to `kSnapshotIndex` are in the
/// snapshot, later ones in the log. An empty one stands where the log holds another kind of entry.
std::vector<std::string> Commands();

/// @return the group after a membership change that replaces one voter by a learner.
proto::RaftConfiguration ChangedGroup();

/// @return the writes in order, as a member's core asks for them.
std::vector<RaftWrite> CoordinatorWrites();

}  // namespace cloverbank::stored_data
