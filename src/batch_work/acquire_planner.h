#pragma once
/// @file
/// Decides which queue nodes to request work from, and how much of this gateway's free batch
/// capacity to offer to each. Nodes whose last response contained grants share the whole capacity,
/// and requests to them are not long polls. Every other node is offered an even share of it and may
/// delay its response until it has work. Slots offered in a request in flight are not offered
/// again, except that nodes with grants are also offered the slots offered to the others. As a
/// result, few grants exceed the capacity. Pure. Threads: the owner's event loop only.

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
  BatchCapacity capacity;     ///< Only back ends with free slots.
  Duration long_poll_time{};  ///< How long the node may delay its response.
};

struct AcquirePlannerOptions {
  Duration long_poll_time = milliseconds(500);   ///< For nodes whose last response had no grants.
  Duration minimum_interval = milliseconds(20);  ///< Between two requests to one node.
  /// Beyond the long poll: when the slots of an unanswered request are offered to other nodes.
  Duration response_timeout = seconds(1);
};

class AcquirePlanner {
 public:
  explicit AcquirePlanner(AcquirePlannerOptions options = {}) : options_(options) {}

  /// @return the requests to send now; each is in flight until `RecordResponse` or `RecordFailure`.
  /// @param nodes the queue nodes that own partitions. Other nodes are removed once no request to
  /// them is in flight.
  /// @param free the slots that no item uses or waits for.
  std::vector<AcquirePlan> PlanRequests(TimePoint now, const std::vector<NodeId>& nodes,
                                        const BatchCapacity& free);
  /// The node responded with this number of grants.
  void RecordResponse(NodeId node, std::size_t grants, TimePoint now);
  /// The request failed; the next one is not sent before `retry_at`.
  void RecordFailure(NodeId node, TimePoint retry_at);

 private:
  struct NodeState {
    bool in_flight = false;
    bool has_work = false;  ///< Its last response contained grants.
    TimePoint next_request;
    /// After this, `reserved` is offered to other nodes even without a response.
    TimePoint reserved_until;
    BatchCapacity reserved;  ///< The slots offered in the request in flight.
  };

  void RemoveNodesNotIn(const std::vector<NodeId>& nodes);
  /// @return the slots to offer to the node in a request now.
  BatchCapacity CapacityFor(const NodeState& state, TimePoint now, const BatchCapacity& free,
                            std::size_t node_count) const;

  AcquirePlannerOptions options_;
  std::map<NodeId, NodeState> nodes_;
  /// Index of the node that comes first; rotates, so that a remainder of the slots does not always
  /// go to the same node.
  std::size_t rotation_ = 0;
};

}  // namespace cloverbank
