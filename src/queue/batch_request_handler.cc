#include "queue/batch_request_handler.h"

#include <utility>

#include "batches/list_cursor.h"

namespace cloverbank {
namespace {

Status MakeNoBatchStatus(const std::string& batch_id) {
  return {StatusCode::kNotFound, "there is no batch \"" + batch_id + "\""};
}

/// Runs `handle` with the partition, or replies with the error of `PartitionOwnership::Require` if
/// this node may not answer for it.
template <typename Response, typename Handle>
void WithPartition(const PartitionOwnership& ownership, std::uint64_t partition_id,
                   const BatchRequestHandler::Reply<Response>& reply, const Handle& handle) {
  const auto partition = ownership.Require(partition_id);
  if (partition.ok()) {
    handle(*partition);
  } else {
    reply(partition.status());
  }
}

/// Replies with the result of `read` on the partition's store; see `WithPartition`.
template <typename Response, typename Read>
void AnswerFromStore(const PartitionOwnership& ownership, std::uint64_t partition_id,
                     const BatchRequestHandler::Reply<Response>& reply, const Read& read) {
  WithPartition(ownership, partition_id, reply,
                [&](const auto& partition) { reply(read(partition->store())); });
}

/// The same for a request about one batch, which must not be another tenant's. `read` gets the
/// store and the id that the batch has there.
template <typename Response, typename Request, typename Read>
void AnswerAboutBatch(const PartitionOwnership& ownership, const Request& request,
                      const BatchRequestHandler::Reply<Response>& reply, const Read& read) {
  AnswerFromStore(
      ownership, request.partition_id(), reply, [&](const BatchStore& store) -> Result<Response> {
        const StoredBatch* batch = store.FindOfTenant(request.tenant(), request.batch_id());
        if (batch == nullptr) {
          return MakeNoBatchStatus(request.batch_id());
        }
        return read(store, batch->accepted.batch_id());
      });
}

}  // namespace

BatchRequestHandler::BatchRequestHandler(Environment& environment, const NodeAgent& agent,
                                         const PartitionOwnership& ownership, BatchIntake& intake,
                                         WorkDispatcher& dispatcher)
    : environment_(environment),
      agent_(agent),
      ownership_(ownership),
      intake_(intake),
      dispatcher_(dispatcher) {}

void BatchRequestHandler::Submit(const proto::SubmitBatchRequest& request,
                                 const Reply<proto::SubmitBatchResponse>& reply) {
  WithPartition(ownership_, request.partition_id(), reply,
                [&](const auto& partition) { intake_.Submit(partition, request, reply); });
}

void BatchRequestHandler::FindSubmission(const proto::SubmitBatchRequest& request,
                                         const Reply<proto::SubmitBatchResponse>& reply) {
  WithPartition(ownership_, request.partition_id(), reply,
                [&](const auto& partition) { intake_.FindSubmission(*partition, request, reply); });
}

void BatchRequestHandler::Get(const proto::GetBatchRequest& request,
                              const Reply<proto::GetBatchResponse>& reply) {
  AnswerAboutBatch(
      ownership_, request, reply,
      [](const BatchStore& store, const std::string& batch_id) -> Result<proto::GetBatchResponse> {
        proto::GetBatchResponse response;
        *response.mutable_status() = store.Find(batch_id)->ToStatus();
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
                   [&](const BatchStore& store,
                       const std::string& batch_id) -> Result<proto::ListResultsResponse> {
                     auto list = store.ListResults(batch_id, request.cursor(), request.limit());
                     if (!list.ok()) {
                       return list.status();
                     }
                     CountIfBeyondEnd(*store.Find(batch_id), request.cursor());
                     proto::ListResultsResponse response;
                     *response.mutable_list() = std::move(*list);
                     response.set_owner_node_id(agent_.node_id().value());
                     return response;
                   });
}

void BatchRequestHandler::CountIfBeyondEnd(const StoredBatch& batch, const std::string& cursor) {
  const Result<std::uint64_t> position = ParseCursor(cursor);
  if (position.ok() && *position > batch.results.size()) {
    environment_.metrics().Increment("queue_reads_beyond_end_total");
  }
}

void BatchRequestHandler::GetItem(const proto::GetItemRequest& request,
                                  const Reply<proto::GetItemResponse>& reply) {
  AnswerAboutBatch(
      ownership_, request, reply,
      [&](const BatchStore& store, const std::string& batch_id) -> Result<proto::GetItemResponse> {
        auto item = store.FindOpenItem(batch_id, request.custom_id());
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
  WithPartition(ownership_, request.partition_id(), reply, [&](const auto& partition) {
    const StoredBatch* batch =
        partition->store().FindOfTenant(request.tenant(), request.batch_id());
    if (batch == nullptr) {
      reply(MakeNoBatchStatus(request.batch_id()));
    } else {
      dispatcher_.Cancel(partition, batch->accepted.batch_id(), reply);
    }
  });
}

}  // namespace cloverbank
