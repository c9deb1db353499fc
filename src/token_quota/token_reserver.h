#pragma once
/// @file
/// Reserves tokens at a route's quota owner (`TokenQuotaOwner`) before a batch is accepted. While
/// the quota owner does not answer, batches are accepted within the partition's allowance.
///
/// Threads: the owner's event loop only. Instances must be created by `std::make_shared`.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "control_client/node_agent.h"
#include "proto/batch.pb.h"
#include "runtime/environment.h"
#include "token_quota/token_allowance.h"
#include "token_quota/token_quota_owner.h"

namespace cloverbank {

/// The tokens that a batch needs within its route's limit.
struct TokenReservation {
  std::string quota_key;     ///< Of the batch's route.
  std::uint64_t tokens = 0;  ///< Of all items of the batch.
  Duration max_wait{};       ///< Maximum wait for capacity.
};

class TokenReserver : public std::enable_shared_from_this<TokenReserver> {
 public:
  using Done = std::function<void(Status)>;
  /// @return the open tokens of the tenant and route in one of this node's partitions.
  using CountOpen = std::function<std::uint64_t(PartitionId partition, const std::string& tenant,
                                                const std::string& route)>;

  /// @param local_quota_owner answers the requests for which this node itself is the quota owner.
  TokenReserver(Environment& environment, NodeAgent& agent,
                std::shared_ptr<TokenQuotaOwner> local_quota_owner, CountOpen count_open);

  /// Reserves tokens for `batch` in its partition. `done` runs at most once, on the event
  /// loop, possibly before this method returns. It gets OK, kResourceExhausted (over the limit), or
  /// kConflict with `kQuotaOwnerUnavailableDetail`. If it gets OK, it must count the tokens as open
  /// at `partition` before it returns.
  void Reserve(PartitionId partition, const proto::SubmitBatch& batch,
               const TokenReservation& reservation, Done done);
  /// Records that a quota owner was sent a count of `open` tokens; see `TokenAllowance`.
  void RecordCount(PartitionId partition, const std::string& tenant, const std::string& route,
                   std::uint64_t open);
  /// Removes the allowances of a partition that this node no longer owns.
  void DropPartition(PartitionId partition) { allowances_.Drop(partition); }
  /// @return a sequence. All requests with a lower one have completed, except those of
  /// `PendingRequests`.
  std::uint64_t completed_below() const { return next_sequence_; }
  /// @return the sequences of the requests that have not completed.
  std::vector<std::uint64_t> PendingRequests() const;

 private:
  /// A request that has not completed.
  struct Pending {
    AllowanceKey key;
    std::string batch;  ///< The batch id or idempotency key that the client chose; may be empty.
    std::uint64_t tokens = 0;
    std::shared_ptr<Done> done;  ///< Empty once called.
  };

  proto::ReserveTokensRequest MakeRequest(std::uint64_t sequence, const Pending& pending,
                                          const TokenReservation& reservation, std::uint64_t limit);
  void SendRequest(const proto::ReserveTokensRequest& request);
  void HandleAnswer(std::uint64_t sequence, const Result<proto::ReserveTokensResponse>& answer);
  /// After `delay`, completes the request with OK if it is still pending and fits the allowance.
  /// While it does not fit, checks again every `kAllowanceCheckInterval`.
  void ScheduleAllowanceCheck(std::uint64_t sequence, Duration delay);
  std::uint64_t RemainingAllowance(const AllowanceKey& key);
  bool FitsAllowance(const Pending& pending) {
    return pending.tokens <= RemainingAllowance(pending.key);
  }
  /// Calls `done` of the pending request with `status` and removes the request.
  void Complete(std::uint64_t sequence, const Status& status);
  /// Calls `done` unless it is empty, and empties it.
  static void CallOnce(Done& done, const Status& status);

  Environment& environment_;
  NodeAgent& agent_;
  std::shared_ptr<TokenQuotaOwner> local_quota_owner_;
  CountOpen count_open_;
  TokenAllowances allowances_;
  std::uint64_t next_sequence_ = 1;
  std::map<std::uint64_t, Pending> pending_;  ///< By sequence.
};

}  // namespace cloverbank
