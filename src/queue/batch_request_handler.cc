#include "queue/batch_request_handler.h"

#include <utility>

namespace cloverbank {
namespace {

Status MakeNoBatchStatus(const std::string& batch_id) {
  return {StatusCode::kNotFound, "there is no batch \"" + batch_id + "\""};
}

/// Whether the request names a tenant and the batch belongs to another one.
template <typename Request>
bool IsOfAnotherTenant(const BatchStore& store, const Request& request) {
  const StoredBatch* batch = store.Find(request.batch_id());
  return batch != nullptr && !request.tenant().empty() &&
         batch->accepted.tenant() != request.tenant();
}

/// Replies with the result of `read` on the partition's store, or with the error of
/// `PartitionOwnership::Require` if this node may not answer for the partition.
template <typename Response, typename Read>
void AnswerFromStore(const PartitionOwnership& ownership, std::uint64_t partition_id,
                     const BatchRequestHandler::Reply<Response>& reply, const Read& read) {
  const auto partition = ownership.Require(partition_id);
  if (!partition.ok()) {
    reply(partition.status());
    return;
  }
  reply(read((*partition)->store()));
}

/// The same for a request about one batch, which must not be another tenant's.
template <typename Response, typename Request, typename Read>
void AnswerAboutBatch(const PartitionOwnership& ownership, const Request& request,
                      const BatchRequestHandler::Reply<Response>& reply, const Read& read) {
  AnswerFromStore(ownership, request.partition_id(), reply,
                  [&](const BatchStore& store) -> Result<Response> {
                    if (IsOfAnotherTenant(store, request)) {
                      return MakeNoBatchStatus(request.batch_id());
                    }
                    return read(store);
                  });
}

}  // namespace

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
  AnswerAboutBatch(
      ownership_, request, reply, [&](const BatchStore& store) -> Result<proto::GetBatchResponse> {
        const StoredBatch* batch = store.Find(request.batch_id());
        if (batch == nullptr) {
          return Status(StatusCode::kNotFound, "there is no batch \"" + request.batch_id() +
                                                   "\" in partition " +
                                                   std::to_string(request.partition_id()));
        }
        proto::GetBatchResponse response;
        *response.mutable_status() = batch->ToStatus();
        return response;
      });
}

void BatchRequestHandler::ListBatches(const proto::ListBatchesRequest& request,
                                      const Reply<proto::ListBatchesResponse>& reply) {
  AnswerFromStore(ownership_, request.partition_id(), reply,
                  [&](const BatchStore& store) -> Result<proto::ListBatchesResponse> {
                    auto list =
                        store.ListBatches(request.tenant(), request.cursor(), request.limit());
                    if (!list.ok()) {
                      return list.status();
                    }
                    proto::ListBatchesResponse response;
                    *response.mutable_list() = std::move(*list);
                    return response;
                  });
}

void BatchRequestHandler::ListResults(const proto::ListResultsRequest& request,
                                      const Reply<proto::ListResultsResponse>& reply) {
  AnswerAboutBatch(ownership_, request, reply,
                   [&](const BatchStore& store) -> Result<proto::ListResultsResponse> {
                     auto list =
                         store.ListResults(request.batch_id(), request.cursor(), request.limit());
                     if (!list.ok()) {
                       return list.status();
                     }
                     proto::ListResultsResponse response;
                     *response.mutable_list() = std::move(*list);
                     return response;
                   });
}

void BatchRequestHandler::GetItem(const proto::GetItemRequest& request,
                                  const Reply<proto::GetItemResponse>& reply) {
  AnswerAboutBatch(ownership_, request, reply,
                   [&](const BatchStore& store) -> Result<proto::GetItemResponse> {
                     auto item = store.FindOpenItem(request.batch_id(), request.custom_id());
                     if (!item.ok()) {
                       return item.status();
                     }
                     proto::GetItemResponse response;
                     *response.mutable_item() = std::move(*item);
                     return response;
                   });
}

void BatchRequestHandler::Cancel(const proto::CancelBatchRequest& request,
                                 const Reply<proto::CancelBatchResponse>& reply) {
  const auto partition = ownership_.Require(request.partition_id());
  if (!partition.ok()) {
    reply(partition.status());
    return;
  }
  if (IsOfAnotherTenant((*partition)->store(), request)) {
    reply(MakeNoBatchStatus(request.batch_id()));
    return;
  }
  dispatcher_.Cancel(*partition, request.batch_id(), reply);
}

}  // namespace cloverbank
