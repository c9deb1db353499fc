#pragma once
/// @file
/// Discovers, bootstraps or joins the group: calls seeds and members in rounds, executes what
/// `DecideFormation` decides, and serves raft.Discover and raft.Join. Threads: the environment's
/// event loop only.

#include <cstdint>
#include <functional>
#include <memory>
#include <set>

#include "consensus/raft_formation.h"
#include "consensus/raft_group_monitor.h"
#include "consensus/raft_node_context.h"

namespace cloverbank {

class RaftFormationDriver {
 public:
  /// @param context must outlive this object.
  explicit RaftFormationDriver(RaftNodeContext& context) : context_(context), monitor_(context) {}
  ~RaftFormationDriver() { Stop(); }
  RaftFormationDriver(const RaftFormationDriver&) = delete;
  RaftFormationDriver& operator=(const RaftFormationDriver&) = delete;

  /// Registers the peer methods. This object must live as long as the environment can call them.
  void Serve();
  /// Starts periodic discovery rounds. A round is skipped while this member is in a group and knows
  /// its leader.
  void Start();
  /// Starts no further round.
  void Stop();
  /// Which member was last seen at each endpoint.
  const MemberDirectory& directory() const { return directory_; }

 private:
  struct Round;

  Result<proto::DiscoverResponse> HandleDiscover(const proto::DiscoverRequest& request);
  void HandleJoin(const proto::JoinRequest& request,
                  const std::function<void(Result<proto::JoinResponse>)>& reply);
  /// Second step of `HandleJoin`: `discovered` is the response of the member at the request's
  /// endpoint.
  Result<proto::JoinResponse> CompleteJoin(const proto::JoinRequest& request,
                                           const Result<proto::DiscoverResponse>& discovered);
  Result<proto::JoinResponse> AdmitJoiningMember(const proto::RaftMember& member,
                                                 std::uint64_t replaces);
  /// @return a member, other than this one, that is not a seed, if `joining` is a seed; else 0.
  std::uint64_t FindNonSeedMember(const Endpoint& joining) const;
  void UpdateOwnEndpoint();
  proto::DiscoverRequest MakeDiscoverRequest() const;
  bool NeedsGroup() const;

  void ScheduleRound();
  void StartRound();
  std::set<Endpoint> FindDiscoverTargets() const;
  void HandleDiscoverResponse(Round& round, const Endpoint& from,
                              const Result<proto::DiscoverResponse>& response);
  void FinishRound(const FormationRound& completed);
  void RecordReportedMembers(const FormationRound& completed);
  void RequestJoin(const Endpoint& leader);
  void HandleJoinResponse(const Result<proto::JoinResponse>& response);

  RaftNodeContext& context_;
  RaftGroupMonitor monitor_;
  TimerId round_timer_ = 0;
  MemberDirectory directory_;
  /// Endpoints of the members as other members last reported them. They are kept because no seed
  /// may be left by the time this member looks for a group.
  std::set<Endpoint> reported_members_;
  /// Whether the last request to join was refused with kConflict: the group is full, or the leader
  /// would be replaced. This member then asks less often.
  bool join_conflict_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank
