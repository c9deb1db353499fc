#pragma once
/// @file
/// Accepts submitted batches: validates a batch, logs its items in one or more BatchItems entries
/// and a BatchAccepted entry last, and answers once the BatchAccepted entry is durable. A resent
/// submission (same partition, tenant and idempotency key) gets the answer of the first one,
/// whether that batch is already accepted or still being logged.
///
/// Threads: the owner's event loop only; callbacks run there too. Create it with
/// `std::make_shared`.

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "batches/owned_partition.h"
#include "control_client/node_agent.h"
#include "proto/batch.pb.h"
#include "runtime/environment.h"
#include "token_quota/token_reserver.h"

namespace cloverbank {

class BatchIntake : public std::enable_shared_from_this<BatchIntake> {
 public:
  /// Receives the answer to one submission. Runs once.
  using Reply = std::function<void(Result<proto::SubmitBatchResponse>)>;
  using OnAccepted = std::function<void(OwnedPartition&, const StoredBatch&)>;

  /// Reserves the batch's tokens within its route's limit of open tokens; `done` gets the result
  /// of `TokenReserver::Reserve`.
  using ReserveTokens =
      std::function<void(PartitionId partition, const proto::SubmitBatch& batch,
                         const TokenReservation& reservation, std::function<void(Status)> done)>;

  /// @param on_accepted runs when a new batch is durable and applied to the partition's store,
  /// before its submission is answered.
  BatchIntake(Environment& environment, NodeAgent& agent, SegmentLog& log,
              ReserveTokens reserve_tokens, OnAccepted on_accepted);

  /// Accepts the batch, or rejects it. `reply` runs before `Submit` returns or later. After any of
  /// these errors the batch is certainly not accepted:
  /// - kInvalidArgument: the batch is malformed;
  /// - kConflict: the id or idempotency key was used for another batch, or the quota owner is
  /// unavailable
  ///   (detail `kQuotaOwnerUnavailableDetail`);
  /// - kResourceExhausted: the tenant's or the route's limit would be exceeded;
  /// - kUnavailable: the log accepts no entries now.
  ///
  /// After kUnknownOutcome (the log or the ownership of the partition ended first) the batch may or
  /// may not be accepted.
  void Submit(const std::shared_ptr<OwnedPartition>& partition, proto::SubmitBatchRequest request,
              Reply reply);
  /// Answers the resend of an accepted batch, or of one that is being logged, as `Submit` does.
  /// Accepts nothing: kNotFound if there is no such submission.
  void FindSubmission(OwnedPartition& partition, const proto::SubmitBatchRequest& request,
                      Reply reply);

 private:
  /// The same for a submission and its resends.
  struct SubmissionKey {
    PartitionId partition;
    std::string tenant;
    std::string idempotency_key;
    // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the defaulted comparison.
    auto operator<=>(const SubmissionKey&) const = default;
  };
  /// One batch that is being logged.
  struct Submission {
    std::shared_ptr<OwnedPartition> partition;
    proto::SubmitBatch batch;
    proto::BatchAccepted accepted;
    TokenReservation reservation;
    bool tokens_reserved = false;  ///< Whether the partition counts its tokens as open.
    int next_item = 0;             ///< Index of the first item that is not logged yet.
    std::vector<Reply> replies;    ///< Of the first submission, then of its resends.
  };
  using SubmissionPtr = std::shared_ptr<Submission>;

  /// @return kInvalidArgument if the batch is malformed.
  Status CheckContent(const proto::SubmitBatch& batch) const;
  /// @return OK, or the error with which the batch is rejected.
  Status CheckAcceptable(const OwnedPartition& partition, const proto::SubmitBatch& batch) const;
  /// @return kResourceExhausted if the batch would exceed the tenant's limit of unfinished items.
  Status CheckItemLimit(const OwnedPartition& partition, const proto::SubmitBatch& batch) const;
  /// Answers a resent submission, or adds its reply to the submission that is still being logged.
  /// @return false if there is no earlier submission with this key; `reply` is then unchanged.
  bool JoinEarlierSubmission(const OwnedPartition& partition, const SubmissionKey& key,
                             const proto::SubmitBatchRequest& request,
                             std::uint64_t content_checksum, Reply& reply);
  /// Whether a batch of the partition has this id, whatever its tenant.
  bool IsIdInUse(const OwnedPartition& partition, const std::string& batch_id) const;
  /// Whether the tenant has chosen the id of `batch` for another batch before.
  bool HasUsedId(const OwnedPartition& partition, const proto::SubmitBatch& batch) const;
  /// Sets the id under which the batch is stored: the one that the client requested, unless it
  /// requested none or a batch of another tenant has it.
  void SetBatchId(const OwnedPartition& partition, const std::string& requested_id,
                  proto::BatchAccepted* accepted);
  /// Creates the submission and reserves its items within the tenant's limit.
  SubmissionPtr StartSubmission(const std::shared_ptr<OwnedPartition>& partition,
                                proto::SubmitBatchRequest request, std::uint64_t content_checksum);
  std::string MakeBatchId(const OwnedPartition& partition);
  /// Reserves the batch's tokens at the route's quota owner, then logs the batch.
  void ReserveTokensAndLog(const SubmissionPtr& submission);
  void HandleTokensReserved(const SubmissionPtr& submission, const Status& status);
  /// Appends the next BatchItems entries, and the BatchAccepted entry once all items are logged.
  void LogNextEntries(const SubmissionPtr& submission);
  /// @param is_last whether the append included the BatchAccepted entry.
  void HandleLogged(const SubmissionPtr& submission, bool is_last, const Status& status);
  /// Moves the next items of the batch into a BatchItems entry.
  proto::LogEntry MakeItemsEntry(Submission& submission) const;
  /// Ends the submission and answers it and its resends.
  void Complete(const SubmissionPtr& submission, const Status& status);
  /// Releases the reserved items and tokens and removes the submission from `pending_`.
  void ReleaseReservations(const SubmissionPtr& submission);
  static void AnswerAccepted(const Submission& submission, const StoredBatch& batch);
  static void AnswerFailed(const Submission& submission, const Status& status);

  Environment& environment_;
  NodeAgent& agent_;
  SegmentLog& log_;
  ReserveTokens reserve_tokens_;
  OnAccepted on_accepted_;
  std::map<SubmissionKey, SubmissionPtr> pending_;  ///< Those with an idempotency key.
};

}  // namespace cloverbank
