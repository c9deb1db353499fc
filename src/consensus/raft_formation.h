#pragma once
/// @file
/// How a member without a group finds or founds one. Pure decision over what the seeds answered.
///
/// Founding. Only the seed with the lowest endpoint founds, and only when in one round every seed
/// answered that it holds no configuration. Why that is safe:
///  - Two founders can not be: the lowest endpoint is one machine, running one process at a time.
///  (All
///    members must be given the same seeds.)
///  - A seed that dies before it answers stops the round; nothing is founded until all three are
///  there.
///  - A founder that crashes before its configuration is synced has told nobody and is empty again.
///  If it
///    crashes afterwards, it restarts with it and answers as not empty.
///  - Another seed that loses its disk between its answer and the founding is replaced like any
///  member:
///    its old id is in the configuration, its new one joins.
///  - If a founded group lost two disks, the third member is still not empty, so that no new group
///  can take
///    the place of the old one. The group stands still until an operator decides; it does not
///    forget.
///  - A founder that lost its disk after others took its configuration finds them not empty and
///  joins.
///    If none of them took it, nothing was ever committed, and founding anew loses nothing. A late
///    message of the first founding is refused, because its sender's id has been superseded
///    (`MemberDirectory`).
///
/// Joining. A member without a configuration, or one that the leader's configuration no longer
/// contains, asks the leader to take it in. Its id is new after a disk loss, so it has no vote to
/// remember.

#include <cstdint>
#include <map>
#include <set>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "consensus/endpoint_proto.h"
#include "proto/consensus.pb.h"

namespace cloverbank {

/// What a member knows about itself and the seeds after one round of questions.
struct FormationRound {
  std::uint64_t member_id = 0;
  Endpoint endpoint;
  bool empty = true;             ///< Holds no configuration.
  std::uint64_t cluster_id = 0;  ///< Meaningful when not empty.
  std::vector<Endpoint> seeds;
  bool may_found = true;  ///< Whether this may be the first start of the whole system.
  /// Answers of others, by the endpoint asked.
  std::map<Endpoint, proto::DiscoverResponse> answers;
};

struct KeepWaiting {};
struct BootstrapGroup {
  proto::RaftConfiguration configuration;
};
struct JoinGroup {
  Endpoint leader;
};
using FormationDecision = std::variant<KeepWaiting, BootstrapGroup, JoinGroup>;

FormationDecision DecideFormation(const FormationRound& round);

/// Which member id was last seen at each endpoint. An id that another one followed is superseded
/// for good, in whatever order late messages arrive.
class MemberDirectory {
 public:
  void RecordMember(const Endpoint& endpoint, std::uint64_t member_id);
  bool IsSuperseded(std::uint64_t member_id) const { return superseded_.contains(member_id); }

 private:
  std::map<Endpoint, std::uint64_t> current_;
  std::set<std::uint64_t> superseded_;
};

}  // namespace cloverbank
