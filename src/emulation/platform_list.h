#pragma once
/// @file
/// The platform's list of ready and draining replicas, which shows each change only after a lag.
/// A pure core.

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

  /// The replica is now as given; the list shows it after the lag.
  void Set(TimePoint now, const proto::Replica& replica);
  /// The replica is gone.
  void Remove(TimePoint now, const std::string& id);
  /// @return the list as shown at `now`, sorted by id.
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
