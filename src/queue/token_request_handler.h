#pragma once
/// @file
/// Answers requests of other queue nodes about the limits of open tokens: reservations, for which
/// this node is the quota owner, and counts of the open tokens in this node's partitions.
///
/// Threads: the owner's event loop only; replies run there too.

#include <functional>

#include "control_client/node_agent.h"
#include "proto/batch.pb.h"
#include "queue/partition_ownership.h"
#include "token_quota/token_quota_owner.h"
#include "token_quota/token_reserver.h"

namespace cloverbank {

class TokenRequestHandler {
 public:
  TokenRequestHandler(NodeAgent& agent, const PartitionOwnership& ownership,
                      TokenQuotaOwner& quota_owner, TokenReserver& reserver);

  /// Calls `TokenQuotaOwner::Reserve`. Fails with kUnavailable if the node has no valid lease, and
  /// with kConflict (`MakeNotOwnerStatus`) if it does not own the partition of the request.
  void ReserveTokens(const proto::ReserveTokensRequest& request,
                     const TokenQuotaOwner::Reply& reply);
  /// Never fails: leaves out partitions that this node may not answer for, because it does not own
  /// them or has no valid lease. Replies before it returns.
  void CountOpenTokens(const proto::CountOpenTokensRequest& request,
                       const std::function<void(Result<proto::CountOpenTokensResponse>)>& reply);
  /// Counts open tokens and records the counts at the reserver.
  /// @return the open tokens in each partition of the request that this node may answer for.
  proto::CountOpenTokensResponse CountOwnTokens(const proto::CountOpenTokensRequest& request);

 private:
  NodeAgent& agent_;
  const PartitionOwnership& ownership_;
  TokenQuotaOwner& quota_owner_;
  TokenReserver& reserver_;
};

}  // namespace cloverbank
