#pragma once
/// @file
/// Computes what must still be moved off a store machine that is being retired before the machine
/// may be stopped. Pure.

#include <cstddef>
#include <string>

#include "control_state/control_state.h"
#include "leader/backup_sweeper.h"

namespace cloverbank {

struct RemainingDrainWork {
  std::size_t partitions = 0;  ///< Partitions owned or being replayed by its queue nodes.
  std::size_t replicas = 0;    ///< Segment replicas on its backups.
  /// More may remain: a log of the machine is being recovered, or a backup of it has not been
  /// swept since the retirement began.
  bool unknown = false;
  bool live = false;  ///< Whether any server of the machine is live.

  bool IsDone() const { return partitions == 0 && replicas == 0 && !unknown; }
};

RemainingDrainWork ComputeRemainingDrainWork(const ControlState& state,
                                             const BackupSweeper& sweeper,
                                             const std::string& machine);

}  // namespace cloverbank
