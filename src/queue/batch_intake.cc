#include "queue/batch_intake.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <unordered_set>

#include "base/checksum.h"
#include "batches/submission_identity.h"

namespace cloverbank {
namespace {

/// Limit of the summed item sizes in one BatchItems entry. A larger item gets an entry of its own.
constexpr std::size_t kMaxItemsEntryBytes = 128U << 10U;
/// BatchItems entries in one append. A large batch takes several appends, so that entries of other
/// batches can be logged between them.
constexpr std::size_t kMaxEntriesPerAppend = 8;

Status MakeInvalidStatus(const std::string& message) {
  return {StatusCode::kInvalidArgument, message};
}

Status MakeKeyReusedStatus(const std::string& key) {
  return {StatusCode::kConflict,
          "idempotency key \"" + key + "\" was used for another batch; choose a new one"};
}

std::uint64_t SumTokens(const proto::SubmitBatch& batch) {
  std::uint64_t tokens = 0;
  for (const proto::BatchItem& item : batch.items()) {
    tokens += item.tokens();
  }
  return tokens;
}

const proto::Tenant* FindTenant(const proto::RoutingConfiguration& configuration,
                                const std::string& name) {
  for (const proto::Tenant& tenant : configuration.tenants()) {
    if (tenant.name() == name) {
      return &tenant;
    }
  }
  return nullptr;
}

}  // namespace

BatchIntake::BatchIntake(Environment& environment, NodeAgent& agent, SegmentLog& log,
                         ReserveTokens reserve_tokens, OnAccepted on_accepted)
    : environment_(environment),
      agent_(agent),
      log_(log),
      reserve_tokens_(std::move(reserve_tokens)),
      on_accepted_(std::move(on_accepted)) {}

Status BatchIntake::CheckContent(const proto::SubmitBatch& batch) const {
  if (batch.tenant().empty() || batch.route().empty() || batch.items().empty()) {
    return MakeInvalidStatus(
        "a batch needs a tenant, a route and at least one item; this one has tenant \"" +
        batch.tenant() + "\", route \"" + batch.route() + "\" and " +
        std::to_string(batch.items_size()) + " items");
  }
  std::unordered_set<std::string_view> custom_ids;
  for (const proto::BatchItem& item : batch.items()) {
    if (!custom_ids.insert(item.custom_id()).second) {
      return MakeInvalidStatus("custom_id \"" + item.custom_id() +
                               "\" is used by more than one item");
    }
    if (item.ByteSizeLong() > log_.largest_entry() / 2) {
      return MakeInvalidStatus("item \"" + item.custom_id() + "\" has " +
                               std::to_string(item.ByteSizeLong()) + " bytes; at most " +
                               std::to_string(log_.largest_entry() / 2) + " are allowed");
    }
  }
  return Status::Ok();
}

Status BatchIntake::CheckItemLimit(const OwnedPartition& partition,
                                   const proto::SubmitBatch& batch) const {
  const proto::Tenant* tenant = FindTenant(agent_.configuration(), batch.tenant());
  if (tenant == nullptr || tenant->max_open_items() == 0) {
    return Status::Ok();
  }
  const std::uint64_t open_items = partition.CountOpenItems(batch.tenant());
  const auto submitted_items = static_cast<std::uint64_t>(batch.items_size());
  if (open_items + submitted_items <= tenant->max_open_items()) {
    return Status::Ok();
  }
  return {StatusCode::kResourceExhausted,
          "tenant \"" + batch.tenant() + "\" has " + std::to_string(open_items) +
              " unfinished items; " + std::to_string(submitted_items) +
              " more would exceed its limit of " + std::to_string(tenant->max_open_items()) +
              "; submit again when some are finished"};
}

Status BatchIntake::CheckAcceptable(const OwnedPartition& partition,
                                    const proto::SubmitBatch& batch) const {
  if (Status status = CheckContent(batch); !status.ok()) {
    return status;
  }
  if (Status status = CheckItemLimit(partition, batch); !status.ok()) {
    return status;
  }
  return log_.Accepting();
}

bool BatchIntake::JoinEarlierSubmission(const OwnedPartition& partition, const SubmissionKey& key,
                                        const proto::SubmitBatchRequest& request,
                                        std::uint64_t content_checksum, Reply& reply) {
  const std::string& idempotency_key = key.idempotency_key;
  if (idempotency_key.empty()) {
    return false;
  }
  const auto pending = pending_.find(key);
  if (pending != pending_.end()) {
    if (IsResend(request, content_checksum, pending->second->accepted)) {
      pending->second->replies.push_back(std::move(reply));
    } else {
      reply(MakeKeyReusedStatus(idempotency_key));
    }
    return true;
  }
  const StoredBatch* earlier = partition.store().FindByKey(key.tenant, idempotency_key);
  if (earlier == nullptr) {
    return false;
  }
  if (!IsResend(request, content_checksum, *earlier)) {
    reply(MakeKeyReusedStatus(idempotency_key));
    return true;
  }
  proto::SubmitBatchResponse response;
  *response.mutable_status() = earlier->ToStatus();
  response.set_resent(true);
  reply(std::move(response));
  return true;
}

bool BatchIntake::IsIdInUse(const OwnedPartition& partition, const std::string& batch_id) const {
  const bool pending = std::any_of(pending_.begin(), pending_.end(), [&](const auto& entry) {
    return entry.first.partition == partition.id() && entry.second->accepted.batch_id() == batch_id;
  });
  return pending || partition.store().Find(batch_id) != nullptr;
}

bool BatchIntake::HasUsedId(const OwnedPartition& partition,
                            const proto::SubmitBatch& batch) const {
  if (batch.batch_id().empty()) {
    return false;
  }
  const bool pending = std::any_of(pending_.begin(), pending_.end(), [&](const auto& entry) {
    return entry.first.partition == partition.id() && entry.first.tenant == batch.tenant() &&
           entry.second->batch.batch_id() == batch.batch_id();
  });
  return pending || partition.store().FindOfTenant(batch.tenant(), batch.batch_id()) != nullptr;
}

void BatchIntake::Submit(const std::shared_ptr<OwnedPartition>& partition,
                         proto::SubmitBatchRequest request, Reply reply) {
  const proto::SubmitBatch& batch = request.batch();
  const std::uint64_t content_checksum = ContentChecksum(request);
  const SubmissionKey key{partition->id(), batch.tenant(), batch.idempotency_key()};
  if (JoinEarlierSubmission(*partition, key, request, content_checksum, reply)) {
    return;
  }
  if (HasUsedId(*partition, batch)) {
    reply(Status(StatusCode::kConflict,
                 "batch id \"" + batch.batch_id() + "\" was used for another batch"));
    return;
  }
  if (Status status = CheckAcceptable(*partition, batch); !status.ok()) {
    reply(std::move(status));
    return;
  }
  const SubmissionPtr submission = StartSubmission(partition, std::move(request), content_checksum);
  submission->replies.push_back(std::move(reply));
  if (!key.idempotency_key.empty()) {
    pending_[key] = submission;
  }
  if (submission->batch.open_token_limit() == 0) {
    LogNextEntries(submission);
  } else {
    ReserveTokensAndLog(submission);
  }
}

void BatchIntake::FindSubmission(OwnedPartition& partition,
                                 const proto::SubmitBatchRequest& request, Reply reply) {
  const proto::SubmitBatch& batch = request.batch();
  const SubmissionKey key{partition.id(), batch.tenant(), batch.idempotency_key()};
  if (!JoinEarlierSubmission(partition, key, request, ContentChecksum(request), reply)) {
    reply(Status(StatusCode::kNotFound, "no such batch was accepted"));
  }
}

void BatchIntake::ReserveTokensAndLog(const SubmissionPtr& submission) {
  reserve_tokens_(
      submission->partition->id(), submission->batch, submission->reservation,
      [weak = weak_from_this(), submission](const Status& status) {
        if (const auto self = weak.lock()) {
          self->HandleTokensReserved(submission, status);
        } else {
          AnswerFailed(
              *submission,
              status.ok()
                  ? Status(StatusCode::kUnavailable,
                           "this queue node's incarnation ended before the tokens were reserved")
                  : status);
        }
      });
}

void BatchIntake::HandleTokensReserved(const SubmissionPtr& submission, const Status& status) {
  if (!status.ok()) {
    Complete(submission, status);
    return;
  }
  submission->tokens_reserved = true;
  submission->partition->ReserveTokens(submission->accepted.tenant(),
                                       submission->reservation.quota_key,
                                       submission->reservation.tokens);
  LogNextEntries(submission);
}

BatchIntake::SubmissionPtr BatchIntake::StartSubmission(
    const std::shared_ptr<OwnedPartition>& partition, proto::SubmitBatchRequest request,
    std::uint64_t content_checksum) {
  auto submission = std::make_shared<Submission>();
  submission->partition = partition;
  submission->batch = std::move(*request.mutable_batch());
  proto::BatchAccepted& accepted = submission->accepted;
  SetBatchId(*partition, submission->batch.batch_id(), &accepted);
  accepted.set_tenant(submission->batch.tenant());
  accepted.set_idempotency_key(submission->batch.idempotency_key());
  accepted.set_route(submission->batch.route());
  accepted.set_item_count(static_cast<std::uint64_t>(submission->batch.items_size()));
  accepted.set_request_checksum(Checksum(submission->batch.SerializeAsString()));
  accepted.set_content_checksum(content_checksum);
  accepted.set_quota_key(request.quota_key());
  accepted.set_idempotent(request.idempotent());
  if (request.has_route_reference()) {
    *accepted.mutable_route_reference() = std::move(*request.mutable_route_reference());
  }
  submission->reservation.quota_key =
      request.quota_key().empty() ? accepted.route() : request.quota_key();
  submission->reservation.tokens = SumTokens(submission->batch);
  submission->reservation.max_wait = milliseconds(request.wait_ms());
  partition->ReserveItems(accepted.tenant(), accepted.item_count());
  return submission;
}

void BatchIntake::SetBatchId(const OwnedPartition& partition, const std::string& requested_id,
                             proto::BatchAccepted* accepted) {
  if (!requested_id.empty() && !IsIdInUse(partition, requested_id)) {
    accepted->set_batch_id(requested_id);
    return;
  }
  accepted->set_batch_id(MakeBatchId(partition));
  accepted->set_client_batch_id(requested_id);
}

std::string BatchIntake::MakeBatchId(const OwnedPartition& partition) {
  std::array<char, 16> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), environment_.Random(), 16);
  return partition.id().ToString() + "-" + std::string(digits.data(), end.ptr);
}

