#include "leader/arrival_gate.h"

#include <algorithm>
#include <utility>

#include "leader/partition_placement.h"

namespace cloverbank {

void ArrivalGate::Reset() {
  eligible_.clear();
  last_arrival_ = TimePoint();
  waiting_since_.reset();
}

bool ArrivalGate::Update(const ControlState& state, const std::set<NodeId>& unresponsive,
                         bool partitions_waiting, TimePoint now) {
  RecordArrivals(FindEligibleQueueNodes(state, unresponsive), now);
  if (!partitions_waiting || eligible_.empty()) {
    waiting_since_.reset();
    return false;
  }
  waiting_since_ = waiting_since_.value_or(now);
  return now - last_arrival_ >= quiet_period_ || now - *waiting_since_ >= maximum_wait_;
}

void ArrivalGate::RecordArrivals(std::vector<NodeId> eligible, TimePoint now) {
  const bool has_new_node = std::any_of(eligible.begin(), eligible.end(), [this](NodeId node) {
    return std::find(eligible_.begin(), eligible_.end(), node) == eligible_.end();
  });
  if (has_new_node) {
    last_arrival_ = now;
  }
  eligible_ = std::move(eligible);
}

}  // namespace cloverbank
