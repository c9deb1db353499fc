#pragma once
/// @file
/// Decides which nodes to notify of the coordinators' endpoints, and when. A node that restarts
/// knows only its seeds, which may not include any present coordinator; but the leader knows the
/// node's last endpoint. Does no I/O: `CoordinatorNotifier` sends the notifications.

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

  /// Forgets all locations, so that every live node is notified once. Call it when this member
  /// becomes leader.
  void Reset() { entries_.clear(); }
  /// @param unresponsive live nodes without a recent heartbeat.
  /// @return the locations to be notified now. That of a responsive node is returned once; that of
  /// an unresponsive or dead node every 500 ms, until 60 s after the node was last responsive.
  std::vector<NodeLocation> StartDueNotifications(const ControlState& state,
                                                  const std::set<NodeId>& unresponsive,
                                                  TimePoint now);

 private:
  struct Entry {
    TimePoint last_responsive{};
    TimePoint next_notification{};
    bool notified = false;
  };

  /// Records the locations of all live nodes. @return those of the responsive ones.
  std::set<NodeLocation> RecordLiveNodes(const ControlState& state,
                                         const std::set<NodeId>& unresponsive, TimePoint now);
  /// Forgets the locations whose node was last responsive more than 60 s before `now`.
  void ForgetLongAbsent(TimePoint now);

  std::map<NodeLocation, Entry> entries_;
};

}  // namespace cloverbank
