#include "gateway/batch_api.h"

#include <utility>
#include <vector>

#include "batch_work/batch_validation.h"
#include "calls/http_json.h"
#include "control_client/batch_partitions.h"
#include "control_client/overload_rejection.h"
#include "gateway/http_query.h"
#include "net/http_status.h"
#include "routes/route_match.h"
#include "routes/route_reference.h"

namespace cloverbank {
namespace {

constexpr Duration kReadDeadline = seconds(5);
/// Longer than most recoveries of a queue node, so that most changes outlast one.
constexpr Duration kChangeDeadline = seconds(10);
constexpr Duration kRetryAfter = seconds(1);
constexpr LimitRange kPageSizeRange = {.default_limit = 100, .maximum = 1000};
constexpr std::size_t kBatchIdSegment = 2;  // /v1/batches/{id}

/// Sets `value`, the content of `field`, from the header that may be sent instead of the field.
/// @return kInvalidArgument if both were sent and differ.
Status MergeHeader(const HttpRequest& request, std::string_view header, const std::string& field,
                   std::string* value) {
  const std::string_view header_value = FindHeader(request.headers, header);
  if (header_value.empty()) {
    return Status::Ok();
  }
  if (!value->empty() && *value != header_value) {
    return {StatusCode::kInvalidArgument, "the header " + std::string(header) + " and the field " +
                                              field + " differ; send one of them"};
  }
  *value = std::string(header_value);
  return Status::Ok();
}

Status ParseSubmission(const HttpRequest& request, proto::SubmitBatch* batch) {
  Status status = FromJson(request.body, batch);
  if (status.ok()) {
    status = MergeHeader(request, "X-Tenant", "tenant", batch->mutable_tenant());
  }
  if (status.ok()) {
    status = MergeHeader(request, "Idempotency-Key", "idempotency_key",
                         batch->mutable_idempotency_key());
  }
  if (status.ok() && batch->tenant().empty()) {
    return {StatusCode::kInvalidArgument,
            "the tenant is missing: send the header X-Tenant or the field tenant"};
  }
  if (status.ok() && batch->idempotency_key().empty()) {
    return {StatusCode::kInvalidArgument,
            "the idempotency key is missing: send the header Idempotency-Key or the field "
            "idempotency_key, and keep it when resending, so that the batch is accepted only once"};
  }
  return status;
}

void SendProblems(HttpResponder& responder, const std::vector<std::string>& problems) {
  proto::CallError error;
  error.set_code("invalid_batch");
  error.set_message(
      "no item of this batch was accepted; correct every problem listed. If this submission "
      "repeats one whose response was lost, first look for its batch in GET /v1/batches");
  error.set_executed(proto::EXECUTED_NO);
  for (const std::string& problem : problems) {
    error.add_problems(problem);
  }
  SendError(responder, 422, error);
}

/// A read changes nothing, so its failure is always reported as not executed.
void SendReadFailure(HttpResponder& responder, const Status& status) {
  SendStatus(responder, ToReadFailure(status), proto::EXECUTED_NO);
}

/// Sends the failure of a submission or cancellation.
/// @param advice what the client should do if the outcome is unknown; appended to the message.
void SendChangeFailure(HttpResponder& responder, const Status& status, const std::string& advice) {
  const int http_status = HttpStatusFor(status.code());
  const bool refused = http_status < 500 || status.code() == StatusCode::kUnavailable;
  proto::CallError error;
  error.set_code(std::string(StatusCodeName(status.code())));
  error.set_message(refused ? status.message() : status.message() + "; " + advice);
  error.set_executed(refused ? proto::EXECUTED_NO : proto::EXECUTED_UNKNOWN);
  if (http_status == 429 || http_status >= 500) {
    const Duration wait = RetryAfter(status).value_or(kRetryAfter);
    error.set_retry_after_ms(
        static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(wait).count()));
  }
  SendError(responder, http_status, error);
}

/// @return a handler that sends the field `body` of a read's response, or the read's failure.
template <typename Response, typename Body>
auto RespondToRead(const std::shared_ptr<HttpResponder>& responder,
                   const Body& (Response::*body)() const) {
  return [responder, body](const Result<Response>& result) {
    if (result.ok()) {
      SendJson(*responder, 200, ((*result).*body)());
    } else {
      SendReadFailure(*responder, result.status());
    }
  };
}

}  // namespace

