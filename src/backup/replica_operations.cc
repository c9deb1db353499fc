#include "backup/replica_operations.h"

#include <utility>

#include "base/logging.h"

namespace cloverbank {

ReplicaOperations::ReplicaOperations(Environment& environment, DataFolder& folder,
                                     SegmentStore& store)
    : environment_(environment), folder_(folder), store_(store) {}

void ReplicaOperations::Submit(const ReplicaKey& key, Decide decide, Done done) {
  std::deque<Operation>& queue = queues_[key];
  queue.push_back({std::move(decide), std::move(done)});
  if (queue.size() == 1) {
    StartNext(key);
  }
}

void ReplicaOperations::WhenIdle(NodeId node, std::function<void()> action) {
  idle_actions_.push_back({node, std::move(action)});
  RunIdleActions();
}

void ReplicaOperations::StartNext(const ReplicaKey& key) {
  const Operation& operation = queues_.at(key).front();
  Result<ReplicaChange> change = operation.decide();
  if (!change.ok()) {
    CompleteOperation(key, operation.done, change.status());
    return;
  }
  auto execution = std::make_shared<Execution>();
  execution->key = key;
  execution->change = *std::move(change);
  execution->steps = BuildSteps(key, execution->change);
  execution->done = operation.done;
  RunNextStep(execution);
}

ReplicaOperations::Step ReplicaOperations::WriteStep(const std::string& name, std::uint64_t offset,
                                                     std::string bytes) {
  return [this, name, offset, bytes = std::move(bytes)](DataFolder::Done done) mutable {
    folder_.WriteAt(name, offset, std::move(bytes), std::move(done));
  };
}

ReplicaOperations::Step ReplicaOperations::WriteHeaderStep(const std::string& name,
                                                           const ReplicaHeader& header) {
  return WriteStep(name, HeaderSlotOffset(header.generation), EncodeReplicaHeader(header));
}

ReplicaOperations::Step ReplicaOperations::TruncateStep(const std::string& name,
                                                        std::uint64_t size) {
  return [this, name, size](DataFolder::Done done) {
    // Truncation only releases disk space; the header records where the segment ends. A failure is
    // therefore logged but does not fail the operation.
    folder_.Truncate(name, size, [name, done = std::move(done)](const Status& status) {
      if (!status.ok()) {
        Log(LogLevel::kWarning, "segment_truncate_failed",
            {{"file", name}, {"reason", status.ToString()}});
      }
      done(Status::Ok());
    });
  };
}

std::deque<ReplicaOperations::Step> ReplicaOperations::BuildSteps(const ReplicaKey& key,
                                                                  const ReplicaChange& change) {
  const std::string name = SegmentFileName(key);
  std::deque<Step> steps;
  if (change.remove) {
    steps.push_back([this, name](DataFolder::Done done) { folder_.Remove(name, std::move(done)); });
  }
  if (change.create) {
    const std::uint64_t size = kSegmentDataOffset + change.header->capacity;
    steps.push_back([this, name, size](DataFolder::Done done) {
      folder_.Reserve(name, size, std::move(done));
    });
    steps.push_back(WriteStep(name, 0, EncodeFirstHeader(*change.header)));
  }
  if (change.header_before) {
    steps.push_back(WriteHeaderStep(name, *change.header_before));
  }
  if (!change.data.empty()) {
    const std::uint64_t length = store_.Find(key)->length;
    steps.push_back(WriteStep(name, kSegmentDataOffset + length, change.data));
  }
  if (change.header && !change.create) {
    steps.push_back(WriteHeaderStep(name, *change.header));
  }
  if (change.truncate) {
    steps.push_back(TruncateStep(name, kSegmentDataOffset + change.header->length));
  }
  return steps;
}

void ReplicaOperations::RunNextStep(const std::shared_ptr<Execution>& execution) {
  if (execution->steps.empty()) {
    store_.Apply(execution->key, execution->change, environment_.Now());
    CompleteOperation(execution->key, execution->done, Status::Ok());
    return;
  }
  const Step step = std::move(execution->steps.front());
  execution->steps.pop_front();
  step([this, execution](const Status& status) {
    if (status.ok()) {
      RunNextStep(execution);
    } else {
      FailOperation(execution, status);
    }
  });
}

void ReplicaOperations::FailOperation(const std::shared_ptr<Execution>& execution,
                                      const Status& status) {
  store_.Abandon(execution->key, execution->change);
  environment_.metrics().Increment("backup_disk_failures_total",
                                   {{"reason", StatusCodeName(status.code())}});
  const std::string name = SegmentFileName(execution->key);
  Log(LogLevel::kError, "segment_write_failed", {{"file", name}, {"reason", status.ToString()}});
  if (!execution->change.create) {
    CompleteOperation(execution->key, execution->done, status);
    return;
  }
  // Nothing in the new file was acknowledged. Remove it, to release its space before the next
  // operation on this replica.
  folder_.Remove(name, [this, execution, status](const Status& removed) {
    if (!removed.ok()) {
      Log(LogLevel::kWarning, "segment_remove_failed",
          {{"file", SegmentFileName(execution->key)}, {"reason", removed.ToString()}});
    }
    CompleteOperation(execution->key, execution->done, status);
  });
}

void ReplicaOperations::CompleteOperation(const ReplicaKey& key, const Done& done,
                                          const Status& status) {
  // A copy, because `done` may be a member of the operation that pop_front() destroys.
  const Done done_copy = done;
  std::deque<Operation>& queue = queues_.at(key);
  queue.pop_front();
  const bool has_more = !queue.empty();
  if (!has_more) {
    queues_.erase(key);
  }
  done_copy(status);
  if (has_more) {
    StartNext(key);
  } else {
    RunIdleActions();
  }
}

bool ReplicaOperations::IsIdle(NodeId node) const {
  const auto next = queues_.lower_bound({node, SegmentId()});
  return next == queues_.end() || next->first.node != node;
}

void ReplicaOperations::RunIdleActions() {
  std::vector<IdleAction> waiting;
  std::vector<std::function<void()>> ready;
  for (IdleAction& idle : idle_actions_) {
    if (IsIdle(idle.node)) {
      ready.push_back(std::move(idle.action));
    } else {
      waiting.push_back(std::move(idle));
    }
  }
  idle_actions_ = std::move(waiting);
  for (const auto& action : ready) {
    action();
  }
}

}  // namespace cloverbank
