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

/// @return those usable replicas of `segment` that are the longest; empty if none is usable.
std::vector<SegmentReplica> LongestReplicas(SegmentId segment,
                                            const StoredSegments& stored_segments,
                                            const ReplicaFilter& usable) {
  std::vector<SegmentReplica> longest;
  for (const auto& [backup, listing] : stored_segments) {
    for (const proto::StoredSegment& stored : listing.segments()) {
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

/// @return whether `replica` contains everything that the owner acknowledged while `head` was the
/// committed head.
bool HasAllAcknowledgedEntries(const proto::LogHead& head, const SegmentReplica& replica,
                               const ServerRegistry& servers) {
  if (replica.stored->epoch() != head.epoch()) {
    return replica.stored->epoch() > head.epoch();
  }
  return std::any_of(head.backups().begin(), head.backups().end(), [&](std::uint64_t backup) {
    return servers.HaveSameDisk(NodeId(backup), replica.backup);
  });
}

/// @return a text such as "store-1 (node 4), store-2 (node 5, not live)": the machine and node id
/// of each backup of `head`, and whether the backup is no longer live.
std::string DescribeBackups(const proto::LogHead& head, const ServerRegistry& servers) {
  std::string text;
  for (const std::uint64_t id : head.backups()) {
    const proto::Server* server = servers.Find(NodeId(id));
    text += text.empty() ? "" : ", ";
    text += server == nullptr ? "unknown machine" : server->machine();
    text += " (node " + std::to_string(id);
    text += server != nullptr && IsLive(*server) ? ")" : ", not live)";
  }
  return text;
}

/// Assembles one log; used once.
class LogAssembler {
 public:
  LogAssembler(const LogHeads& heads, const StoredSegments& stored_segments,
               const ServerRegistry& servers)
      : heads_(heads), stored_segments_(stored_segments), servers_(servers) {}

  AssembledLog Assemble();

 private:
  std::vector<SegmentReplica> HeadReplicas() const;
  /// @return the replicas from which `segment`, which is not the head, can be read; empty if none.
  std::vector<SegmentReplica> EarlierSegmentReplicas(SegmentId segment) const;
  /// @return the segments in the digest of `head`, which includes the head itself.
  static std::set<SegmentId> DigestSegments(const proto::StoredSegment& head);
  /// Reports that no usable replica of the head was found.
  void AddMissingHead();
  /// Adds `segment`, which is not the head, or reports that it is missing.
  void AddEarlierSegment(SegmentId segment);
  void Add(SegmentId segment, const std::vector<SegmentReplica>& replicas);

  const LogHeads& heads_;
  const StoredSegments& stored_segments_;
  const ServerRegistry& servers_;
  AssembledLog log_;
};

AssembledLog LogAssembler::Assemble() {
  const SegmentId head(heads_.current.segment_id());
  const std::vector<SegmentReplica> head_replicas = HeadReplicas();
  if (head_replicas.empty()) {
    AddMissingHead();
    return std::move(log_);
  }
  std::set<SegmentId> live = DigestSegments(*head_replicas.front().stored);
  live.erase(head);
  for (const SegmentId segment : live) {
    AddEarlierSegment(segment);
  }
  Add(head, head_replicas);
  return std::move(log_);
}

std::set<SegmentId> LogAssembler::DigestSegments(const proto::StoredSegment& head) {
  std::set<SegmentId> live;
  for (const std::uint64_t id : head.digest()) {
    live.insert(SegmentId(id));
  }
  return live;
}

void LogAssembler::AddMissingHead() {
  log_.missing.push_back("head segment " + std::to_string(heads_.current.segment_id()) +
                         " of epoch " + std::to_string(heads_.current.epoch()) + ", stored on " +
                         DescribeBackups(heads_.current, servers_));
}

void LogAssembler::AddEarlierSegment(SegmentId segment) {
  const std::vector<SegmentReplica> replicas = EarlierSegmentReplicas(segment);
  if (replicas.empty()) {
    log_.missing.push_back("segment " + segment.ToString() +
                           ", of which no backup that has answered has a complete replica");
  } else {
    Add(segment, replicas);
  }
}

std::vector<SegmentReplica> LogAssembler::HeadReplicas() const {
  return LongestReplicas(SegmentId(heads_.current.segment_id()), stored_segments_,
                         [this](const SegmentReplica& replica) {
                           return !replica.stored->digest().empty() &&
                                  HasAllAcknowledgedEntries(heads_.current, replica, servers_);
                         });
}

std::vector<SegmentReplica> LogAssembler::EarlierSegmentReplicas(SegmentId segment) const {
  std::vector<SegmentReplica> replicas =
      LongestReplicas(segment, stored_segments_,
                      [](const SegmentReplica& replica) { return replica.stored->closed(); });
  const bool was_head =
      heads_.previous.has_value() && SegmentId(heads_.previous->segment_id()) == segment;
  if (replicas.empty() && was_head) {
    replicas = LongestReplicas(segment, stored_segments_, [this](const SegmentReplica& replica) {
      return HasAllAcknowledgedEntries(*heads_.previous, replica, servers_);
    });
  }
  return replicas;
}

void LogAssembler::Add(SegmentId segment, const std::vector<SegmentReplica>& replicas) {
  AssembledSegment assembled;
  assembled.segment = segment;
  for (const SegmentReplica& replica : replicas) {
    assembled.backups.push_back(replica.backup);
  }
  log_.segments.push_back(std::move(assembled));
}

}  // namespace

AssembledLog AssembleLog(const LogHeads& heads, const StoredSegments& stored_segments,
                         const ServerRegistry& servers) {
  return LogAssembler(heads, stored_segments, servers).Assemble();
}

}  // namespace cloverbank
