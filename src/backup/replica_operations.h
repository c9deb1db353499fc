#pragma once
/// @file
/// Carries out decided changes on disk. Calls on one replica run one at a time, in the order they
/// came; calls on different replicas run side by side, so that the data folder can sync them
/// together.
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
  /// Decides a call when its turn has come.
  using Decide = std::function<Result<ReplicaChange>()>;
  /// OK once the change is synced (and applied), else why the call is refused or failed.
  using Done = std::function<void(Status)>;

  ReplicaOperations(Environment& environment, DataFolder& folder, SegmentStore& store);

  void Submit(const ReplicaKey& key, Decide decide, Done done);
  /// Runs `action` (at once, if it can) when no call on a replica of `node` is waiting or under
  /// way.
  void WhenIdle(NodeId node, std::function<void()> action);

 private:
  struct Operation {
    Decide decide;
    Done done;
  };
  using Step = std::function<void(DataFolder::Done)>;
  /// A change being carried out.
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
  /// The front one is under way.
  std::map<ReplicaKey, std::deque<Operation>> queues_;
  std::vector<IdleAction> idle_actions_;
};

}  // namespace cloverbank
