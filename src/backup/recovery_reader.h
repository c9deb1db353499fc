#pragma once
/// @file
/// Serves the recovery of a dead queue node (RAMCloud page, "Data Recovery"): fences it, seals and
/// checks its replicas, one in each turn of the event loop, returns the entries of partitions, and
/// removes the replicas when the recovery is over.
///
/// Threads: the owner's event loop only.

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

  /// Answers once the fence is synced, every earlier call of the node is complete, and all of its
  /// replicas are sealed and checked. Overlapping calls for one node share the work.
  void StartReadingData(NodeId node, Reply<proto::StartReadingDataResponse> reply);
  /// @return the entries of the asked partitions. kConflict before `StartReadingData`, kNotFound if
  /// no replica is offered, kCorrupt if the replica fails its check now.
  Result<proto::GetRecoveryDataResponse> GetRecoveryData(
      const proto::GetRecoveryDataRequest& request);
  /// Answers once the node's replicas are removed. Fences the node first, if it was not.
  void ReleaseRecoveryData(NodeId node, Reply<proto::ReleaseRecoveryDataResponse> reply);

 private:
  class Removal;
  /// The check of a dead node's replicas, one after the other.
  struct ReplicaCheck {
    NodeId node;
    std::vector<ReplicaKey> keys;
    std::size_t position = 0;  ///< Of the next one.
  };

  void FenceNode(NodeId node, DataFolder::Done done);
  void StartCheck(NodeId node);
  void ContinueCheck(const std::shared_ptr<ReplicaCheck>& check);
  /// @return whether `next` will run later; else the caller goes on.
  bool CheckReplica(const ReplicaKey& key, std::function<void()> next);
  void Seal(const ReplicaKey& key, const std::string& bytes, std::function<void()> next);
  void CompleteReading(NodeId node, const Result<proto::StartReadingDataResponse>& result);
  proto::StartReadingDataResponse ListOfferedSegments(NodeId node) const;
  void DropCorrupt(const ReplicaKey& key, const Status& reason);
  void RemoveAll(NodeId node, Reply<proto::ReleaseRecoveryDataResponse> reply);

  Environment& environment_;
  DataFolder& folder_;
  SegmentStore& store_;
  ReplicaOperations& operations_;
  FenceFile& fences_;
  std::map<NodeId, std::vector<Reply<proto::StartReadingDataResponse>>> pending_replies_;
};

}  // namespace cloverbank