proto::LogEntry BatchIntake::MakeItemsEntry(Submission& submission) const {
  proto::LogEntry entry;
  proto::BatchItems& items = *entry.mutable_batch_items();
  items.set_batch_id(submission.accepted.batch_id());
  items.set_first_index(static_cast<std::uint64_t>(submission.next_item));
  const std::size_t max_bytes =
      std::min<std::size_t>(kMaxItemsEntryBytes, log_.largest_entry() / 2);
  std::size_t bytes = 0;
  while (submission.next_item < submission.batch.items_size() && bytes < max_bytes) {
    proto::BatchItem& item = *submission.batch.mutable_items(submission.next_item);
    bytes += item.ByteSizeLong();
    if (bytes > max_bytes && items.items_size() > 0) {
      break;
    }
    *items.add_items() = std::move(item);
    ++submission.next_item;
  }
  return entry;
}

void BatchIntake::LogNextEntries(const SubmissionPtr& submission) {
  std::vector<proto::LogEntry> entries;
  const int item_count = submission->batch.items_size();
  while (submission->next_item < item_count && entries.size() < kMaxEntriesPerAppend) {
    entries.push_back(MakeItemsEntry(*submission));
  }
  const bool is_last = submission->next_item == item_count;
  if (is_last) {
    submission->accepted.set_accepted_at_ms(environment_.WallMilliseconds());
    *entries.emplace_back().mutable_batch_accepted() = submission->accepted;
  }
  submission->partition->AppendEntries(
      std::move(entries), [weak = weak_from_this(), submission, is_last](const Status& status) {
        if (const auto self = weak.lock()) {
          self->HandleLogged(submission, is_last, status);
        } else {
          AnswerFailed(*submission,
                       Status(StatusCode::kUnknownOutcome,
                              "this queue node's incarnation ended before the batch was durable"));
        }
      });
}

