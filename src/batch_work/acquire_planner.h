#pragma once
/// @file
/// Decides which queue nodes to ask for work, and for how much of this gateway's free batch
/// capacity. Nodes whose last response brought work share the capacity and are asked without a long
/// poll; the others each get an even part and may delay their response until there is work. So few
/// grants exceed the capacity. Pure. Threads: the owner's event loop only.

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

/// One AcquireWork request to one queue node.
struct AcquirePlan {
  NodeId node;
  BatchCapacity capacity;  ///< Only back ends with free slots.
  Duration long_poll_time{};
};

struct AcquirePlannerOptions {
  Duration long_poll_time = milliseconds(500);   ///< For nodes whose last response brought no work.
  Duration minimum_interval = milliseconds(20);  ///< Between two requests to one node.
  Duration response_timeout = seconds(1);        ///< Beyond the long poll; see `reserved_until`.
};

class AcquirePlanner {
 public:
  explicit AcquirePlanner(AcquirePlannerOptions options = {}) : options_(options) {}

  /// @return the requests to send now; each is in flight until `RecordResponse` or `RecordFailure`.
  /// @param nodes queue nodes that own partitions; others are removed once no request is in flight.
  std::vector<AcquirePlan> PlanRequests(TimePoint now, const std::vector<NodeId>& nodes,
                                        const BatchCapacity& free);
  void RecordResponse(NodeId node, std::size_t grants, TimePoint now);
  /// The request failed; the next one is sent at `retry_at`.
  void RecordFailure(NodeId node, TimePoint retry_at);

 private:
  struct NodeState {
    bool in_flight = false;
    bool has_work = false;  ///< Its last response brought work.
    TimePoint next_request;
    TimePoint
        reserved_until;  ///< Later the capacity is given to other nodes even without a response.
    BatchCapacity reserved;
  };

  void RemoveNodesNotIn(const std::vector<NodeId>& nodes);
  BatchCapacity CapacityFor(const NodeState& state, TimePoint now, const BatchCapacity& free,
                            std::size_t node_count) const;

  AcquirePlannerOptions options_;
  std::map<NodeId, NodeState> nodes_;
  std::size_t rotation_ =
      0;  ///< Rotates the order, so that a remainder does not always go to the same node.
};

}  // namespace cloverbank
