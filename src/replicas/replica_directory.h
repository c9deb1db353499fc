#pragma once
/// @file
/// The platform's list of replicas as last read: which are ready, draining or new. Pure.
///
/// The list lags behind the actual state, so health is observed separately (replica_health.h). But
/// as soon as a list is applied, replicas that it reports as draining, or no longer contains, get
/// no new calls.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/status.h"
#include "base/time.h"
#include "proto/live.pb.h"

namespace cloverbank {

/// One replica of the list.
struct ReplicaRecord {
  std::string id;
  Endpoint endpoint;
  std::string zone;
  proto::BackendKind kind = proto::BACKEND_KIND_UNSPECIFIED;
  std::string backend;         ///< Name of the model or service.
  std::uint32_t capacity = 1;  ///< Calls that it runs concurrently; at least 1.
  std::string instance_id;     ///< Changes at each start of the replica.
  bool ready = false;          ///< False while draining.
  /// Remaining warm-up time as of the list; zero once it is warm.
  Duration slow_start_remaining{};
  bool operator==(const ReplicaRecord&) const = default;
};

/// What a newly applied list changed.
struct DirectoryChange {
  /// Ids of replicas that start warming up: new, restarted (other instance or endpoint), or ready
  /// again after draining.
  std::vector<std::string> warming_up;
  std::vector<std::string> stopped;  ///< Ids that went from ready to draining.
  std::vector<std::string> removed;  ///< Ids that the list no longer contains.
  std::uint32_t skipped = 0;         ///< Malformed or duplicate entries, which are ignored.
};

class ReplicaDirectory {
 public:
  /// Replaces the list. @return what changed; kInvalidArgument for a list without a version (0), in
  /// which case the previous list stays in use.
  Result<DirectoryChange> Apply(const proto::ReplicaList& list);

  /// @return the record, or nullptr. Valid until the next `Apply`.
  const ReplicaRecord* Find(std::string_view id) const;
  /// @return the ready replicas of a back end, sorted by id. Valid until the next `Apply`.
  const std::vector<const ReplicaRecord*>& Ready(proto::BackendKind kind,
                                                 const std::string& backend) const;
  /// Whether long prompts should be sent to the replica. In each zone, one in three ready replicas
  /// of each back end is selected for that, at least one; all gateways select the same ones.
  bool AcceptsLongPrompts(const ReplicaRecord& replica) const {
    return long_prompt_replicas_.contains(replica.id);
  }
  const std::map<std::string, ReplicaRecord, std::less<>>& records() const { return records_; }
  /// Whether any list has been applied.
  bool loaded() const { return loaded_; }
  std::uint64_t version() const { return version_; }

 private:
  using BackendKey = std::pair<proto::BackendKind, std::string>;

  void RebuildIndex();
  void SelectLongPromptReplicas(const std::vector<const ReplicaRecord*>& ready);

  bool loaded_ = false;
  std::uint64_t version_ = 0;
  std::map<std::string, ReplicaRecord, std::less<>> records_;
  std::map<BackendKey, std::vector<const ReplicaRecord*>> ready_;
  std::set<std::string, std::less<>> long_prompt_replicas_;
};

}  // namespace cloverbank