BatchApi::BatchApi(Environment& environment, HttpRouter& router, NodeAgent& agent)
    : environment_(environment),
      agent_(agent),
      owners_(environment, agent,
              Status(StatusCode::kInternal, "the response of the queue node cannot be parsed")) {
  const auto handle = [this, &router](
                          std::string_view method, std::string_view pattern,
                          void (BatchApi::*handler)(const HttpRequest&, const Responder&)) {
    router.Handle(method, pattern,
                  [this, handler](const HttpRequest& request, const Responder& responder) {
                    (this->*handler)(request, responder);
                  });
  };
  handle("POST", "/v1/batches", &BatchApi::Submit);
  handle("GET", "/v1/batches", &BatchApi::List);
  handle("GET", "/v1/batches/{id}", &BatchApi::Get);
  handle("GET", "/v1/batches/{id}/results", &BatchApi::ListResults);
  handle("POST", "/v1/batches/{id}/cancel", &BatchApi::Cancel);
}

bool BatchApi::CheckServing(HttpResponder& responder) {
  if (!agent_.HasValidLease() || agent_.partition_count() == 0) {
    environment_.metrics().Increment("batch_request_refused_total", {{"reason", "node_lease"}});
    SendStatus(responder,
               Status(StatusCode::kLeaseExpired,
                      "this gateway has no valid lease from the coordinators, or does not know the "
                      "batch partitions yet; try another gateway, or retry later"),
               proto::EXECUTED_NO);
    return false;
  }
  return true;
}

bool BatchApi::ParseBatchId(const HttpRequest& request, HttpResponder& responder,
                            std::string* batch_id, PartitionId* partition) {
  if (!CheckServing(responder)) {
    return false;
  }
  *batch_id = std::string(PathSegment(request.path, kBatchIdSegment));
  const Result<PartitionId> parsed = ParseBatchPartition(*batch_id, agent_.partition_count());
  if (!parsed.ok()) {
    SendStatus(responder, parsed.status(), proto::EXECUTED_NO);
    return false;
  }
  *partition = *parsed;
  return true;
}

void BatchApi::Submit(const HttpRequest& request, const Responder& responder) {
  if (!CheckServing(*responder)) {
    return;
  }
  proto::SubmitBatchRequest submit;
  proto::SubmitBatch& batch = *submit.mutable_batch();
  const Status parsed = ParseSubmission(request, &batch);
  if (!parsed.ok()) {
    environment_.metrics().Increment("batch_request_refused_total", {{"reason", "malformed"}});
    SendStatus(*responder, parsed, proto::EXECUTED_NO);
    return;
  }
  const std::vector<std::string> problems = FindBatchProblems(batch, agent_.configuration());
  submit.set_partition_id(PartitionForTenant(batch.tenant(), agent_.partition_count()).value());
  *submit.mutable_route_reference() = ReferenceByName(batch.route());
  if (!problems.empty()) {
    AnswerResendOrRefuse(submit, problems, responder);
    return;
  }
  submit.set_idempotent(FindRouteNamed(agent_.configuration(), batch.route())->idempotent());
  owners_.Call<proto::SubmitBatchResponse>(
      "queue.SubmitBatch", submit, kChangeDeadline,
      [responder](const Result<proto::SubmitBatchResponse>& result) {
        if (result.ok()) {
          SendJson(*responder, result->resent() ? 200 : 201, result->status());
        } else {
          SendChangeFailure(*responder, result.status(),
                            "send the same batch again with the same idempotency key, to any "
                            "gateway: it is accepted only once");
        }
      });
}

