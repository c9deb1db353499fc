#pragma once
/// @file
/// Emulates the platform's list of ready and draining replicas, which shows each change only after
/// a lag. It does no I/O and reads no clock: the caller passes the time.

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "base/time.h"
#include "proto/live.pb.h"

namespace cloverbank {

class PlatformList {
 public:
  explicit PlatformList(Duration lag) : lag_(lag) {}

  /// Adds or updates the replica; the list shows it after the lag.
  void Set(TimePoint now, const proto::Replica& replica);
  /// Removes the replica; the list shows it until the lag has passed.
  void Remove(TimePoint now, const std::string& id);
  /// @return the list that the platform shows at `now`, sorted by id. Its version increases with
  /// each change of the list. The reference is valid until the next call.
  const proto::ReplicaList& Shown(TimePoint now);

 private:
  struct Change {
    TimePoint due;
    std::string id;
    bool removed = false;
    proto::Replica replica;
  };
  Duration lag_;
  std::deque<Change> changes_;
  std::map<std::string, proto::Replica> replicas_;
  proto::ReplicaList shown_;
};

}  // namespace cloverbank
