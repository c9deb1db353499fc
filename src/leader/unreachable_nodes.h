#pragma once
/// @file
/// Pure core: which nodes the leader has to tell where the coordinators are. A machine that has
/// lost power knows only its seeds, which may name no coordinator by then; the leader knows where
/// each node was. Threads: the owner's event loop only.

#include <compare>
#include <map>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "control_state/control_state.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

class UnreachableNodes {
 public:
  /// Where a node of a role is, or was.
  struct NodeLocation {
    Endpoint endpoint;
    proto::Role role = proto::ROLE_UNSPECIFIED;
    // NOLINTNEXTLINE(modernize-use-nullptr): as in base/ids.h.
    auto operator<=>(const NodeLocation&) const = default;
  };

  /// This member became leader: nodes may have lost the coordinators at any time before.
  void Reset() { entries_.clear(); }
  /// @param silent live nodes that were not heard of lately.
  /// @return those to be told now.
  std::vector<NodeLocation> StartDueNotifications(const ControlState& state,
                                                  const std::set<NodeId>& unresponsive,
                                                  TimePoint now);

 private:
  struct Entry {
    TimePoint last_present{};
    TimePoint next{};
    bool notified = false;  ///< Also nodes that seem to be present are told once.
  };

  /// @return the locations of live nodes that respond.
  std::set<NodeLocation> RecordLive(const ControlState& state, const std::set<NodeId>& unresponsive,
                                    TimePoint now);
  void ForgetLongAbsent(TimePoint now);

  std::map<NodeLocation, Entry> entries_;
};

}  // namespace cloverbank
