#include "leader/backup_sweep_executor.h"

#include "base/logging.h"
#include "control_state/proto_endpoint.h"
#include "runtime/typed_peer.h"

namespace cloverbank {

void BackupSweepExecutor::Step() {
  for (const NodeId backup : sweeper_.StartDueSweeps(context_.state, context_.environment.Now())) {
    RequestReplicaList(backup);
  }
}

void BackupSweepExecutor::RequestReplicaList(NodeId backup) {
  const Endpoint endpoint = ToEndpoint(context_.state.servers().Find(backup)->peer_endpoint());
  CallPeer<proto::ListSegmentsResponse>(
      context_.environment, endpoint, "backup.ListSegments", proto::ListSegmentsRequest(),
      context_.options.call_deadline,
      [this, backup, endpoint, alive = std::weak_ptr<bool>(context_.alive)](
          const Result<proto::ListSegmentsResponse>& replicas) {
        if (!alive.expired()) {
          HandleReplicaList(backup, endpoint, replicas);
        }
      });
}

void BackupSweepExecutor::HandleReplicaList(NodeId backup, const Endpoint& endpoint,
                                            const Result<proto::ListSegmentsResponse>& replicas) {
  if (!replicas.ok()) {
    sweeper_.HandleFailure(backup);
    return;
  }
  sweeper_.HandleReplicaList(backup, *replicas);
  if (!context_.CanAnswerRequests()) {
    return;
  }
  for (const NodeId owner : FindLeftoverOwners(*replicas, context_.state)) {
    ReleaseLeftovers(owner, backup, endpoint);
  }
}

void BackupSweepExecutor::ReleaseLeftovers(NodeId owner, NodeId backup, const Endpoint& endpoint) {
  Log(LogLevel::kInfo, "leftover_segments_released",
      {{"owner", owner.value()}, {"backup", backup.value()}});
  proto::ReleaseRecoveryDataRequest request;
  request.set_dead_node_id(owner.value());
  CallPeer<proto::ReleaseRecoveryDataResponse>(
      context_.environment, endpoint, "backup.ReleaseRecoveryData", request,
      context_.options.call_deadline,
      [](const Result<proto::ReleaseRecoveryDataResponse>&) {});  // The next sweep retries.
}

}  // namespace cloverbank
