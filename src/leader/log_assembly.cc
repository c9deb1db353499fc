#include "leader/log_assembly.h"

#include <algorithm>
#include <functional>
#include <set>

namespace cloverbank {
namespace {

struct SegmentReplica {
  NodeId backup;
  const proto::StoredSegment* stored = nullptr;
};

using ReplicaFilter = std::function<bool(const SegmentReplica&)>;

/// @return the usable replicas of `segment` of the greatest length among them.
std::vector<SegmentReplica> LongestReplicas(SegmentId segment, const StoredSegments& answers,
                                            const ReplicaFilter& usable) {
  std::vector<SegmentReplica> longest;
  for (const auto& [backup, answer] : answers) {
    for (const proto::StoredSegment& stored : answer.segments()) {
      const SegmentReplica replica{backup, &stored};
      if (SegmentId(stored.segment_id()) != segment || !usable(replica)) {
        continue;
      }
      if (!longest.empty() && stored.length() > longest.front().stored->length()) {
        longest.clear();
      }
      if (longest.empty() || stored.length() == longest.front().stored->length()) {
        longest.push_back(replica);
      }
    }
  }
  return longest;
}

/// @return whether the replica contains everything acknowledged while `head` was committed.
bool IsCurrent(const proto::LogHead& head, const SegmentReplica& replica,
               const ServerRegistry& servers) {
  if (replica.stored->epoch() != head.epoch()) {
    return replica.stored->epoch() > head.epoch();
  }
  return std::any_of(head.backups().begin(), head.backups().end(), [&](std::uint64_t backup) {
    return servers.HaveSameDisk(NodeId(backup), replica.backup);
  });
}

/// @return "store-1 (node 4, dead)" for each backup of the head.
std::string DescribeBackups(const proto::LogHead& head, const ServerRegistry& servers) {
  std::string text;
  for (const std::uint64_t id : head.backups()) {
    const proto::Server* server = servers.Find(NodeId(id));
    text += text.empty() ? "" : ", ";
    text += server == nullptr ? "unknown machine" : server->machine();
    text += " (node " + std::to_string(id);
    text += server != nullptr && IsLive(*server) ? ")" : ", gone)";
  }
  return text;
}

class Assembly {
 public:
  Assembly(const LogHeads& heads, const StoredSegments& answers, const ServerRegistry& servers)
      : heads_(heads), answers_(answers), servers_(servers) {}

  AssembledLog Run();

 private:
  std::vector<SegmentReplica> HeadReplicas() const;
  std::vector<SegmentReplica> ClosedReplicas(SegmentId segment) const;
  /// @return the segments in the digest of `head`, which includes the head itself.
  static std::set<SegmentId> LiveSegments(const proto::StoredSegment& head);
  void AddMissingHead();
  void AddClosed(SegmentId segment);
  void Add(SegmentId segment, const std::vector<SegmentReplica>& replicas);

  const LogHeads& heads_;
  const StoredSegments& answers_;
  const ServerRegistry& servers_;
  AssembledLog log_;
};

AssembledLog Assembly::Run() {
  const SegmentId head(heads_.current.segment_id());
  const std::vector<SegmentReplica> head_replicas = HeadReplicas();
  if (head_replicas.empty()) {
    AddMissingHead();
    return std::move(log_);
  }
  std::set<SegmentId> live = LiveSegments(*head_replicas.front().stored);
  live.erase(head);
  for (const SegmentId segment : live) {
    AddClosed(segment);
  }
  Add(head, head_replicas);
  return std::move(log_);
}

std::set<SegmentId> Assembly::LiveSegments(const proto::StoredSegment& head) {
  std::set<SegmentId> live;
  for (const std::uint64_t id : head.digest()) {
    live.insert(SegmentId(id));
  }
  return live;
}

void Assembly::AddMissingHead() {
  log_.missing.push_back("head segment " + std::to_string(heads_.current.segment_id()) +
                         " under epoch " + std::to_string(heads_.current.epoch()) + ", kept by " +
                         DescribeBackups(heads_.current, servers_));
}

void Assembly::AddClosed(SegmentId segment) {
  const std::vector<SegmentReplica> replicas = ClosedReplicas(segment);
  if (replicas.empty()) {
    log_.missing.push_back("segment " + segment.ToString() +
                           ", of which no backup that answered has a whole copy");
  } else {
    Add(segment, replicas);
  }
}

std::vector<SegmentReplica> Assembly::HeadReplicas() const {
  return LongestReplicas(
      SegmentId(heads_.current.segment_id()), answers_, [this](const SegmentReplica& replica) {
        return !replica.stored->digest().empty() && IsCurrent(heads_.current, replica, servers_);
      });
}

std::vector<SegmentReplica> Assembly::ClosedReplicas(SegmentId segment) const {
  std::vector<SegmentReplica> replicas = LongestReplicas(
      segment, answers_, [](const SegmentReplica& replica) { return replica.stored->closed(); });
  const bool was_head =
      heads_.previous.has_value() && SegmentId(heads_.previous->segment_id()) == segment;
  if (replicas.empty() && was_head) {
    replicas = LongestReplicas(segment, answers_, [this](const SegmentReplica& replica) {
      return IsCurrent(*heads_.previous, replica, servers_);
    });
  }
  return replicas;
}

void Assembly::Add(SegmentId segment, const std::vector<SegmentReplica>& replicas) {
  AssembledSegment assembled;
  assembled.segment = segment;
  for (const SegmentReplica& replica : replicas) {
    assembled.backups.push_back(replica.backup);
  }
  log_.segments.push_back(std::move(assembled));
}

}  // namespace

AssembledLog AssembleLog(const LogHeads& heads, const StoredSegments& answers,
                         const ServerRegistry& servers) {
  return Assembly(heads, answers, servers).Run();
}

}  // namespace cloverbank
