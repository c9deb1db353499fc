#include "leader/failure_detector.h"

#include <algorithm>

namespace cloverbank {
namespace {

/// Time without a heartbeat after which a suspicion counts. Longer than the leader may delay the
/// answer to a heartbeat and the node then takes to send the next one.
constexpr Duration kSuspicionAfter = milliseconds(1500);

}  // namespace

void FailureDetector::Start(TimePoint now) {
  started_ = now;
  last_heartbeats_.clear();
  suspected_.clear();
}

void FailureDetector::ExcludePause(Duration length, TimePoint now) {
  started_ = std::min(started_ + length, now);
  for (auto& [node, last] : last_heartbeats_) {
    last = std::min(last + length, now);
  }
}

void FailureDetector::RecordHeartbeat(NodeId node, TimePoint now) {
  TimePoint& last = last_heartbeats_[node];
  last = std::max(last, now);
  suspected_.erase(node);
}

void FailureDetector::RecordSuspicion(NodeId node, TimePoint now) {
  if (now - LastHeardFrom(node) >= kSuspicionAfter) {
    suspected_.insert(node);
  }
}

void FailureDetector::ForgetAllBut(const std::set<NodeId>& live) {
  std::erase_if(last_heartbeats_,
                [&live](const auto& entry) { return !live.contains(entry.first); });
  std::erase_if(suspected_, [&live](NodeId node) { return !live.contains(node); });
}

TimePoint FailureDetector::LastHeardFrom(NodeId node) const {
  const auto entry = last_heartbeats_.find(node);
  return entry == last_heartbeats_.end() ? started_ : std::max(started_, entry->second);
}

bool FailureDetector::IsDead(NodeId node, const LeaseTable& leases, TimePoint now) const {
  if (now < leases.FindLeaseEnd(node)) {
    return false;
  }
  const Duration needed =
      suspected_.contains(node) ? std::min(death_after_, kSuspicionAfter) : death_after_;
  return now - LastHeardFrom(node) >= needed;
}

}  // namespace cloverbank
