#include "coordinator/log_assembly.h"

#include <algorithm>
#include <functional>
#include <set>

namespace cloverbank {
namespace {

struct Copy {
  NodeId backup;
  const proto::StoredSegment* stored = nullptr;
};

using CopyFilter = std::function<bool(const Copy&)>;

/// @return the usable copies of `segment` that are as long as the longest usable one.
std::vector<Copy> LongestCopies(SegmentId segment, const StoredSegments& answers,
                                const CopyFilter& usable) {
  std::vector<Copy> longest;
  for (const auto& [backup, answer] : answers) {
    for (const proto::StoredSegment& stored : answer.segments()) {
      const Copy copy{backup, &stored};
      if (SegmentId(stored.segment_id()) != segment || !usable(copy)) {
        continue;
      }
      if (!longest.empty() && stored.length() > longest.front().stored->length()) {
        longest.clear();
      }
      if (longest.empty() || stored.length() == longest.front().stored->length()) {
        longest.push_back(copy);
      }
    }
  }
  return longest;
}

/// Whether the copy held everything acknowledged while `head` was committed.
bool IsCurrent(const proto::LogHead& head, const Copy& copy, const ServerRegistry& servers) {
  if (copy.stored->epoch() != head.epoch()) {
    return copy.stored->epoch() > head.epoch();
  }
  return std::any_of(head.backups().begin(), head.backups().end(), [&](std::uint64_t backup) {
    return servers.SameDisk(NodeId(backup), copy.backup);
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
  std::vector<Copy> CopiesOfHead() const;
  std::vector<Copy> CopiesOfOther(SegmentId segment) const;
  void Add(SegmentId segment, const std::vector<Copy>& copies);

  const LogHeads& heads_;
  const StoredSegments& answers_;
  const ServerRegistry& servers_;
  AssembledLog log_;
};

AssembledLog Assembly::Run() {
  const SegmentId head(heads_.current.segment_id());
  const std::vector<Copy> head_copies = CopiesOfHead();
  if (head_copies.empty()) {
    log_.missing.push_back("head segment " + head.ToString() + " under epoch " +
                           std::to_string(heads_.current.epoch()) + ", kept by " +
                           DescribeBackups(heads_.current, servers_));
    return std::move(log_);
  }
  std::set<SegmentId> live;
  for (const std::uint64_t id : head_copies.front().stored->digest()) {
    live.insert(SegmentId(id));
  }
  live.erase(head);
  for (const SegmentId segment : live) {
    const std::vector<Copy> copies = CopiesOfOther(segment);
    if (copies.empty()) {
      log_.missing.push_back("segment " + segment.ToString() +
                             ", of which no backup that answered has a whole copy");
    } else {
      Add(segment, copies);
    }
  }
  Add(head, head_copies);
  return std::move(log_);
}

std::vector<Copy> Assembly::CopiesOfHead() const {
  return LongestCopies(SegmentId(heads_.current.segment_id()), answers_, [this](const Copy& copy) {
    return !copy.stored->digest().empty() && IsCurrent(heads_.current, copy, servers_);
  });
}

std::vector<Copy> Assembly::CopiesOfOther(SegmentId segment) const {
  std::vector<Copy> copies =
      LongestCopies(segment, answers_, [](const Copy& copy) { return copy.stored->closed(); });
  const bool was_head =
      heads_.previous.has_value() && SegmentId(heads_.previous->segment_id()) == segment;
  if (copies.empty() && was_head) {
    copies = LongestCopies(segment, answers_, [this](const Copy& copy) {
      return IsCurrent(*heads_.previous, copy, servers_);
    });
  }
  return copies;
}

void Assembly::Add(SegmentId segment, const std::vector<Copy>& copies) {
  AssembledSegment assembled;
  assembled.segment = segment;
  for (const Copy& copy : copies) {
    assembled.backups.push_back(copy.backup);
  }
  log_.segments.push_back(std::move(assembled));
}

}  // namespace

AssembledLog AssembleLog(const LogHeads& heads, const StoredSegments& answers,
                         const ServerRegistry& servers) {
  return Assembly(heads, answers, servers).Run();
}

}  // namespace cloverbank
