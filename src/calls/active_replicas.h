#pragma once
/// @file
/// The active replicas of this gateway: those that are ready and in an open zone. Distinguishes the
/// preexisting ones, which were active when this gateway first saw any, from those that became
/// active later, which warm up. Pure.

#include <set>
#include <string>
#include <vector>

#include "proto/configuration.pb.h"
#include "replicas/replica_directory.h"

namespace cloverbank {

class ActiveReplicas {
 public:
  struct Change {
    std::vector<std::string> added;    ///< Ids of newly active and of restarted replicas.
    std::vector<std::string> removed;  ///< Ids of replicas that are no longer active.
    bool initial = false;  ///< No replica was active before: those added are preexisting.
  };

  /// Recomputes the set of active replicas.
  /// @param restarted ids of replicas that began a new incarnation: they are reported as added even
  /// if they were active before.
  /// @return the difference from the previous set.
  Change Update(const ReplicaDirectory& directory, const proto::RoutingConfiguration& configuration,
                const std::vector<std::string>& restarted);

  bool Contains(const std::string& id) const { return ids_.contains(id); }
  const std::set<std::string>& ids() const { return ids_; }
  /// To be called when a health check of a replica succeeded.
  /// @return whether the replica is preexisting and this was its first successful check; false for
  /// every later call.
  bool TakePreexisting(const std::string& id) { return preexisting_.erase(id) > 0; }

 private:
  std::set<std::string> ids_;
  std::set<std::string> preexisting_;  ///< Preexisting replicas without a successful check yet.
  bool activated_ = false;             ///< Whether any replica was ever active.
};

}  // namespace cloverbank
