#pragma once
/// @file
/// Keeps the limit of open tokens of a tenant's routes over all partitions. The owner of the
/// tenant's partition is the keeper; owners of other partitions ask it before they take a batch.
/// Nothing of it is durable: a new keeper counts at all partitions before its first grant.
///
/// A grant needs no count while the upper bound leaves room. Otherwise all owners are asked, at
/// most once in a short while. A request may wait for room if it is likely to come in time, as far
/// as the rate at which tokens are finished tells. Room is given in the order of first attempts:
/// a batch that was refused is told when to come again and keeps its place until then.
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
  /// Counts at this node's own partitions.
  using CountLocal =
      std::function<proto::CountOpenTokensResponse(const proto::CountOpenTokensRequest& request)>;

  TokenQuotaOwner(Environment& environment, NodeAgent& agent, CountLocal count_local);

  /// Refuses kResourceExhausted over the limit, and kUnavailable while it can not be told what is
  /// open. The partition of the request must be owned by this node.
  void Reserve(const proto::ReserveTokensRequest& request, Reply reply);
  /// The node no longer owns the keeper's partition.
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
    TimePoint deadline{};    ///< Until it can be told what is open.
    TimePoint wait_until{};  ///< Until there is room.
  };
  struct Limit {
    PartitionId partition;  ///< The keeper's.
    TokenUsage usage;
    std::list<Waiting> waiting;
    QuotaWaitQueue wait_queue;  ///< Of those that wait, and of the refused that may come again.
    DrainRate drain_rate;
    std::uint64_t granted_since_count = 0;  ///< Since the last count.
    bool lent_allowance = false;  ///< Since the last count began; a new one takes it back.
    bool counting = false;
    int pending_answers = 0;  ///< Owners that have not answered the count under way.
    TimePoint count_started_at{};
    TimePoint last_count_started_at{};  ///< When the last count that has ended began.
  };
  using LimitPtr = std::shared_ptr<Limit>;

  /// @return the state of the limit that the request is for, made at its first request.
  LimitPtr& GetLimit(const QuotaKey& key, PartitionId partition);
  /// Whether a count that has just ended already says all that a new one could.
  bool HasFreshCount(const Limit& limit, TimePoint now) const;
  /// Grants if there is room for the request and for all that stand before it.
  static bool TryGrant(Limit& limit, const proto::ReserveTokensRequest& request,
                       std::uint64_t allowance);
  /// @return how many tokens must be finished first.
  static std::uint64_t ComputeShortfall(const Limit& limit,
                                        const proto::ReserveTokensRequest& request);
  void Reject(Limit& limit, const proto::ReserveTokensRequest& request, const Reply& reply);
  /// @return what the holder should get beside what it asks for; nothing while others wait.
  std::uint64_t ComputeAllowance(const Limit& limit,
                                 const proto::ReserveTokensRequest& request) const;
  bool IsFullyCounted(const Limit& limit) const;
  /// Whether room for the request is likely to come before it gives up waiting.
  static bool ShouldWait(const Limit& limit, const proto::ReserveTokensRequest& request);
  void ScheduleCount(const QuotaKey& key, const LimitPtr& limit);
  void StartCount(const QuotaKey& key, const LimitPtr& limit);
  /// @return what each owner of partitions is asked.
  std::map<NodeId, proto::CountOpenTokensRequest> MakeCountRequests(const QuotaKey& key) const;
  void RequestCount(const QuotaKey& key, const LimitPtr& limit, NodeId owner,
                    const proto::CountOpenTokensRequest& request);
  void HandleCounts(const QuotaKey& key, const LimitPtr& limit,
                    const Result<proto::CountOpenTokensResponse>& counts);
  void CompleteCount(const QuotaKey& key, const LimitPtr& limit);
  void AnswerWaiting(const QuotaKey& key, const LimitPtr& limit);

  Environment& environment_;
  NodeAgent& agent_;
  CountLocal count_local_;
  std::map<QuotaKey, LimitPtr> limits_;
};

}  // namespace cloverbank
