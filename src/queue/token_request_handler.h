#pragma once
/// @file
/// Answers other queue nodes about the limits of open tokens: reservations where this node is the
/// quota owner, and counts at its own partitions.
///
/// Threads: the owner's event loop only.

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

  /// As `TokenQuotaOwner::Reserve`; kUnavailable without the lease, kConflict
  /// (`MakeNotOwnerStatus`) if the quota's partition is not owned here.
  void ReserveTokens(const proto::ReserveTokensRequest& request,
                     const TokenQuotaOwner::Reply& reply);
  /// Never refuses: partitions that this node does not own are left out.
  void CountOpenTokens(const proto::CountOpenTokensRequest& request,
                       const std::function<void(Result<proto::CountOpenTokensResponse>)>& reply);
  /// @return the open tokens of those partitions of the request that this node owns.
  proto::CountOpenTokensResponse CountOwnTokens(const proto::CountOpenTokensRequest& request);

 private:
  NodeAgent& agent_;
  const PartitionOwnership& ownership_;
  TokenQuotaOwner& quota_owner_;
  TokenReserver& reserver_;
};

}  // namespace cloverbank
