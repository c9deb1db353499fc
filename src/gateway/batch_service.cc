#include "gateway/batch_service.h"

#include <utility>

#include "base/logging.h"
#include "control_client/batch_partitions.h"
#include "routes/route_reference.h"

namespace cloverbank {
namespace {

constexpr Duration kReadDeadline = milliseconds(900);
constexpr Duration kChangeDeadline = milliseconds(2500);
/// Fraction of a route's target time that a submission may wait for capacity.
constexpr double kSubmissionWaitRatio = 0.5;
constexpr std::uint32_t kMaximumPageSize = 1000;

/// @return the cursor of a list of results that starts at `position`; see queue/list_cursor.h.
std::string FormatCursor(std::uint64_t position) { return "p" + std::to_string(position); }

/// What is recorded about a submission: its route, its target and its size.
struct SubmissionInfo {
  std::string route;
  Duration target{};  ///< Time until it is accepted; zero: none.
  int items = 0;
  std::size_t bytes = 0;
};

/// Counts and logs a submission that was accepted late or not accepted.
void RecordSubmission(Environment& environment, const SubmissionInfo& info, Duration elapsed,
                      const Status& status) {
  const bool late = info.target > Duration::zero() && elapsed > info.target;
  if (status.ok() && !late) {
    return;
  }
  const std::string outcome(status.ok() ? "late" : StatusCodeName(status.code()));
  environment.metrics().Increment("gateway_submissions_late_or_refused_total",
                                  {{"route", info.route}, {"outcome", outcome}});
  Log(LogLevel::kInfo, "submission_late_or_refused",
      {{"route", info.route},
       {"outcome", outcome},
       {"taken_ms", std::chrono::duration_cast<milliseconds>(elapsed).count()},
       {"items", info.items},
       {"bytes", info.bytes},
       {"detail", status.message()}});
}

BatchResults ToResults(std::uint64_t position, proto::ResultList list) {
  BatchResults results;
  results.total = list.total();
  for (proto::ItemResult& item : *list.mutable_results()) {
    BatchResult result;
    result.item_id = std::move(*item.mutable_custom_id());
    result.completed = item.outcome() == proto::ITEM_OUTCOME_SUCCEEDED;
    if (result.completed) {
      result.text = std::move(*item.mutable_output());
    }
    results.results.push_back(std::move(result));
  }
  results.next = position + results.results.size();
  return results;
}

}  // namespace

BatchService::BatchService(Environment& environment, NodeAgent& agent)
    : environment_(environment),
      agent_(agent),
      owners_(
          environment, agent,
          Status(StatusCode::kUnknownOutcome, "the response of the queue node cannot be parsed")) {}

Status BatchService::CheckServing() const {
  if (agent_.HasValidLease() && agent_.partition_count() > 0) {
    return Status::Ok();
  }
  return {StatusCode::kUnavailable,
          "this gateway has no valid lease from the coordinators, or does not know the batch "
          "partitions yet; try another gateway"};
}

std::uint64_t BatchService::FindPartition(std::string_view host, std::string_view batch_id) const {
  return PartitionForNamedBatch(host, batch_id, agent_.partition_count()).value();
}

proto::SubmitBatchRequest BatchService::MakeRequest(BatchSubmission submission) const {
  proto::SubmitBatchRequest request;
  request.set_partition_id(FindPartition(submission.host, submission.batch_id));
  request.set_idempotent(true);
  *request.mutable_route_reference() = ReferenceByPath(submission.host, submission.path);
  proto::SubmitBatch& batch = *request.mutable_batch();
  batch.set_tenant(submission.host);
  batch.set_batch_id(submission.batch_id);
  batch.set_idempotency_key(submission.batch_id);
  for (proto::BatchItem& item : submission.items) {
    *batch.add_items() = std::move(item);
  }
  return request;
}

void BatchService::Submit(const proto::Route& route, BatchSubmission submission,
                          Done<proto::BatchStatus> done) {
  if (Status serving = CheckServing(); !serving.ok()) {
    done(std::move(serving));
    return;
  }
  proto::SubmitBatchRequest request = MakeRequest(std::move(submission));
  request.set_quota_key(route.path_prefix());
  request.set_wait_ms(static_cast<std::uint32_t>(route.target_ms() * kSubmissionWaitRatio));
  request.mutable_batch()->set_route(route.name());
  request.mutable_batch()->set_open_token_limit(route.batch_open_tokens());
  owners_.Call<proto::SubmitBatchResponse>(
      "queue.SubmitBatch", request, kChangeDeadline,
      [this, sent_at = environment_.Now(), route_name = route.name(), target = route.target_ms(),
       items = request.batch().items_size(), bytes = request.ByteSizeLong(),
       done = std::move(done)](Result<proto::SubmitBatchResponse> result) {
        RecordSubmission(environment_,
                         SubmissionInfo{route_name, milliseconds(target), items, bytes},
                         environment_.Now() - sent_at, result.status());
        if (result.ok()) {
          done(std::move(*result->mutable_status()));
        } else {
          done(result.status());
        }
      });
}

void BatchService::FindAccepted(BatchSubmission submission, Done<proto::BatchStatus> done) {
  if (Status serving = CheckServing(); !serving.ok()) {
    done(std::move(serving));
    return;
  }
  owners_.Call<proto::SubmitBatchResponse>(
      "queue.FindSubmission", MakeRequest(std::move(submission)), kReadDeadline,
      [done = std::move(done)](Result<proto::SubmitBatchResponse> result) {
        if (result.ok()) {
          done(std::move(*result->mutable_status()));
        } else if (result.status().code() == StatusCode::kConflict) {
          done(Status(StatusCode::kNotFound, "the accepted batch of this id has other content"));
        } else {
          done(result.status());
        }
      });
}

void BatchService::Read(const std::string& host, const std::string& batch_id,
                        std::uint64_t position, Done<BatchResults> done) {
  if (Status serving = CheckServing(); !serving.ok()) {
    done(std::move(serving));
    return;
  }
  proto::ListResultsRequest request;
  request.set_partition_id(FindPartition(host, batch_id));
  request.set_batch_id(batch_id);
  request.set_tenant(host);
  request.set_cursor(FormatCursor(position));
  request.set_limit(kMaximumPageSize);
  WitnessedBatch batch{host, batch_id};
  const std::uint64_t shown_before = witness_.CountShown(batch);
  owners_.Call<proto::ListResultsResponse>(
      "queue.ListResults", request, kReadDeadline,
      [this, position, batch = std::move(batch), shown_before,
       done = std::move(done)](Result<proto::ListResultsResponse> result) {
        if (!result.ok()) {
          done(result.status());
          return;
        }
        const std::uint64_t owner = result->owner_node_id();
        BatchResults page = ToResults(position, std::move(*result->mutable_list()));
        CheckAgainstEarlierReads(batch, owner, position, shown_before, page);
        done(std::move(page));
      });
}

void BatchService::CheckAgainstEarlierReads(const WitnessedBatch& batch, std::uint64_t owner,
                                            std::uint64_t position, std::uint64_t shown_before,
                                            const BatchResults& page) {
  ShownPage shown{position, owner, {}};
  shown.results.reserve(page.results.size());
  for (const BatchResult& result : page.results) {
    shown.results.push_back({result.item_id, result.completed, result.text});
  }
  const std::optional<ResultContradiction> found = witness_.Record(batch, shown, shown_before);
  if (!found) {
    return;
  }
  const std::string_view kind = ContradictionKindName(found->kind);
  environment_.metrics().Increment("gateway_batch_results_contradicted_total", {{"kind", kind}});
  const std::uint64_t index = found->position - position;
  Log(LogLevel::kError, "batch_results_contradicted",
      {{"batch", batch.id},
       {"kind", kind},
       {"position", found->position},
       {"earlier_position", found->earlier_position},
       {"item", index < page.results.size() ? page.results[index].item_id : ""},
       {"owner", owner},
       {"earlier_owner", found->earlier_owner}});
}

void BatchService::ReadItem(const std::string& host, const std::string& batch_id,
                            const std::string& item_id, Done<proto::BatchItem> done) {
  if (Status serving = CheckServing(); !serving.ok()) {
    done(std::move(serving));
    return;
  }
  proto::GetItemRequest request;
  request.set_partition_id(FindPartition(host, batch_id));
  request.set_batch_id(batch_id);
  request.set_tenant(host);
  request.set_custom_id(item_id);
  owners_.Call<proto::GetItemResponse>(
      "queue.GetItem", request, kReadDeadline,
      [done = std::move(done)](Result<proto::GetItemResponse> result) {
        if (result.ok()) {
          done(std::move(*result->mutable_item()));
        } else {
          done(result.status());
        }
      });
}

void BatchService::End(const std::string& host, const std::string& batch_id,
                       Done<proto::BatchStatus> done) {
  if (Status serving = CheckServing(); !serving.ok()) {
    done(std::move(serving));
    return;
  }
  proto::CancelBatchRequest request;
  request.set_partition_id(FindPartition(host, batch_id));
  request.set_batch_id(batch_id);
  request.set_tenant(host);
  owners_.Call<proto::CancelBatchResponse>(
      "queue.CancelBatch", request, kChangeDeadline,
      [done = std::move(done)](Result<proto::CancelBatchResponse> result) {
        if (result.ok()) {
          done(std::move(*result->mutable_status()));
        } else {
          done(result.status());
        }
      });
}

}  // namespace cloverbank
