#include "backup/backup_service.h"

#include <memory>
#include <utility>

#include "backup/corrupt_replica.h"
#include "backup/disk_id.h"
#include "backup/replica_reader.h"
#include "backup/segment_loader.h"
#include "base/logging.h"
#include "runtime/typed_peer.h"

namespace cloverbank {
BackupService::BackupService(Environment& environment, DataFolder& folder,
                             const BackupOptions& options)
    : environment_(environment),
      folder_(folder),
      options_(options),
      store_(options.store),
      fences_(folder),
      operations_(environment, folder, store_),
      recovery_(environment, folder, store_, operations_, fences_),
      scrubber_(environment, folder, store_, options.scrub_interval) {}

Status BackupService::Load() {
  disk_id_ = LoadOrCreateDiskId(environment_, folder_);
  const Result<std::set<NodeId>> fenced = fences_.Load();
  if (!fenced.ok()) {
    return fenced.status();
  }
  for (const NodeId node : *fenced) {
    store_.Fence(node);
  }
  const Result<std::vector<ReplicaKey>> unfinished = LoadSegments(environment_, folder_, store_);
  if (!unfinished.ok()) {
    return unfinished.status();
  }
  for (const ReplicaKey& key : *unfinished) {
    RemoveUnfinished(key);
  }
  Log(LogLevel::kInfo, "backup_loaded",
      {{"disk_id", disk_id_}, {"replicas", store_.replicas().size()}, {"fenced", fenced->size()}});
  UpdateGauges();
  ServeLifecycleCalls();
  ServeWriteCalls();
  ServeReadCalls();
  ServeRecoveryCalls();
  scrubber_.Start();
  return Status::Ok();
}

void BackupService::RemoveUnfinished(const ReplicaKey& key) {
  const auto remove = []() -> Result<ReplicaChange> {
    ReplicaChange change;
    change.remove = true;
    return change;
  };
  operations_.Submit(key, remove,
                     [](const Status&) { /* Failures are logged; the file holds no data. */ });
}

std::uint64_t BackupService::FreeBytes() {
  const std::uint64_t free = folder_.FreeBytes();
  const std::uint64_t spare = options_.store.spare_disk_bytes;
  return free > spare ? free - spare : 0;
}

template <typename Request, typename Response>
void BackupService::ServeChange(std::string_view method,
                                std::function<Result<ReplicaChange>(const Request&)> decide,
                                std::function<Response(const Request&)> make_response) {
  ServePeer<Request, Response>(
      environment_, method,
      [this, method, decide = std::move(decide), make_response = std::move(make_response)](
          const Request& request, const std::string&, Reply<Response> reply) {
        const auto shared_request = std::make_shared<const Request>(request);
        const auto complete = [this, method, make_response, shared_request,
                               start = environment_.Now(),
                               reply = std::move(reply)](const Status& status) {
          CountOutcome(method, status);
          if (!status.ok()) {
            reply(status);
            return;
          }
          ObserveDuration(method, start);
          reply(make_response(*shared_request));
        };
        operations_.Submit(
            ReplicaKeyFor(request), [decide, shared_request] { return decide(*shared_request); },
            complete);
      });
}

void BackupService::ServeLifecycleCalls() {
  ServeChange<proto::OpenSegmentRequest, proto::OpenSegmentResponse>(
      "backup.OpenSegment",
      [this](const proto::OpenSegmentRequest& request) {
        return store_.Open(request, folder_.FreeBytes(), environment_.Now());
      },
      [this](const proto::OpenSegmentRequest&) {
        UpdateGauges();
        return proto::OpenSegmentResponse();
      });
  ServeChange<proto::CloseSegmentRequest, proto::CloseSegmentResponse>(
      "backup.CloseSegment",
      [this](const proto::CloseSegmentRequest& request) { return store_.Close(request); },
      [this](const proto::CloseSegmentRequest&) {
        UpdateGauges();
        return proto::CloseSegmentResponse();
      });
  ServeChange<proto::FreeSegmentRequest, proto::FreeSegmentResponse>(
      "backup.FreeSegment",
      [this](const proto::FreeSegmentRequest& request) { return store_.Free(request); },
      [this](const proto::FreeSegmentRequest&) {
        UpdateGauges();
        return proto::FreeSegmentResponse();
      });
}

void BackupService::ServeWriteCalls() {
  ServeChange<proto::WriteSegmentRequest, proto::WriteSegmentResponse>(
      "backup.WriteSegment",
      [this](const proto::WriteSegmentRequest& request) { return store_.Write(request); },
      [this](const proto::WriteSegmentRequest& request) {
        environment_.metrics().Increment("backup_written_bytes_total", {},
                                         static_cast<double>(request.data().size()));
        proto::WriteSegmentResponse response;
        response.set_length(store_.Find(ReplicaKeyFor(request))->length);
        return response;
      });
  ServeChange<proto::SetSegmentEpochRequest, proto::SetSegmentEpochResponse>(
      "backup.SetSegmentEpoch",
      [this](const proto::SetSegmentEpochRequest& request) { return store_.SetEpoch(request); },
      [](const proto::SetSegmentEpochRequest&) { return proto::SetSegmentEpochResponse(); });
}

void BackupService::ServeReadCalls() {
  ServePeer<proto::ReadSegmentRequest, proto::ReadSegmentResponse>(
      environment_, "backup.ReadSegment",
      [this](const proto::ReadSegmentRequest& request, const std::string&,
             const Reply<proto::ReadSegmentResponse>& reply) {
        const Result<proto::ReadSegmentResponse> response = ReadSegment(request);
        CountOutcome("backup.ReadSegment", response.status());
        reply(response);
      });
  ServePeer<proto::ListSegmentsRequest, proto::ListSegmentsResponse>(
      environment_, "backup.ListSegments",
      [this](const proto::ListSegmentsRequest&, const std::string&,
             const Reply<proto::ListSegmentsResponse>& reply) { reply(ListSegments()); });
}

void BackupService::ServeRecoveryCalls() {
  ServePeer<proto::StartReadingDataRequest, proto::StartReadingDataResponse>(
      environment_, "backup.StartReadingData",
      [this](const proto::StartReadingDataRequest& request, const std::string&,
             Reply<proto::StartReadingDataResponse> reply) {
        recovery_.StartReadingData(NodeId(request.dead_node_id()), std::move(reply));
      });
  ServePeer<proto::GetRecoveryDataRequest, proto::GetRecoveryDataResponse>(
      environment_, "backup.GetRecoveryData",
      [this](const proto::GetRecoveryDataRequest& request, const std::string&,
             const Reply<proto::GetRecoveryDataResponse>& reply) {
        const Result<proto::GetRecoveryDataResponse> response = recovery_.GetRecoveryData(request);
        CountOutcome("backup.GetRecoveryData", response.status());
        reply(response);
      });
  ServePeer<proto::ReleaseRecoveryDataRequest, proto::ReleaseRecoveryDataResponse>(
      environment_, "backup.ReleaseRecoveryData",
      [this](const proto::ReleaseRecoveryDataRequest& request, const std::string&,
             Reply<proto::ReleaseRecoveryDataResponse> reply) {
        recovery_.ReleaseRecoveryData(NodeId(request.dead_node_id()), std::move(reply));
      });
}

Result<proto::ReadSegmentResponse> BackupService::ReadSegment(
    const proto::ReadSegmentRequest& request) {
  const ReplicaKey key = ReplicaKeyFor(request);
  const Replica* replica = store_.Find(key);
  if (replica == nullptr) {
    return Status(StatusCode::kNotFound, "no replica of segment " + key.segment.ToString() +
                                             " of node " + key.node.ToString());
  }
  if (replica->corrupt) {
    return Status(StatusCode::kCorrupt, "this replica failed a check and is marked corrupt");
  }
  if (replica->header.state == ReplicaState::kReplacing) {
    return Status(StatusCode::kConflict, "replacement of this replica is not complete");
  }
  Result<std::string> bytes = ReadReplica(folder_, *replica);
  if (!bytes.ok()) {
    DropCorruptReplica(environment_, store_, key, CorruptionFoundBy::kRead, bytes.status());
    return bytes.status();
  }
  proto::ReadSegmentResponse response;
  response.set_data(*std::move(bytes));
  response.set_epoch(replica->header.epoch.value());
  response.set_closed(replica->header.state == ReplicaState::kClosed);
  return response;
}

proto::ListSegmentsResponse BackupService::ListSegments() const {
  proto::ListSegmentsResponse response;
  for (const auto& [key, replica] : store_.replicas()) {
    if (!replica.corrupt) {
      proto::SegmentReplicaKey* entry = response.add_replicas();
      entry->set_node_id(key.node.value());
      entry->set_segment_id(key.segment.value());
    }
  }
  return response;
}

void BackupService::CountOutcome(std::string_view method, const Status& status) {
  if (!status.ok()) {
    environment_.metrics().Increment(
        "backup_refusals_total", {{"method", method}, {"reason", StatusCodeName(status.code())}});
  }
}

void BackupService::ObserveDuration(std::string_view method, TimePoint start) {
  const std::chrono::duration<double> elapsed = environment_.Now() - start;
  environment_.metrics().ObserveSeconds("backup_call_seconds", elapsed.count(),
                                        {{"method", method}});
}

void BackupService::UpdateGauges() {
  Metrics& metrics = environment_.metrics();
  metrics.SetGauge("backup_replicas", static_cast<double>(store_.replicas().size()));
  metrics.SetGauge("backup_staging_bytes", static_cast<double>(store_.staging_bytes()));
  metrics.SetGauge("backup_free_bytes", static_cast<double>(FreeBytes()));
}

}  // namespace cloverbank
