#pragma once
/// @file
/// A backup: keeps replicas of queue nodes' segments and serves the `backup.*` calls of log.proto
/// (RAMCloud page, BackupServer; docs/DESIGN.md section 5). Connects `SegmentStore`, which decides,
/// to the disk and to peers.
///
/// A call that changes a replica is answered with success only when the change is synced.
///
/// Threads: the environment's event loop only. Destroy it after the loop stopped calling back.

#include <cstdint>
#include <string>
#include <string_view>

#include "backup/fence_file.h"
#include "backup/recovery_reader.h"
#include "backup/replica_operations.h"
#include "backup/scrubber.h"
#include "backup/segment_store.h"
#include "runtime/environment.h"
#include "storage/data_folder.h"

namespace cloverbank {

struct BackupOptions {
  SegmentStoreOptions store;
  /// One closed replica is read and checked in each interval.
  Duration scrub_interval = seconds(2);
};

class BackupService {
 public:
  BackupService(Environment& environment, DataFolder& folder, const BackupOptions& options);
  BackupService(const BackupService&) = delete;
  BackupService& operator=(const BackupService&) = delete;

  /// Reads the disk, then starts to serve. Call it once, first. kCorrupt if the fences can not be
  /// read: then nothing may be served from this disk.
  Status Load();
  /// Identifies this disk over restarts; a lost disk comes back with another id.
  const std::string& disk_id() const { return disk_id_; }
  /// @return the bytes of disk that new segments may take.
  std::uint64_t FreeBytes();

 private:
  /// Removes the file that an unfinished open left.
  void RemoveUnfinished(const ReplicaKey& key);
  /// OpenSegment, CloseSegment and FreeSegment.
  void ServeLifecycleCalls();
  /// WriteSegment and SetSegmentEpoch.
  void ServeWriteCalls();
  void ServeReadCalls();
  void ServeRecoveryCalls();
  Result<proto::ReadSegmentResponse> ReadSegment(const proto::ReadSegmentRequest& request);
  proto::ListSegmentsResponse ListSegments() const;
  void CountOutcome(std::string_view method, const Status& status);
  void ObserveDuration(std::string_view method, TimePoint start);
  void UpdateGauges();

  template <typename Response>
  using Reply = std::function<void(Result<Response>)>;
  template <typename Request, typename Response>
  void ServeChange(std::string_view method,
                   std::function<Result<ReplicaChange>(const Request&)> decide,
                   std::function<Response(const Request&)> make_response);

  Environment& environment_;
  DataFolder& folder_;
  BackupOptions options_;
  SegmentStore store_;
  FenceFile fences_;
  ReplicaOperations operations_;
  RecoveryReader recovery_;
  Scrubber scrubber_;
  std::string disk_id_;
};

}  // namespace cloverbank
