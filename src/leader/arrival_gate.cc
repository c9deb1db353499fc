#include "leader/arrival_gate.h"

#include <algorithm>
#include <utility>

#include "leader/partition_placement.h"

namespace cloverbank {

void ArrivalGate::Reset() {
  known_.clear();
  last_arrival_ = TimePoint();
  waiting_since_.reset();
}

bool ArrivalGate::Update(const ControlState& state, const std::set<NodeId>& doubtful, bool waiting,
                         TimePoint now) {
  RecordArrivals(EligibleQueueNodes(state, doubtful), now);
  if (!waiting || known_.empty()) {
    waiting_since_.reset();
    return false;
  }
  waiting_since_ = waiting_since_.value_or(now);
  return now - last_arrival_ >= quiet_ || now - *waiting_since_ >= longest_;
}

void ArrivalGate::RecordArrivals(std::vector<NodeId> eligible, TimePoint now) {
  const bool arrived = std::any_of(eligible.begin(), eligible.end(), [this](NodeId node) {
    return std::find(known_.begin(), known_.end(), node) == known_.end();
  });
  if (arrived) {
    last_arrival_ = now;
  }
  known_ = std::move(eligible);
}

}  // namespace cloverbank
