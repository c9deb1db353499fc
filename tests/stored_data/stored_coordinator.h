#pragma once
/// @file
/// The expected content of `tests/data/335d412/coordinator`, which release 335d412 wrote.

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
/// Index of the last entry in the snapshot.
inline constexpr std::uint64_t kSnapshotIndex = 8;
/// Index of the last entry in the log.
inline constexpr std::uint64_t kLastIndex = 12;
inline constexpr std::uint32_t kPartitions = 4;

/// @return the commands of the state machine in order of their log index, which starts at 1. The
/// snapshot covers those up to `kSnapshotIndex`; later ones are in the log. A command is empty
/// where the log has an entry of another type.
std::vector<std::string> Commands();

/// @return the group after a membership change that adds a learner to replace a voter.
proto::RaftConfiguration ChangedGroup();

/// @return the writes in the order in which a member's Raft core requests them.
std::vector<RaftWrite> CoordinatorWrites();

}  // namespace cloverbank::stored_data
