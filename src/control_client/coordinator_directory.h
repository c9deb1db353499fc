#pragma once
/// @file
/// Pure core: which coordinator to call next. Threads: the owner's event loop only.

#include <cstddef>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

/// The members as last learned, then the seeds: they may no longer exist, but are all that is left
/// to a node that missed a replacement of all members.
class CoordinatorDirectory {
 public:
  explicit CoordinatorDirectory(std::vector<Endpoint> seeds);

  /// Sets the current member list. An empty one is ignored.
  void UpdateMembers(std::vector<Endpoint> members);
  /// `endpoint` answered as the leader.
  void RecordAnswer(const Endpoint& endpoint) { leader_ = endpoint; }
  /// `from` is not the leader; `hint` is the leader it knows (invalid if none).
  void RecordRedirect(const Endpoint& from, const Endpoint& hint);
  /// `endpoint` did not answer.
  void RecordFailure(const Endpoint& endpoint);

  /// @return all coordinators, the likely leader first.
  std::vector<Endpoint> ListCandidates() const;

 private:
  std::vector<Endpoint> seeds_;
  std::vector<Endpoint> rotation_;
  std::size_t next_ = 0;
  std::optional<Endpoint> leader_;
};

std::vector<Endpoint> ToEndpoints(
    const google::protobuf::RepeatedPtrField<proto::Endpoint>& messages);
/// @return the endpoint in "ip:port", or an invalid one.
Endpoint ParseEndpoint(const std::string& text);

}  // namespace cloverbank
