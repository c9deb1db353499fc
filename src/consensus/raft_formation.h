#pragma once
/// @file
/// Decides how a member without a group joins one or bootstraps a new one. Pure functions of the
/// responses in one discovery round.
///
/// Bootstrap. Only the seed with the lowest endpoint bootstraps the group, and only when in one
/// round every seed answered that it has no configuration. Why that is safe:
///  - There cannot be two such members: the lowest endpoint is one machine, which runs one process
///    at a time. (All members must be given the same seeds.)
///  - A seed that fails before it answers prevents the bootstrap: no group is formed until all
///    seeds run.
///  - A bootstrapping member that crashes before its configuration is synced has sent it to nobody
///    and is empty again. If it crashes afterwards, it restarts with the configuration and answers
///    as not empty.
///  - Another seed that loses its disk between its answer and the bootstrap is replaced like any
///    member: its old id is in the configuration, and its new id joins.
///  - If the group loses two of three disks, the third member is still not empty, so no new group
///    is formed. The group stays unavailable until an operator decides what to do; nothing is lost
///    silently.
///  - A bootstrapping member that loses its disk after others stored its configuration finds them
///    not empty and joins. If none of them stored it, nothing was committed, and a second bootstrap
///    loses nothing. A delayed message of the first one is refused, because its sender's id is
///    superseded (`MemberDirectory`).
///
/// Join. A member without a configuration, or one that the leader's configuration no longer
/// contains, asks the leader to add it. After a disk loss its id is new, so it has no earlier vote.

#include <cstdint>
#include <map>
#include <set>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "consensus/endpoint_proto.h"
#include "proto/consensus.pb.h"

namespace cloverbank {

/// What a member knows about itself and the others after one round of raft.Discover.
struct FormationRound {
  std::uint64_t member_id = 0;
  Endpoint endpoint;
  bool empty = true;             ///< This member has no configuration.
  std::uint64_t cluster_id = 0;  ///< Meaningful when not empty.
  std::vector<Endpoint> seeds;
  /// Whether this may be the first start of the system, so that a group may be bootstrapped.
  bool can_bootstrap = true;
  /// Responses of other members, by the endpoint called.
  std::map<Endpoint, proto::DiscoverResponse> responses;
};

/// Nothing to do in this round.
struct KeepWaiting {};
/// This member writes the first configuration.
struct BootstrapGroup {
  proto::RaftConfiguration configuration;
};
/// This member asks the leader to add it.
struct JoinGroup {
  Endpoint leader;
};
using FormationDecision = std::variant<KeepWaiting, BootstrapGroup, JoinGroup>;

/// @return what the member has to do after the round; see the top of this file.
FormationDecision DecideFormation(const FormationRound& round);

/// Records which member id was last seen at each endpoint. Once another id has been seen at an
/// endpoint, the earlier id stays superseded, in whatever order delayed messages arrive.
class MemberDirectory {
 public:
  void RecordMember(const Endpoint& endpoint, std::uint64_t member_id);
  bool IsSuperseded(std::uint64_t member_id) const { return superseded_.contains(member_id); }

 private:
  std::map<Endpoint, std::uint64_t> current_;
  std::set<std::uint64_t> superseded_;
};

}  // namespace cloverbank
