#include "queue/batch_request_handler.h"

#include <utility>

namespace cloverbank {

BatchRequestHandler::BatchRequestHandler(const PartitionOwnership& ownership, BatchIntake& intake,
                                         WorkDispatcher& dispatcher)
    : ownership_(ownership), intake_(intake), dispatcher_(dispatcher) {}

void BatchRequestHandler::Submit(const proto::SubmitBatchRequest& request,
                                 const Reply<proto::SubmitBatchResponse>& reply) {
  const auto partition = ownership_.Require(request.partition_id());
  if (!partition.ok()) {
    reply(partition.status());
    return;
  }
  intake_.Submit(*partition, request, reply);
}

void BatchRequestHandler::Get(const proto::GetBatchRequest& request,
                              const Reply<proto::GetBatchResponse>& reply) {
  const auto partition = ownership_.Require(request.partition_id());
  if (!partition.ok()) {
    reply(partition.status());
    return;
  }
  const StoredBatch* batch = (*partition)->store().Find(request.batch_id());
  if (batch == nullptr) {
    reply(Status(StatusCode::kNotFound, "no batch " + request.batch_id()));
    return;
  }
  proto::GetBatchResponse response;
  *response.mutable_status() = batch->ToStatus();
  reply(std::move(response));
}

void BatchRequestHandler::ListBatches(const proto::ListBatchesRequest& request,
                                      const Reply<proto::ListBatchesResponse>& reply) {
  const auto partition = ownership_.Require(request.partition_id());
  if (!partition.ok()) {
    reply(partition.status());
    return;
  }
  auto list =
      (*partition)->store().ListBatches(request.tenant(), request.cursor(), request.limit());
  if (!list.ok()) {
    reply(list.status());
    return;
  }
  proto::ListBatchesResponse response;
  *response.mutable_list() = std::move(*list);
  reply(std::move(response));
}

void BatchRequestHandler::ListResults(const proto::ListResultsRequest& request,
                                      const Reply<proto::ListResultsResponse>& reply) {
  const auto partition = ownership_.Require(request.partition_id());
  if (!partition.ok()) {
    reply(partition.status());
    return;
  }
  auto list =
      (*partition)->store().ListResults(request.batch_id(), request.cursor(), request.limit());
  if (!list.ok()) {
    reply(list.status());
    return;
  }
  proto::ListResultsResponse response;
  *response.mutable_list() = std::move(*list);
  reply(std::move(response));
}

void BatchRequestHandler::GetItem(const proto::GetItemRequest& request,
                                  const Reply<proto::GetItemResponse>& reply) {
  const auto partition = ownership_.Require(request.partition_id());
  if (!partition.ok()) {
    reply(partition.status());
    return;
  }
  auto item = (*partition)->store().OpenItem(request.batch_id(), request.custom_id());
  if (!item.ok()) {
    reply(item.status());
    return;
  }
  proto::GetItemResponse response;
  *response.mutable_item() = std::move(*item);
  reply(std::move(response));
}

void BatchRequestHandler::Cancel(const proto::CancelBatchRequest& request,
                                 const Reply<proto::CancelBatchResponse>& reply) {
  const auto partition = ownership_.Require(request.partition_id());
  if (!partition.ok()) {
    reply(partition.status());
    return;
  }
  dispatcher_.Cancel(*partition, request.batch_id(), reply);
}

}  // namespace cloverbank
