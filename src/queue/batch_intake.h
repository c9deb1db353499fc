#pragma once
/// @file
/// Intake of submitted batches: validates them, logs their items in several entries and
/// BatchAccepted last, and answers once that entry is durable. A resent submission (same tenant and
/// idempotency key) joins the first one, whether that is accepted or still being logged.
///
/// Threads: the owner's event loop only. Made by `std::make_shared`.

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
  using Reply = std::function<void(Result<proto::SubmitBatchResponse>)>;
  using OnAccepted = std::function<void(OwnedPartition&, const StoredBatch&)>;

  /// Reserves the batch's tokens within its route's limit; `done` gets the result of
  /// `TokenReserver::Reserve`.
  using ReserveTokens =
      std::function<void(PartitionId partition, const proto::SubmitBatch& batch,
                         const TokenReservation& reservation, std::function<void(Status)> done)>;

  /// @param on_accepted runs when a new batch is durable and applied, before its submission is
  /// answered.
  BatchIntake(Environment& environment, NodeAgent& agent, SegmentLog& log,
              ReserveTokens reserve_tokens, OnAccepted on_accepted);

  /// Accepts the batch, or rejects it with kInvalidArgument (malformed), kConflict (key used for
  /// another body, or detail `kQuotaOwnerUnavailableDetail`), kResourceExhausted (the tenant's or
  /// the route's limit), or kUnavailable (the log accepts no entries now). After any of these the
  /// batch is certainly not accepted.
  void Submit(const std::shared_ptr<OwnedPartition>& partition, proto::SubmitBatchRequest request,
              Reply reply);

 private:
  /// Identifies a submission and its resends.
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
    bool tokens_reserved = false;  ///< The partition counts them as open.
    int next_item = 0;
    std::vector<Reply> replies;
  };
  using SubmissionPtr = std::shared_ptr<Submission>;

  Status CheckContent(const proto::SubmitBatch& batch) const;
  /// @return OK, or the error with which the batch is rejected.
  Status CheckAcceptable(const OwnedPartition& partition, const proto::SubmitBatch& batch) const;
  Status CheckItemLimit(const OwnedPartition& partition, const proto::SubmitBatch& batch) const;
  /// Answers a resent submission, or adds its reply to the pending one.
  /// @return false if there is no earlier submission.
  bool JoinEarlierSubmission(OwnedPartition& partition, const SubmissionKey& key,
                             std::uint64_t checksum, Reply& reply);
  SubmissionPtr StartSubmission(const std::shared_ptr<OwnedPartition>& partition,
                                proto::SubmitBatchRequest request, std::uint64_t checksum);
  std::string MakeBatchId(const OwnedPartition& partition);
  /// Logs the batch once its tokens are reserved at the route's quota owner.
  void ReserveTokensAndLog(const SubmissionPtr& submission);
  void HandleTokensReserved(const SubmissionPtr& submission, const Status& status);
  void LogNextEntries(const SubmissionPtr& submission);
  void HandleLogged(const SubmissionPtr& submission, bool is_last, const Status& status);
  proto::LogEntry MakeItemsEntry(Submission& submission) const;
  void Complete(const SubmissionPtr& submission, const Status& status);
  void ReleaseReservations(const SubmissionPtr& submission);
  static void AnswerAccepted(const Submission& submission, const StoredBatch& batch);
  static void AnswerFailed(const Submission& submission, const Status& status);

  Environment& environment_;
  NodeAgent& agent_;
  SegmentLog& log_;
  ReserveTokens reserve_tokens_;
  OnAccepted on_accepted_;
  std::map<SubmissionKey, SubmissionPtr> pending_;
};

}  // namespace cloverbank
