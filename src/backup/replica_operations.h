#pragma once
/// @file
/// Carries out decided changes of replicas on disk. Operations on one replica run one at a time, in
/// the order of `Submit`; those on different replicas run concurrently, so that the data folder can
/// sync them together.
///
/// Threads: the owner's event loop only. The owner destroys it after the loop stopped calling back.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "backup/segment_store.h"
#include "runtime/environment.h"
#include "storage/data_folder.h"

namespace cloverbank {

class ReplicaOperations {
 public:
  /// Decides the change when the operation reaches the front of its queue.
  using Decide = std::function<Result<ReplicaChange>()>;
  /// OK once the change is synced and applied, else why it was refused or failed.
  using Done = std::function<void(Status)>;

  ReplicaOperations(Environment& environment, DataFolder& folder, SegmentStore& store);

  /// Queues an operation on the replica of `key`; `done` runs once.
  void Submit(const ReplicaKey& key, Decide decide, Done done);
  /// Runs `action` once no operation on a replica of `node` is queued or under way; at once if so
  /// now.
  void WhenIdle(NodeId node, std::function<void()> action);

 private:
  struct Operation {
    Decide decide;
    Done done;
  };
  using Step = std::function<void(DataFolder::Done)>;
  /// A change that is being carried out.
  struct Execution {
    ReplicaKey key;
    ReplicaChange change;
    std::deque<Step> steps;
    Done done;
  };
  /// Waits until no operation on a replica of `node` is left.
  struct IdleAction {
    NodeId node;
    std::function<void()> action;
  };

  void StartNext(const ReplicaKey& key);
  std::deque<Step> BuildSteps(const ReplicaKey& key, const ReplicaChange& change);
  Step WriteStep(const std::string& name, std::uint64_t offset, std::string bytes);
  Step WriteHeaderStep(const std::string& name, const ReplicaHeader& header);
  Step TruncateStep(const std::string& name, std::uint64_t size);
  void RunNextStep(const std::shared_ptr<Execution>& execution);
  void FailOperation(const std::shared_ptr<Execution>& execution, const Status& status);
  void CompleteOperation(const ReplicaKey& key, const Done& done, const Status& status);
  bool IsIdle(NodeId node) const;
  void RunIdleActions();

  Environment& environment_;
  DataFolder& folder_;
  SegmentStore& store_;
  /// The front operation of each queue is under way.
  std::map<ReplicaKey, std::deque<Operation>> queues_;
  std::vector<IdleAction> idle_actions_;
};

}  // namespace cloverbank
