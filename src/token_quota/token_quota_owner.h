#pragma once
/// @file
/// Enforces the limit of open tokens of a tenant's routes over all partitions. The owner of the
/// tenant's partition is the quota owner; owners of other partitions reserve tokens there before
/// they accept a batch. Nothing of it is durable: a new quota owner counts open tokens at all
/// partitions before its first grant.
///
/// A grant needs no count while the upper bound of open tokens leaves capacity. Otherwise all
/// partition owners are asked for counts, at most once per `kMaxCountAge`. A request waits for
/// capacity if the drain rate says that it will be free in time. Capacity is granted in the order
/// of first attempts (`QuotaWaitQueue`); a rejected batch gets a retry delay and keeps its position
/// until then.
///
/// Threads: the owner's event loop only. Made by `std::make_shared`.

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
  /// Counts open tokens at this node's own partitions.
  using CountLocal =
      std::function<proto::CountOpenTokensResponse(const proto::CountOpenTokensRequest& request)>;

  TokenQuotaOwner(Environment& environment, NodeAgent& agent, CountLocal count_local);

  /// Grants the tokens, or rejects the request with kResourceExhausted (over the limit) or
  /// kUnavailable (not all partitions can be counted). Requires that this node owns the partition
  /// of the request.
  void Reserve(const proto::ReserveTokensRequest& request, Reply reply);
  /// The node no longer owns the partition, and is no quota owner of its tenants any more: waiting
  /// requests fail with kUnavailable.
  void Drop(PartitionId partition);

 private:
  struct QuotaKey {
    std::string tenant;
    std::string route;
    // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the defaulted comparison.
    auto operator<=>(const QuotaKey&) const = default;
  };
  struct Waiting {
    proto::ReserveTokensRequest request;
    Reply reply;
    TimePoint deadline{};    ///< For the counts of all partitions.
    TimePoint wait_until{};  ///< For capacity.
  };
  struct Quota {
    PartitionId partition;  ///< Whose owner is the quota owner.
    TokenUsage usage;
    std::list<Waiting> waiting;
    QuotaWaitQueue wait_queue;  ///< Waiting requests, and rejected ones that may be retried.
    DrainRate drain_rate;
    std::uint64_t granted_since_count = 0;
    bool allowance_granted = false;  ///< Since the last count started, which revokes allowances.
    bool counting = false;
    int pending_answers = 0;  ///< Of the running count.
    TimePoint count_started_at{};
    TimePoint last_count_started_at{};  ///< Of the last completed count.
  };
  using QuotaPtr = std::shared_ptr<Quota>;

  /// @return the state of the limit, created at its first request.
  QuotaPtr& GetQuota(const QuotaKey& key, PartitionId partition);
  /// Whether a new count would say no more than the last one.
  bool HasFreshCount(const Quota& quota, TimePoint now) const;
  /// Grants the request if there is capacity for it and for all batches ahead of it.
  static bool TryGrant(Quota& quota, const proto::ReserveTokensRequest& request,
                       std::uint64_t allowance);
  /// @return the tokens that must be finished before the request can be granted.
  static std::uint64_t ComputeShortfall(const Quota& quota,
                                        const proto::ReserveTokensRequest& request);
  void Reject(Quota& quota, const proto::ReserveTokensRequest& request, const Reply& reply);
  /// @return the allowance granted in addition to the requested tokens; 0 while others wait.
  std::uint64_t ComputeAllowance(const Quota& quota,
                                 const proto::ReserveTokensRequest& request) const;
  bool IsFullyCounted(const Quota& quota) const;
  /// Whether capacity is expected to be free before the request stops waiting.
  static bool ShouldWait(const Quota& quota, const proto::ReserveTokensRequest& request);
  void ScheduleCount(const QuotaKey& key, const QuotaPtr& quota);
  void StartCount(const QuotaKey& key, const QuotaPtr& quota);
  /// @return the count request for each owner of partitions.
  std::map<NodeId, proto::CountOpenTokensRequest> MakeCountRequests(const QuotaKey& key) const;
  void RequestCount(const QuotaKey& key, const QuotaPtr& quota, NodeId owner,
                    const proto::CountOpenTokensRequest& request);
  void HandleCounts(const QuotaKey& key, const QuotaPtr& quota,
                    const Result<proto::CountOpenTokensResponse>& counts);
  void CompleteCount(const QuotaKey& key, const QuotaPtr& quota);
  void AnswerWaiting(const QuotaKey& key, const QuotaPtr& quota);

  Environment& environment_;
  NodeAgent& agent_;
  CountLocal count_local_;
  std::map<QuotaKey, QuotaPtr> quotas_;
};

}  // namespace cloverbank
