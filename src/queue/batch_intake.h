#pragma once
/// @file
/// Takes in submitted batches: checks them, logs the items in pieces and BatchAccepted last, and
/// answers when that is held. A resent submission (same tenant and idempotency key) meets its first
/// one, whether that is accepted or still on its way to the log.
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

  /// Asks whether a batch's tokens may be open; `done` gets what `TokenReserver::Reserve` says.
  using ReserveTokens =
      std::function<void(PartitionId partition, const proto::SubmitBatch& batch,
                         const TokenReservation& reservation, std::function<void(Status)> done)>;

  /// @param on_accepted runs when a new batch is held and applied, before its submission is
  /// answered.
  BatchIntake(Environment& environment, NodeAgent& agent, SegmentLog& log,
              ReserveTokens reserve_tokens, OnAccepted on_accepted);

  /// Refuses kInvalidArgument (malformed), kConflict (key used for another body, or detail
  /// `kQuotaOwnerUnavailableDetail`), kResourceExhausted (the tenant's or the route's limit),
  /// kUnavailable (the log takes nothing now): certainly not accepted.
  void Submit(const std::shared_ptr<OwnedPartition>& partition, proto::SubmitBatchRequest request,
              Reply reply);

 private:
  /// What a resent submission has in common with its first one.
  struct SubmissionKey {
    PartitionId partition;
    std::string tenant;
    std::string idempotency_key;
    // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the defaulted comparison.
    auto operator<=>(const SubmissionKey&) const = default;
  };
  /// One batch on its way to the log.
  struct Submission {
    std::shared_ptr<OwnedPartition> partition;
    proto::SubmitBatch batch;
    proto::BatchAccepted accepted;
    TokenReservation reservation;
    bool tokens_reserved = false;  ///< They count as open at the partition.
    int next_item = 0;
    std::vector<Reply> replies;
  };
  using SubmissionPtr = std::shared_ptr<Submission>;

  Status CheckContent(const proto::SubmitBatch& batch) const;
  /// @return why the batch can not be accepted now, or OK.
  Status CheckAcceptable(const OwnedPartition& partition, const proto::SubmitBatch& batch) const;
  Status CheckItemLimit(const OwnedPartition& partition, const proto::SubmitBatch& batch) const;
  /// @return whether the request met an earlier submission and needs nothing more.
  bool JoinEarlier(OwnedPartition& partition, const SubmissionKey& key, std::uint64_t checksum,
                   Reply& reply);
  SubmissionPtr StartSubmission(const std::shared_ptr<OwnedPartition>& partition,
                                proto::SubmitBatchRequest request, std::uint64_t checksum);
  std::string NewBatchId(const OwnedPartition& partition);
  /// Logs the batch once the keeper of its route's limit has given room.
  void LogWithinLimit(const SubmissionPtr& submission);
  void HandleTokensReserved(const SubmissionPtr& submission, const Status& status);
  void LogNextItems(const SubmissionPtr& submission);
  void HandleLogged(const SubmissionPtr& submission, bool last, const Status& status);
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
