#include "leader/recovery_manager.h"

#include <algorithm>
#include <utility>

#include "control_state/proto_endpoint.h"
#include "leader/partition_placement.h"

namespace cloverbank {
namespace {

std::size_t RemainingCalls(std::size_t limit, std::size_t in_flight) {
  return limit - std::min(limit, in_flight);
}

std::string Join(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) {
    text += (text.empty() ? "" : "; ") + part;
  }
  return text;
}

}  // namespace

std::vector<RecoveryAction> RecoveryManager::Step(const ControlState& state,
                                                  const RecoveryInput& input) {
  ForgetFinished(state);
  available_reading_calls_ =
      RemainingCalls(options_.maximum_reading_calls, CountInFlight(&Progress::reading_calls));
  available_release_calls_ =
      RemainingCalls(options_.maximum_release_calls, CountInFlight(&Progress::release_calls));
  std::vector<RecoveryAction> actions;
  for (const auto& [dead, recovery] : state.partitions().recoveries()) {
    AdvanceRecovery(state, recovery, input, &actions);
  }
  return actions;
}

void RecoveryManager::ForgetFinished(const ControlState& state) {
  const auto& recoveries = state.partitions().recoveries();
  std::erase_if(progress_,
                [&recoveries](const auto& entry) { return !recoveries.contains(entry.first); });
  std::erase_if(proposed_placements_, [&state](const auto& entry) {
    return state.partitions().FindUnassigned(entry.first).empty();
  });
}

void RecoveryManager::AdvanceRecovery(const ControlState& state, const proto::Recovery& recovery,
                                      const RecoveryInput& input,
                                      std::vector<RecoveryAction>* actions) {
  const NodeId dead(recovery.dead_node_id());
  Progress& progress = progress_[dead];
  if (recovery.phase() == proto::RECOVERY_PHASE_RELEASING) {
    RequestReleases(state, dead, input.now, &progress, actions);
    return;
  }
  RequestStoredSegments(state, dead, input.now, &progress, actions);
  UpdateAssembledLog(state, dead, &progress);
  if (!progress.log.complete()) {
    return;
  }
  if (input.may_assign) {
    ProposeReplay(state, dead, input, actions);
  }
  RequestReplays(state, recovery, input.now, &progress, actions);
}

std::size_t RecoveryManager::CountInFlight(BackupCalls Progress::*kind) const {
  std::size_t count = 0;
  for (const auto& [dead, progress] : progress_) {
    const BackupCalls& calls = progress.*kind;
    count += static_cast<std::size_t>(std::count_if(
        calls.begin(), calls.end(), [](const auto& entry) { return entry.second.in_flight; }));
  }
  return count;
}

bool RecoveryManager::TryStartCall(TimePoint now, BackupCall* call, std::size_t* available) const {
  if (call->in_flight || call->done || now < call->next_attempt || *available == 0) {
    return false;
  }
  --*available;
  call->in_flight = true;
  call->next_attempt = now + options_.retry_interval;
  return true;
}

void RecoveryManager::RequestStoredSegments(const ControlState& state, NodeId dead, TimePoint now,
                                            Progress* progress,
                                            std::vector<RecoveryAction>* actions) {
  // A restarted backup has a new node id and is asked again. What a dead backup answered no longer
  // counts.
  const auto is_dead = [&state](const auto& entry) {
    return state.servers().FindLive(entry.first, proto::ROLE_BACKUP) == nullptr;
  };
  if (std::erase_if(progress->stored_segments, is_dead) > 0) {
    progress->log_is_outdated = true;
  }
  for (const proto::Server* backup : state.servers().FindLiveServers(proto::ROLE_BACKUP)) {
    const NodeId id(backup->node_id());
    if (TryStartCall(now, &progress->reading_calls[id], &available_reading_calls_)) {
      actions->push_back(StartReadingAction{dead, id, ToEndpoint(backup->peer_endpoint())});
    }
  }
}

void RecoveryManager::UpdateAssembledLog(const ControlState& state, NodeId dead,
                                         Progress* progress) const {
  if (!progress->log_is_outdated) {
    return;
  }
  progress->log =
      AssembleLog(state.partitions().heads().at(dead), progress->stored_segments, state.servers());
  progress->log_is_outdated = false;
}

void RecoveryManager::ProposeReplay(const ControlState& state, NodeId dead,
                                    const RecoveryInput& input,
                                    std::vector<RecoveryAction>* actions) {
  const std::vector<PartitionId> unassigned = state.partitions().FindUnassigned(dead);
  ProposeReplayAction action;
  action.command.set_dead_node_id(dead.value());
  PlannedLoads loads;
  for (const auto& [node, partitions] :
       PlacePartitions(unassigned, state, input.unresponsive, SumOtherPlacements(dead))) {
    loads[node] = partitions.size();
    proto::RecoveryAssignment* assignment = action.command.add_assignments();
    assignment->set_queue_node_id(node.value());
    for (const PartitionId partition : partitions) {
      assignment->add_partition_ids(partition.value());
    }
  }
  if (action.command.assignments_size() > 0) {
    proposed_placements_[dead] = std::move(loads);
    actions->push_back(std::move(action));
  }
}

PlannedLoads RecoveryManager::SumOtherPlacements(NodeId dead) const {
  PlannedLoads planned;
  for (const auto& [other, loads] : proposed_placements_) {
    for (const auto& [node, count] : loads) {
      planned[node] += other == dead ? 0 : count;
    }
  }
  return planned;
}

