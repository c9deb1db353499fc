#pragma once
/// @file
/// Decides which nodes to notify of the coordinators' endpoints. A node that restarts knows only
/// its seeds, which may name no present coordinator; the leader knows the node's last endpoint.
/// Pure.

#include <compare>
#include <map>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "control_state/control_state.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

class CoordinatorNotificationSchedule {
 public:
  /// Last known endpoint of a node, and the role that serves there.
  struct NodeLocation {
    Endpoint endpoint;
    proto::Role role = proto::ROLE_UNSPECIFIED;
    // NOLINTNEXTLINE(modernize-use-nullptr): as in base/ids.h.
    auto operator<=>(const NodeLocation&) const = default;
  };

  /// This member became leader: all nodes are notified once.
  void Reset() { entries_.clear(); }
  /// @param unresponsive live nodes without a recent heartbeat.
  /// @return locations to be notified now. Those of nodes that respond are returned once, those of
  /// unresponsive and dead ones repeatedly for a limited time.
  std::vector<NodeLocation> StartDueNotifications(const ControlState& state,
                                                  const std::set<NodeId>& unresponsive,
                                                  TimePoint now);

 private:
  struct Entry {
    TimePoint last_responsive{};
    TimePoint next_notification{};
    bool notified = false;
  };

  /// @return the locations of live nodes that respond.
  std::set<NodeLocation> RecordLiveNodes(const ControlState& state,
                                         const std::set<NodeId>& unresponsive, TimePoint now);
  void ForgetLongAbsent(TimePoint now);

  std::map<NodeLocation, Entry> entries_;
};

}  // namespace cloverbank
