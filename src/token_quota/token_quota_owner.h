#pragma once
/// @file
/// Enforces the limits of open tokens of a tenant's routes over all partitions. The owner of the
/// tenant's partition is the quota owner. Partition owners reserve tokens at the quota owner before
/// they accept a batch. The quota state is not durable: a new quota owner counts the open tokens at
/// all partitions before its first grant.
///
/// A grant needs no count while the upper bound of open tokens leaves capacity. Otherwise the quota
/// owner asks all partition owners for counts, at most once per `kMaxCountAge`. A request waits for
/// capacity if it will be free in time according to the drain rate, or if that rate is unknown.
/// Capacity is granted in the order of first attempts (`QuotaWaitQueue`). A rejected batch gets a
/// retry delay, and it keeps its position for that delay and a margin.
///
/// Threads: the owner's event loop only. Instances must be created by `std::make_shared`.

#include <compare>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "base/ids.h"
#include "control_client/node_agent.h"
#include "proto/batch.pb.h"
#include "runtime/environment.h"
#include "token_quota/drain_rate.h"
#include "token_quota/quota_wait_queue.h"
#include "token_quota/token_usage.h"

namespace cloverbank {

class TokenQuotaOwner : public std::enable_shared_from_this<TokenQuotaOwner> {
 public:
  using Reply = std::function<void(Result<proto::ReserveTokensResponse>)>;
  /// @return the open tokens at this node's own partitions.
  using CountLocal =
      std::function<proto::CountOpenTokensResponse(const proto::CountOpenTokensRequest& request)>;

  TokenQuotaOwner(Environment& environment, NodeAgent& agent, CountLocal count_local);

  /// Grants the tokens, or rejects the request with kResourceExhausted (over the limit) or
  /// kUnavailable (not all partitions could be counted). Requires that this node owns the partition
  /// of the request. `reply` runs on the event loop, either before this method returns or later,
  /// after a count or a wait for capacity.
  void Reserve(const proto::ReserveTokensRequest& request, Reply reply);
  /// Removes the quotas of a partition that this node no longer owns. Their waiting requests fail
  /// with kUnavailable.
  void DropPartition(PartitionId partition);

 private:
  struct QuotaKey {
    std::string tenant;
    std::string route;
    // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the defaulted comparison.
    auto operator<=>(const QuotaKey&) const = default;
  };
  /// A request that waits for a count or for capacity.
  struct Waiting {
    proto::ReserveTokensRequest request;
    Reply reply;
    TimePoint deadline{};    ///< End of the wait for the first counts of all partitions.
    TimePoint wait_until{};  ///< End of the wait for capacity.
  };
  /// State of the limit of one route of one tenant.
  struct Quota {
    PartitionId partition;  ///< The tenant's; its owner is the quota owner.
    TokenUsage usage;
    std::list<Waiting> waiting;
    QuotaWaitQueue wait_queue;  ///< Waiting and rejected requests.
    DrainRate drain_rate;
    std::uint64_t granted_since_count = 0;  ///< Tokens, without allowances.
    /// Whether an allowance was granted since the last count started. A count revokes allowances.
    bool allowance_granted = false;
    bool counting = false;
    int pending_answers = 0;            ///< Of the running count.
    TimePoint count_started_at{};       ///< Of the running count.
    TimePoint last_count_started_at{};  ///< Of the last completed count.
  };
  using QuotaPtr = std::shared_ptr<Quota>;

  /// @return the quota, created by its first request.
  QuotaPtr& GetQuota(const QuotaKey& key, PartitionId partition);
  /// @return whether a new count is not needed yet: all partitions were counted, the last count is
  /// not older than `kMaxCountAge`, and it revoked all allowances.
  bool HasFreshCount(const Quota& quota, TimePoint now) const;
  /// Grants the request and `allowance` if the limit has capacity for them besides the tokens
  /// reserved for batches ahead of it. @return whether they were granted.
  static bool TryGrant(Quota& quota, const proto::ReserveTokensRequest& request,
                       std::uint64_t allowance);
  /// @return the tokens that must be finished before the request and the batches ahead of it can be
  /// granted.
  static std::uint64_t ComputeShortfall(const Quota& quota,
                                        const proto::ReserveTokensRequest& request);
  /// Rejects the request with a retry delay. Its batch keeps its position for that delay and a
  /// margin.
  void Reject(Quota& quota, const proto::ReserveTokensRequest& request, const Reply& reply);
  /// @return the allowance to grant in addition to the requested tokens; 0 while other requests
  /// wait.
  std::uint64_t ComputeAllowance(const Quota& quota,
                                 const proto::ReserveTokensRequest& request) const;
  /// @return whether every partition was counted at least once.
  bool IsFullyCounted(const Quota& quota) const;
  /// @return whether the request may wait and capacity may be free before its wait ends.
  static bool ShouldWait(const Quota& quota, const proto::ReserveTokensRequest& request);
  /// Starts a count after `kMaxCountAge` if requests still wait then.
  void ScheduleCount(const QuotaKey& key, const QuotaPtr& quota);
  void StartCount(const QuotaKey& key, const QuotaPtr& quota);
  /// @return the request to each partition owner to count the open tokens at its partitions.
  std::map<NodeId, proto::CountOpenTokensRequest> MakeCountRequests(const QuotaKey& key) const;
  void RequestCount(const QuotaKey& key, const QuotaPtr& quota, NodeId owner,
                    const proto::CountOpenTokensRequest& request);
  /// Applies the counts of one partition owner; completes the count if no other answer is pending.
  void HandleCounts(const QuotaKey& key, const QuotaPtr& quota,
                    const Result<proto::CountOpenTokensResponse>& counts);
  void CompleteCount(const QuotaKey& key, const QuotaPtr& quota);
  /// Grants or rejects waiting requests in the order of their positions. Schedules another count if
  /// some go on waiting.
  void AnswerWaiting(const QuotaKey& key, const QuotaPtr& quota);

  Environment& environment_;
  NodeAgent& agent_;
  CountLocal count_local_;
  std::map<QuotaKey, QuotaPtr> quotas_;
};

}  // namespace cloverbank
