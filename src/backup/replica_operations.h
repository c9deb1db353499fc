#pragma once
/// @file
/// Carries out changes of replicas on disk. Operations on one replica run one at a time, in the
/// order of the `Submit` calls; operations on different replicas run concurrently, so that the data
/// folder can sync them together.
///
/// Threads: call on the owner's event loop only; callbacks run there too. Must be destroyed only
/// after the loop has stopped running callbacks.

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
  /// Decides the change; runs when the operation reaches the front of its queue. An error refuses
  /// the operation.
  using Decide = std::function<Result<ReplicaChange>()>;
  /// Runs with OK once the change is synced and applied, otherwise with the reason why the
  /// operation was refused or failed.
  using Done = std::function<void(Status)>;

  ReplicaOperations(Environment& environment, DataFolder& folder, SegmentStore& store);

  /// Queues an operation on the replica of `key`; `done` runs exactly once, possibly before
  /// `Submit` returns.
  void Submit(const ReplicaKey& key, Decide decide, Done done);
  /// Runs `action` once no operation on a replica of `node` is queued or in progress; if there is
  /// none now, before `WhenIdle` returns.
  void WhenIdle(NodeId node, std::function<void()> action);

 private:
  struct Operation {
    Decide decide;
    Done done;
  };
  using Step = std::function<void(DataFolder::Done)>;
  /// A change that is being carried out, as the disk writes that remain.
  struct Execution {
    ReplicaKey key;
    ReplicaChange change;
    std::deque<Step> steps;
    Done done;
  };
  /// An action that waits until no operation on a replica of `node` is left.
  struct IdleAction {
    NodeId node;
    std::function<void()> action;
  };

  /// Decides the front operation of the queue of `key` and starts its disk writes.
  void StartNext(const ReplicaKey& key);
  /// @return the disk writes of `change`, in the order in which they must be synced.
  std::deque<Step> BuildSteps(const ReplicaKey& key, const ReplicaChange& change);
  Step WriteStep(const std::string& name, std::uint64_t offset, std::string bytes);
  Step WriteHeaderStep(const std::string& name, const ReplicaHeader& header);
  Step TruncateStep(const std::string& name, std::uint64_t size);
  void RunNextStep(const std::shared_ptr<Execution>& execution);
  /// Abandons the change and completes the operation with `status`; removes the file first if the
  /// change was creating it.
  void FailOperation(const std::shared_ptr<Execution>& execution, const Status& status);
  /// Removes the front operation of the queue of `key`, runs `done`, then starts the next
  /// operation.
  void CompleteOperation(const ReplicaKey& key, const Done& done, const Status& status);
  bool IsIdle(NodeId node) const;
  void RunIdleActions();

  Environment& environment_;
  DataFolder& folder_;
  SegmentStore& store_;
  /// Operations by replica; the front operation of each queue is in progress. Empty queues are
  /// erased.
  std::map<ReplicaKey, std::deque<Operation>> queues_;
  std::vector<IdleAction> idle_actions_;
};

}  // namespace cloverbank
