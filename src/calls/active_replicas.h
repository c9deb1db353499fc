#pragma once
/// @file
/// Which replicas this gateway watches: those that are ready, in an open zone. Tells apart the
/// replicas that were there before this gateway from those that started later, which warm up. Pure.

#include <set>
#include <string>
#include <vector>

#include "proto/configuration.pb.h"
#include "replicas/replica_directory.h"

namespace cloverbank {

class ActiveReplicas {
 public:
  struct Change {
    std::vector<std::string> added;  ///< Newly active, or started again.
    std::vector<std::string> removed;
    bool initial = false;  ///< No replica was active before: those added are preexisting.
  };

  /// @param restarted replicas that began a new incarnation: added even if they were active.
  Change Update(const ReplicaDirectory& directory, const proto::RoutingConfiguration& configuration,
                const std::vector<std::string>& restarted);

  bool Contains(const std::string& id) const { return ids_.contains(id); }
  const std::set<std::string>& ids() const { return ids_; }
  /// The first health check of a replica succeeded.
  /// @return whether the replica was listed before this gateway watched any.
  bool TakePreexisting(const std::string& id) { return preexisting_.erase(id) > 0; }

 private:
  std::set<std::string> ids_;
  std::set<std::string> preexisting_;  ///< Not checked yet.
  bool activated_ = false;             ///< Whether any replica was ever active.
};

}  // namespace cloverbank