void RecoveryManager::RequestReplays(const ControlState& state, const proto::Recovery& recovery,
                                     TimePoint now, Progress* progress,
                                     std::vector<RecoveryAction>* actions) const {
  for (auto& [node, request] : MakeReplayRequests(recovery)) {
    const proto::Server* server = state.servers().FindLive(node, proto::ROLE_QUEUE);
    if (server == nullptr || now < progress->next_replay[node]) {
      continue;
    }
    progress->next_replay[node] = now + options_.replay_interval;
    AddSegments(state, progress->log, &request);
    actions->push_back(
        RecoverPartitionsAction{ToEndpoint(server->peer_endpoint()), std::move(request)});
  }
}

std::map<NodeId, proto::RecoverPartitionsRequest> RecoveryManager::MakeReplayRequests(
    const proto::Recovery& recovery) {
  std::map<NodeId, proto::RecoverPartitionsRequest> requests;
  for (const proto::RecoveryAssignment& assignment : recovery.assignments()) {
    if (!assignment.done()) {
      proto::RecoverPartitionsRequest& request = requests[NodeId(assignment.queue_node_id())];
      request.set_dead_node_id(recovery.dead_node_id());
      request.set_queue_node_id(assignment.queue_node_id());
      request.mutable_partition_ids()->MergeFrom(assignment.partition_ids());
    }
  }
  return requests;
}

void RecoveryManager::AddSegments(const ControlState& state, const AssembledLog& log,
                                  proto::RecoverPartitionsRequest* request) {
  for (const AssembledSegment& segment : log.segments) {
    proto::RecoverySegment* entry = request->add_segments();
    entry->set_segment_id(segment.segment.value());
    for (const NodeId backup : segment.backups) {
      *entry->add_backups() = state.servers().Find(backup)->peer_endpoint();
    }
  }
}

void RecoveryManager::RequestReleases(const ControlState& state, NodeId dead, TimePoint now,
                                      Progress* progress, std::vector<RecoveryAction>* actions) {
  bool all_done = true;
  for (const proto::Server* backup : state.servers().FindLiveServers(proto::ROLE_BACKUP)) {
    const NodeId id(backup->node_id());
    BackupCall& call = progress->release_calls[id];
    all_done = all_done && call.done;
    if (TryStartCall(now, &call, &available_release_calls_)) {
      actions->push_back(ReleaseAction{dead, id, ToEndpoint(backup->peer_endpoint())});
    }
  }
  if (all_done) {
    actions->push_back(ProposeFinishAction{dead});
  }
}

void RecoveryManager::HandleReadingData(NodeId dead, NodeId backup,
                                        Result<proto::StartReadingDataResponse> answer) {
  const auto entry = progress_.find(dead);
  if (entry == progress_.end()) {
    return;
  }
  BackupCall& call = entry->second.reading_calls[backup];
  call.in_flight = false;
  if (!answer.ok()) {
    call.failure = answer.status().ToString();
    return;
  }
  call.done = true;
  entry->second.stored_segments[backup] = std::move(answer).value();
  entry->second.log_is_outdated = true;
}

void RecoveryManager::HandleReleased(NodeId dead, NodeId backup, const Status& status) {
  const auto entry = progress_.find(dead);
  if (entry == progress_.end()) {
    return;
  }
  BackupCall& call = entry->second.release_calls[backup];
  call.in_flight = false;
  call.done = call.done || status.ok();
  call.failure = status.ok() ? std::string() : status.ToString();
}

bool RecoveryManager::IsWaitingForQueueNodes(const ControlState& state) const {
  return std::any_of(progress_.begin(), progress_.end(), [&state](const auto& entry) {
    return entry.second.log.complete() && !entry.second.log_is_outdated &&
           !state.partitions().FindUnassigned(entry.first).empty();
  });
}

std::string RecoveryManager::DescribePendingWork(const ControlState& state, NodeId dead) const {
  const auto entry = progress_.find(dead);
  const auto recovery = state.partitions().recoveries().find(dead);
  if (entry == progress_.end() || recovery == state.partitions().recoveries().end()) {
    return {};
  }
  const Progress& progress = entry->second;
  std::vector<std::string> pending;
  if (recovery->second.phase() == proto::RECOVERY_PHASE_RELEASING) {
    DescribePendingBackupCalls(state, progress.release_calls, &pending);
  } else if (!progress.log.complete()) {
    pending = progress.log.missing;
    DescribePendingBackupCalls(state, progress.reading_calls, &pending);
  } else {
    DescribePendingReplays(state, recovery->second, &pending);
  }
  return Join(pending);
}

void RecoveryManager::DescribePendingBackupCalls(const ControlState& state,
                                                 const BackupCalls& calls,
                                                 std::vector<std::string>* pending) {
  for (const auto& [backup, call] : calls) {
    const proto::Server* server = state.servers().FindLive(backup, proto::ROLE_BACKUP);
    if (server != nullptr && !call.done) {
      pending->push_back("a response from the backup on " + server->machine() +
                         (call.failure.empty() ? "" : " (" + call.failure + ")"));
    }
  }
}

void RecoveryManager::DescribePendingReplays(const ControlState& state,
                                             const proto::Recovery& recovery,
                                             std::vector<std::string>* pending) {
  if (FindEligibleQueueNodes(state, {}).empty()) {
    pending->emplace_back("a queue node to replay the log");
  }
  for (const proto::RecoveryAssignment& assignment : recovery.assignments()) {
    if (!assignment.done()) {
      pending->push_back("node " + std::to_string(assignment.queue_node_id()) + " to replay " +
                         std::to_string(assignment.partition_ids_size()) + " partitions");
    }
  }
}

}  // namespace cloverbank
