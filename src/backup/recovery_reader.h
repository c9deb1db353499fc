#pragma once
/// @file
/// Serves the recovery of dead queue nodes (RAMCloud page, "Data Recovery"): fences them, seals and
/// checks their replicas one per turn of the event loop, filters entries by partition, and lets go
/// of everything once the recovery is over.
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

  /// Answers once the fence is synced, every earlier call of the node is over, and all of its
  /// replicas are sealed and checked. Calls for one node that overlap share the work.
  void StartReadingData(NodeId node, Reply<proto::StartReadingDataResponse> reply);
  /// Refuses kConflict before `StartReadingData`, kNotFound if nothing is offered, kCorrupt if the
  /// replica fails its check now.
  Result<proto::GetRecoveryDataResponse> GetRecoveryData(
      const proto::GetRecoveryDataRequest& request);
  /// Answers when the node's replicas are removed. Fences the node too, if it was not.
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
  /// @return whether the check goes on later by itself.
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
  std::map<NodeId, std::vector<Reply<proto::StartReadingDataResponse>>> reading_;
};

}  // namespace cloverbank
