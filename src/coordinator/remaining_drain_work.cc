#include "coordinator/remaining_drain_work.h"

#include <optional>

namespace cloverbank {

RemainingDrainWork ComputeRemainingDrainWork(const ControlState& state,
                                             const BackupSweeper& sweeper,
                                             const std::string& machine) {
  RemainingDrainWork work;
  for (const auto& [id, server] : state.servers().servers()) {
    if (server.machine() != machine) {
      continue;
    }
    work.unknown = work.unknown || state.partitions().recoveries().contains(id);
    if (!IsLive(server)) {
      continue;
    }
    work.live = true;
    work.partitions += state.partitions().CountAssigned(id);
    if (server.role() == proto::ROLE_BACKUP) {
      const bool retiring = server.state() == proto::SERVER_STATE_RETIRING;
      const std::optional<std::size_t> replicas =
          retiring ? sweeper.FindReplicaCountOfRetiring(id) : sweeper.FindReplicaCount(id);
      work.unknown = work.unknown || !replicas.has_value();
      work.replicas += replicas.value_or(0);
    }
  }
  return work;
}

}  // namespace cloverbank
