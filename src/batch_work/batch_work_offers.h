#pragma once
/// @file
/// Pure core: how a gateway's free batch room is offered to the queue nodes. Nodes whose last
/// answer brought work share the room and are asked without a hold; the others are each offered an
/// even part and may hold the question until work comes. So little is granted that there is no room
/// for. Threads: the owner's event loop only.

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
struct WorkOffer {
  NodeId node;
  BatchCapacity capacity;  ///< Only backends with room.
  Duration hold{};
};

struct WorkOfferOptions {
  Duration hold = milliseconds(500);             ///< Of nodes that had no work lately.
  Duration minimum_interval = milliseconds(20);  ///< Between two questions to one node.
  Duration response_timeout = seconds(1);        ///< Beyond the hold, see `offered_until`.
};

class WorkOffers {
 public:
  explicit WorkOffers(WorkOfferOptions options = {}) : options_(options) {}

  /// @return the questions to send now; each counts as under way until `Answered` or `Failed`.
  /// @param nodes queue nodes that own partitions; others are forgotten once nothing is under way.
  std::vector<WorkOffer> Next(TimePoint now, const std::vector<NodeId>& nodes,
                              const BatchCapacity& free);
  void Answered(NodeId node, std::size_t grants, TimePoint now);
  /// The node did not answer; it is asked again at `retry_at`.
  void Failed(NodeId node, TimePoint retry_at);

 private:
  struct Asked {
    bool under_way = false;
    bool busy = false;  ///< Its last answer brought work.
    TimePoint next_ask;
    TimePoint offered_until;  ///< Later, the room of a silent node goes to others.
    BatchCapacity offered;
  };

  void Forget(const std::vector<NodeId>& nodes);
  BatchCapacity CapacityFor(const Asked& asked, TimePoint now, const BatchCapacity& free,
                            std::size_t nodes) const;

  WorkOfferOptions options_;
  std::map<NodeId, Asked> asked_;
  std::size_t first_ = 0;  ///< Turns, so that a remainder does not always go to the same node.
};

}  // namespace cloverbank
