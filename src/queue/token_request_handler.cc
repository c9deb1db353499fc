#include "queue/token_request_handler.h"

namespace cloverbank {

TokenRequestHandler::TokenRequestHandler(NodeAgent& agent, const PartitionOwnership& ownership,
                                         TokenQuotaOwner& quota_owner, TokenReserver& reserver)
    : agent_(agent), ownership_(ownership), quota_owner_(quota_owner), reserver_(reserver) {}

void TokenRequestHandler::ReserveTokens(const proto::ReserveTokensRequest& request,
                                        const TokenQuotaOwner::Reply& reply) {
  const auto partition = ownership_.Require(request.partition_id());
  if (!partition.ok()) {
    reply(partition.status());
    return;
  }
  quota_owner_.Reserve(request, reply);
}

void TokenRequestHandler::CountOpenTokens(
    const proto::CountOpenTokensRequest& request,
    const std::function<void(Result<proto::CountOpenTokensResponse>)>& reply) {
  reply(CountOwnTokens(request));
}

proto::CountOpenTokensResponse TokenRequestHandler::CountOwnTokens(
    const proto::CountOpenTokensRequest& request) {
  proto::CountOpenTokensResponse response;
  response.set_owner_node_id(agent_.node_id().value());
  response.set_completed_below(reserver_.completed_below());
  for (const std::uint64_t sequence : reserver_.PendingRequests()) {
    response.add_pending(sequence);
  }
  for (const std::uint64_t id : request.partition_ids()) {
    const auto partition = ownership_.Require(id);
    if (partition.ok()) {
      proto::OpenTokens& count = *response.add_counts();
      count.set_partition_id(id);
      count.set_tokens((*partition)->CountOpenTokens(request.tenant(), request.route()));
      reserver_.RecordCount(PartitionId(id), request.tenant(), request.route(), count.tokens());
    }
  }
  return response;
}

}  // namespace cloverbank