void BatchApi::AnswerResendOrRefuse(const proto::SubmitBatchRequest& submit,
                                    const std::vector<std::string>& problems,
                                    const Responder& responder) {
  const auto refuse = [this, problems, responder] {
    environment_.metrics().Increment("batch_request_refused_total", {{"reason", "invalid"}});
    SendProblems(*responder, problems);
  };
  if (!FindContentProblems(submit.batch()).empty()) {
    refuse();
    return;
  }
  owners_.Call<proto::SubmitBatchResponse>(
      "queue.FindSubmission", submit, kReadDeadline,
      [responder, refuse](const Result<proto::SubmitBatchResponse>& result) {
        const StatusCode code = result.status().code();
        if (result.ok()) {
          SendJson(*responder, kHttpOk, result->status());
        } else if (code == StatusCode::kNotFound || code == StatusCode::kConflict) {
          refuse();
        } else {
          SendReadFailure(*responder, Status(StatusCode::kUnavailable, result.status().message()));
        }
      });
}

void BatchApi::List(const HttpRequest& request, const Responder& responder) {
  if (!CheckServing(*responder)) {
    return;
  }
  std::string tenant(FindHeader(request.query, "tenant"));
  Status parsed = MergeHeader(request, "X-Tenant", "tenant", &tenant);
  const Result<std::uint32_t> limit = ParseLimit(request.query, kPageSizeRange);
  if (parsed.ok() && tenant.empty()) {
    parsed = Status(StatusCode::kInvalidArgument,
                    "the tenant is missing: send the header X-Tenant or the parameter tenant");
  }
  if (!parsed.ok() || !limit.ok()) {
    SendStatus(*responder, parsed.ok() ? limit.status() : parsed, proto::EXECUTED_NO);
    return;
  }
  proto::ListBatchesRequest list;
  list.set_partition_id(PartitionForTenant(tenant, agent_.partition_count()).value());
  list.set_tenant(tenant);
  list.set_cursor(std::string(FindHeader(request.query, "cursor")));
  list.set_limit(*limit);
  owners_.Call<proto::ListBatchesResponse>(
      "queue.ListBatches", list, kReadDeadline,
      RespondToRead(responder, &proto::ListBatchesResponse::list));
}

void BatchApi::Get(const HttpRequest& request, const Responder& responder) {
  std::string batch_id;
  PartitionId partition;
  if (!ParseBatchId(request, *responder, &batch_id, &partition)) {
    return;
  }
  proto::GetBatchRequest get;
  get.set_partition_id(partition.value());
  get.set_batch_id(batch_id);
  owners_.Call<proto::GetBatchResponse>("queue.GetBatch", get, kReadDeadline,
                                        RespondToRead(responder, &proto::GetBatchResponse::status));
}

void BatchApi::ListResults(const HttpRequest& request, const Responder& responder) {
  std::string batch_id;
  PartitionId partition;
  if (!ParseBatchId(request, *responder, &batch_id, &partition)) {
    return;
  }
  const Result<std::uint32_t> limit = ParseLimit(request.query, kPageSizeRange);
  if (!limit.ok()) {
    SendStatus(*responder, limit.status(), proto::EXECUTED_NO);
    return;
  }
  proto::ListResultsRequest list;
  list.set_partition_id(partition.value());
  list.set_batch_id(batch_id);
  list.set_cursor(std::string(FindHeader(request.query, "cursor")));
  list.set_limit(*limit);
  owners_.Call<proto::ListResultsResponse>(
      "queue.ListResults", list, kReadDeadline,
      RespondToRead(responder, &proto::ListResultsResponse::list));
}

void BatchApi::Cancel(const HttpRequest& request, const Responder& responder) {
  std::string batch_id;
  PartitionId partition;
  if (!ParseBatchId(request, *responder, &batch_id, &partition)) {
    return;
  }
  proto::CancelBatchRequest cancel;
  cancel.set_partition_id(partition.value());
  cancel.set_batch_id(batch_id);
  owners_.Call<proto::CancelBatchResponse>(
      "queue.CancelBatch", cancel, kChangeDeadline,
      [responder](const Result<proto::CancelBatchResponse>& result) {
        if (result.ok()) {
          SendJson(*responder, 200, result->status());
        } else {
          SendChangeFailure(*responder, result.status(),
                            "send the cancellation again, to any gateway");
        }
      });
}

}  // namespace cloverbank
