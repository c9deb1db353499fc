#pragma once
/// @file
/// Pure core: how a gateway's free batch room is reserved to the queue nodes. Nodes whose last
/// answer brought work share the room and are asked without a long_poll_time; the others are each
/// reserved an even part and may long_poll_time the question until work comes. So little is granted
/// that there is no room for. Threads: the owner's event loop only.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace cloverbank {

/// Free slots by backend.
using BatchCapacity = std::map<std::string, std::uint32_t>;

/// One question to one queue node.
struct AcquirePlan {
  NodeId node;
  BatchCapacity capacity;  ///< Only backends with room.
  Duration long_poll_time{};
};

struct AcquirePlannerOptions {
  Duration long_poll_time = milliseconds(500);   ///< Of nodes that had no work lately.
  Duration minimum_interval = milliseconds(20);  ///< Between two questions to one node.
  Duration response_timeout = seconds(1);  ///< Beyond the long_poll_time, see `reserved_until`.
};

class AcquirePlanner {
 public:
  explicit AcquirePlanner(AcquirePlannerOptions options = {}) : options_(options) {}

  /// @return the questions to send now; each counts as under way until `Answered` or `Failed`.
  /// @param nodes queue nodes that own partitions; others are forgotten once nothing is under way.
  std::vector<AcquirePlan> PlanRequests(TimePoint now, const std::vector<NodeId>& nodes,
                                        const BatchCapacity& free);
  void RecordResponse(NodeId node, std::size_t grants, TimePoint now);
  /// The node did not answer; it is asked again at `retry_at`.
  void RecordFailure(NodeId node, TimePoint retry_at);

 private:
  struct NodeState {
    bool in_flight = false;
    bool has_work = false;  ///< Its last answer brought work.
    TimePoint next_request;
    TimePoint reserved_until;  ///< Later, the room of a silent node goes to others.
    BatchCapacity reserved;
  };

  void Forget(const std::vector<NodeId>& nodes);
  BatchCapacity CapacityFor(const NodeState& state, TimePoint now, const BatchCapacity& free,
                            std::size_t nodes) const;

  AcquirePlannerOptions options_;
  std::map<NodeId, NodeState> nodes_;
  std::size_t rotation_ = 0;  ///< Turns, so that a remainder does not always go to the same node.
};

}  // namespace cloverbank
