#pragma once
/// @file
/// Reserves tokens at a route's quota owner (`TokenQuotaOwner`) before a batch is accepted. While
/// the quota owner does not answer, batches are accepted within the partition's allowance.
///
/// Threads: the owner's event loop only. Made by `std::make_shared`.

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

/// A batch's demand on its route's limit.
struct TokenReservation {
  std::uint64_t tokens = 0;  ///< Of all its items.
  Duration max_wait{};       ///< For capacity.
};

class TokenReserver : public std::enable_shared_from_this<TokenReserver> {
 public:
  using Done = std::function<void(Status)>;
  /// @return the open tokens in one of this node's partitions.
  using CountOpen = std::function<std::uint64_t(PartitionId partition, const std::string& tenant,
                                                const std::string& route)>;

  /// @param local_quota_owner answers where this node itself is the quota owner.
  TokenReserver(Environment& environment, NodeAgent& agent,
                std::shared_ptr<TokenQuotaOwner> local_quota_owner, CountOpen count_open);

  /// `done` gets OK, kResourceExhausted (over the limit), or kConflict with
  /// `kQuotaOwnerUnavailableDetail`. If OK, the tokens must count as open at `partition` before
  /// `done` returns.
  void Reserve(PartitionId partition, const proto::SubmitBatch& batch,
               const TokenReservation& reservation, Done done);
  /// Records that a quota owner was sent a count of `open` tokens.
  void RecordCount(PartitionId partition, const std::string& tenant, const std::string& route,
                   std::uint64_t open);
  /// The partition has another owner now.
  void Drop(PartitionId partition) { allowances_.Drop(partition); }
  /// All requests with a lower sequence have completed, except those of `PendingRequests`.
  std::uint64_t completed_below() const { return next_sequence_; }
  std::vector<std::uint64_t> PendingRequests() const;

 private:
  struct Pending {
    AllowanceKey key;
    std::string batch;  ///< The client's name for it; may be empty.
    std::uint64_t tokens = 0;
    std::shared_ptr<Done> done;  ///< Empty once called.
  };

  proto::ReserveTokensRequest MakeRequest(std::uint64_t sequence, const Pending& pending,
                                          const TokenReservation& reservation, std::uint64_t limit);
  void SendRequest(const proto::ReserveTokensRequest& request);
  void HandleAnswer(std::uint64_t sequence, const Result<proto::ReserveTokensResponse>& answer);
  /// Accepts the batch within the allowance as soon as that suffices, while no answer arrives.
  void ScheduleAllowanceCheck(std::uint64_t sequence, Duration timeout);
  std::uint64_t RemainingAllowance(const AllowanceKey& key);
  bool FitsAllowance(const Pending& pending) {
    return pending.tokens <= RemainingAllowance(pending.key);
  }
  void Complete(std::uint64_t sequence, const Status& status);
  static void CallOnce(Done& done, const Status& status);

  Environment& environment_;
  NodeAgent& agent_;
  std::shared_ptr<TokenQuotaOwner> local_quota_owner_;
  CountOpen count_open_;
  TokenAllowances allowances_;
  std::uint64_t next_sequence_ = 1;
  std::map<std::uint64_t, Pending> pending_;
};

}  // namespace cloverbank
