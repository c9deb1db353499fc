#pragma once
/// @file
/// Decides which queue nodes to request work from, and how much of this gateway's free batch
/// capacity to offer to each. For each back end, the nodes that had work for it when they last
/// answered share the whole capacity, and requests to them are not long polls. Every other node is
/// offered an even share of it and may delay its response until it has work; if it then answers
/// without grants, it has work for a new request. Slots offered in a
/// request in flight are not offered again, except that nodes with work are also offered the slots
/// offered to the others, and that a few nodes at a time are offered the same slot, so that work is
/// found soon by a gateway that has one. As a result, few grants exceed the capacity. Pure.
/// Threads: the owner's event loop only.

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
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
  std::uint64_t request = 0;  ///< Identifies the request among all of the planner.
  BatchCapacity capacity;     ///< Only back ends with free slots.
  Duration long_poll_time{};  ///< How long the node may delay its response.
};

struct AcquirePlannerOptions {
  Duration long_poll_time = milliseconds(500);   ///< For back ends without work at the node.
  Duration minimum_interval = milliseconds(20);  ///< Between two rounds of requests to one node.
  /// Beyond the long poll: when the slots of an unanswered request are offered to other nodes.
  Duration response_timeout = seconds(1);
  /// Nodes that are offered the free slots of a back end at a time, even if there are fewer slots.
  std::size_t minimum_offers = 3;
};

class AcquirePlanner {
 public:
  explicit AcquirePlanner(AcquirePlannerOptions options = {}) : options_(options) {}

  /// @return the requests to send now; each is in flight until `RecordResponse` or `RecordFailure`.
  /// A node has at most one request for each back end in flight.
  /// @param nodes the queue nodes that own partitions. Other nodes are removed once no request to
  /// them is in flight.
  /// @param free the slots that no item uses or waits for.
  std::vector<AcquirePlan> PlanRequests(TimePoint now, const std::vector<NodeId>& nodes,
                                        const BatchCapacity& free);
  /// The node answered the plan's request with grants for these back ends.
  void RecordResponse(const AcquirePlan& plan, const std::set<std::string>& granted_backends,
                      TimePoint now);
  /// The request failed; the next one to the node is not sent before `retry_at`.
  void RecordFailure(const AcquirePlan& plan, TimePoint retry_at);

 private:
  /// A request in flight.
  struct Request {
    BatchCapacity reserved;    ///< The slots offered in it.
    TimePoint long_poll_ends;  ///< An earlier answer means that the node has work.
    /// After this, `reserved` is offered to other nodes even without a response.
    TimePoint reserved_until;
  };
  struct NodeState {
    std::map<std::uint64_t, Request> in_flight;
    std::set<std::string> backends_with_work;  ///< By the last response for each back end.
    TimePoint next_request;

    bool HasWork(const std::string& backend) const { return backends_with_work.contains(backend); }
    /// @return the request in flight that offers slots of `backend`, or nullptr.
    const Request* FindRequest(const std::string& backend) const;
  };

  void RemoveNodesNotIn(const std::vector<NodeId>& nodes);
  /// Adds a request to the node for its share of those back ends for which it has work, or for
  /// which it has none, unless no slot is left to offer.
  void PlanRequest(NodeId node, bool with_work, TimePoint now, const BatchCapacity& free,
                   std::size_t node_count, std::vector<AcquirePlan>* plans);
  /// @return the slots of the back end to offer to the node in a request now.
  std::uint32_t ShareOf(const NodeState& state, const std::string& backend, std::uint32_t slots,
                        TimePoint now, std::size_t node_count) const;

  AcquirePlannerOptions options_;
  std::map<NodeId, NodeState> nodes_;
  std::uint64_t last_request_ = 0;
  /// Index of the node that comes first; rotates, so that a remainder of the slots does not always
  /// go to the same node.
  std::size_t rotation_ = 0;
};

}  // namespace cloverbank
