#pragma once
/// @file
/// What must still move off a store machine that is being retired before it may be stopped. Pure.

#include <cstddef>
#include <string>

#include "control_state/control_state.h"
#include "leader/backup_sweeper.h"

namespace cloverbank {

struct RemainingDrainWork {
  std::size_t partitions = 0;  ///< Owned or being replayed by the machine's queue nodes.
  std::size_t replicas = 0;    ///< Of segments, on the machine's backups.
  /// A log of the machine is being recovered, or a backup has not been swept since it retired.
  bool unknown = false;
  bool live = false;  ///< Any server of the machine is live.

  bool IsDone() const { return partitions == 0 && replicas == 0 && !unknown; }
};

RemainingDrainWork ComputeRemainingDrainWork(const ControlState& state,
                                             const BackupSweeper& sweeper,
                                             const std::string& machine);

}  // namespace cloverbank
