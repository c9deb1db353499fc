#include "leader/arrival_gate.h"

#include <algorithm>
#include <utility>

#include "leader/partition_placement.h"

namespace cloverbank {

void ArrivalGate::Reset() {
  known_.clear();
  last_arrival_ = TimePoint();
  waiting_ = false;
}

bool ArrivalGate::IsOpen(const ControlState& state, const std::set<NodeId>& doubtful, bool waiting,
                         TimePoint now) {
  std::vector<NodeId> eligible = EligibleQueueNodes(state, doubtful);
  const bool arrived = std::any_of(eligible.begin(), eligible.end(), [this](NodeId node) {
    return std::find(known_.begin(), known_.end(), node) == known_.end();
  });
  if (arrived) {
    last_arrival_ = now;
  }
  known_ = std::move(eligible);
  if (!waiting || known_.empty()) {
    waiting_ = false;
    return false;
  }
  if (!waiting_) {
    waiting_ = true;
    waiting_since_ = now;
  }
  return now - last_arrival_ >= quiet_ || now - waiting_since_ >= longest_;
}

}  // namespace cloverbank
