#pragma once
/// @file
/// A backup stores replicas of the log segments of queue nodes and serves the `backup.*` calls of
/// log.proto (RAMCloud page, BackupServer; docs/DESIGN.md section 5). `BackupService` connects
/// `SegmentStore`, which decides what each call changes, to the disk and to peers.
///
/// A call that changes a replica gets a successful reply only after the change is synced to disk.
///
/// Threads: call on the environment's event loop only. Destroy the service only after the loop has
/// stopped running callbacks.

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
  /// The scrubber reads and checks one closed or sealed replica per interval.
  Duration scrub_interval = seconds(2);
};

class BackupService {
 public:
  BackupService(Environment& environment, DataFolder& folder, const BackupOptions& options);
  BackupService(const BackupService&) = delete;
  BackupService& operator=(const BackupService&) = delete;

  /// Loads the disk id, the fences and the replicas from disk, then starts to serve calls. Must be
  /// called once, before any other member function.
  /// @return kCorrupt if no fence file can be read (this disk must then not serve any call), or the
  /// error of listing the segment folder.
  Status Load();
  /// @return the id of this disk. It stays the same over restarts; a disk that lost its data gets a
  /// new id.
  const std::string& disk_id() const { return disk_id_; }
  /// @return the disk space in bytes that new segments may take: the free space of the data folder
  /// minus `SegmentStoreOptions::spare_disk_bytes`, at least 0.
  std::uint64_t FreeBytes();

 private:
  /// Removes the file that an OpenSegment call left behind when the process ended before the call
  /// was complete.
  void RemoveUnfinished(const ReplicaKey& key);
  /// Registers the handlers of OpenSegment, CloseSegment and FreeSegment.
  void ServeLifecycleCalls();
  /// Registers the handlers of WriteSegment and SetSegmentEpoch.
  void ServeWriteCalls();
  /// Registers the handlers of ReadSegment and ListSegments.
  void ServeReadCalls();
  /// Registers the handlers of StartReadingData, GetRecoveryData and ReleaseRecoveryData.
  void ServeRecoveryCalls();
  Result<proto::ReadSegmentResponse> ReadSegment(const proto::ReadSegmentRequest& request);
  proto::ListSegmentsResponse ListSegments() const;
  /// Counts `status` in the metric of refused calls if it is an error.
  void CountOutcome(std::string_view method, const Status& status);
  /// Records the time from `start` until now as the duration of a call of `method`.
  void ObserveDuration(std::string_view method, TimePoint start);
  void UpdateGauges();

  template <typename Response>
  using Reply = std::function<void(Result<Response>)>;
  /// Registers a handler for `method` that queues an operation on the replica of the request.
  /// `decide` runs when the operation reaches the front of the replica's queue; `make_response`
  /// runs once the change is synced and applied.
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
