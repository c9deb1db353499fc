#pragma once
/// @file
/// Decides which coordinator to call next. Performs no I/O. Threads: the owner's event loop only.

#include <cstddef>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

/// Lists the members of the coordinator group as last received, followed by the seeds from the
/// settings. The seeds may no longer exist, but a node that missed the replacement of all members
/// has no other addresses to try.
class CoordinatorDirectory {
 public:
  explicit CoordinatorDirectory(std::vector<Endpoint> seeds);

  /// Replaces the member list. Ignores an empty list.
  void UpdateMembers(std::vector<Endpoint> members);
  /// Records that `endpoint` answered as the leader.
  void RecordAnswer(const Endpoint& endpoint) { leader_ = endpoint; }
  /// Records that `from` is not the leader.
  /// @param hint the leader that `from` named; invalid if it named none.
  void RecordRedirect(const Endpoint& from, const Endpoint& hint);
  /// Records that `endpoint` did not answer or could not serve the call.
  void RecordFailure(const Endpoint& endpoint);

  /// @return the likely leader, if known, then all other members and seeds in the order in which to
  /// try them.
  std::vector<Endpoint> ListCandidates() const;

 private:
  std::vector<Endpoint> seeds_;
  std::vector<Endpoint> rotation_;  ///< Members, then the seeds that are not members.
  std::size_t next_ = 0;            ///< Index in `rotation_` of the candidate to try first.
  std::optional<Endpoint> leader_;
};

std::vector<Endpoint> ToEndpoints(
    const google::protobuf::RepeatedPtrField<proto::Endpoint>& messages);
/// @return the endpoint that `text` ("ip:port") names, or an invalid one if `text` is malformed.
Endpoint ParseEndpoint(const std::string& text);

}  // namespace cloverbank
