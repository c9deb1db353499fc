#pragma once
/// @file
/// Serves the recovery of a dead queue node (RAMCloud page, "Data Recovery"): fences the node,
/// seals and checks its replicas (one per turn of the event loop), returns the log entries of
/// requested partitions, and removes the replicas when the recovery is over.
///
/// Threads: call on the owner's event loop only; replies are sent from there too.

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "backup/fence_file.h"
#include "backup/replica_operations.h"
#include "backup/segment_store.h"
#include "proto/log.pb.h"
#include "runtime/environment.h"

namespace cloverbank {

class RecoveryReader {
 public:
  template <typename Response>
  using Reply = std::function<void(Result<Response>)>;

  RecoveryReader(Environment& environment, DataFolder& folder, SegmentStore& store,
                 ReplicaOperations& operations, FenceFile& fences);

  /// Fences `node`, then seals and checks its replicas. `reply` runs once, with the segments that
  /// this backup offers, when the fence is synced, every earlier call of the node is complete and
  /// all of its replicas are sealed and checked; or with the error of syncing the fence.
  /// Overlapping calls for one node share the work.
  void StartReadingData(NodeId node, Reply<proto::StartReadingDataResponse> reply);
  /// @return the entries of the requested partitions; kConflict if `StartReadingData` has not
  /// completed before, kNotFound if this backup offers no replica of the segment, kCorrupt if the
  /// replica fails the check made by this call.
  Result<proto::GetRecoveryDataResponse> GetRecoveryData(
      const proto::GetRecoveryDataRequest& request);
  /// Fences `node` unless it is fenced already, then removes its replicas. `reply` runs once: with
  /// OK when all of them are removed, otherwise with the first error.
  void ReleaseRecoveryData(NodeId node, Reply<proto::ReleaseRecoveryDataResponse> reply);

 private:
  class Removal;
  /// Progress of the check of a dead node's replicas, which are checked one after the other.
  struct ReplicaCheck {
    NodeId node;
    std::vector<ReplicaKey> keys;
    std::size_t position = 0;  ///< Index in `keys` of the next replica to check.
  };

  /// Refuses later calls of `node` from now on; `done` runs with OK once the fence is synced.
  void FenceNode(NodeId node, DataFolder::Done done);
  void StartCheck(NodeId node);
  /// Checks the remaining replicas until one of them needs an asynchronous step; replies after the
  /// last replica.
  void ContinueCheck(const std::shared_ptr<ReplicaCheck>& check);
  /// @return true if `next` runs later; false if there is nothing to wait for and the caller has to
  /// continue itself (`next` is not run).
  bool CheckReplica(const ReplicaKey& key, std::function<void()> next);
  /// Seals the open replica of `key`, which holds `bytes`, then runs `next`.
  void Seal(const ReplicaKey& key, const std::string& bytes, std::function<void()> next);
  /// Sends `result` to all pending StartReadingData calls for `node`.
  void CompleteReading(NodeId node, const Result<proto::StartReadingDataResponse>& result);
  proto::StartReadingDataResponse ListOfferedSegments(NodeId node) const;
  void DropCorrupt(const ReplicaKey& key, const Status& reason);
  void RemoveAll(NodeId node, Reply<proto::ReleaseRecoveryDataResponse> reply);

  Environment& environment_;
  DataFolder& folder_;
  SegmentStore& store_;
  ReplicaOperations& operations_;
  FenceFile& fences_;
  /// Replies of the StartReadingData calls in progress, by dead node.
  std::map<NodeId, std::vector<Reply<proto::StartReadingDataResponse>>> pending_replies_;
};

}  // namespace cloverbank
