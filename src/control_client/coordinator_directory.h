#pragma once
/// @file
/// Pure core: which coordinator to ask next. Threads: the owner's event loop only.

#include <cstddef>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

/// Members as last learned, then the seeds (which may be gone, but may also be all that is left for
/// a node that slept through a change of all members).
class CoordinatorDirectory {
 public:
  explicit CoordinatorDirectory(std::vector<Endpoint> seeds);

  /// Takes the current member list. An empty one is ignored.
  void UpdateMembers(std::vector<Endpoint> members);
  /// `endpoint` answered as the leader.
  void RecordAnswer(const Endpoint& endpoint) { leader_ = endpoint; }
  /// `from` is not the leader; `hint` may name the one it knows (else it is invalid).
  void RecordRedirect(const Endpoint& from, const Endpoint& hint);
  /// `endpoint` did not answer.
  void RecordFailure(const Endpoint& endpoint);

  /// @return all coordinators, best guess of the leader first.
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