void BatchIntake::HandleLogged(const SubmissionPtr& submission, bool is_last,
                               const Status& status) {
  if (!status.ok() || is_last) {
    Complete(submission, status);
  } else {
    LogNextEntries(submission);
  }
}

void BatchIntake::Complete(const SubmissionPtr& submission, const Status& status) {
  ReleaseReservations(submission);
  OwnedPartition& partition = *submission->partition;
  const std::string& batch_id = submission->accepted.batch_id();
  const StoredBatch* batch = partition.store().Find(batch_id);
  if (!status.ok() || batch == nullptr) {
    partition.DropUnaccepted(batch_id);
    AnswerFailed(*submission, status.ok()
                                  ? Status(StatusCode::kInternal,
                                           "batch \"" + batch_id + "\" was logged but not applied")
                                  : status);
    return;
  }
  on_accepted_(partition, *batch);
  AnswerAccepted(*submission, *batch);
}

void BatchIntake::ReleaseReservations(const SubmissionPtr& submission) {
  OwnedPartition& partition = *submission->partition;
  const proto::BatchAccepted& accepted = submission->accepted;
  partition.ReleaseItems(accepted.tenant(), accepted.item_count());
  if (submission->tokens_reserved) {
    partition.ReleaseTokens(accepted.tenant(), submission->reservation.quota_key,
                            submission->reservation.tokens);
  }
  const auto pending =
      pending_.find({partition.id(), accepted.tenant(), accepted.idempotency_key()});
  if (pending != pending_.end() && pending->second == submission) {
    pending_.erase(pending);
  }
}

void BatchIntake::AnswerAccepted(const Submission& submission, const StoredBatch& batch) {
  proto::SubmitBatchResponse response;
  *response.mutable_status() = batch.ToStatus();
  for (const Reply& reply : submission.replies) {
    reply(response);
    response.set_resent(true);
  }
}

void BatchIntake::AnswerFailed(const Submission& submission, const Status& status) {
  for (const Reply& reply : submission.replies) {
    reply(status);
  }
}

}  // namespace cloverbank
