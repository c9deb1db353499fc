#include "token_quota/token_reserver.h"

#include <utility>

#include "control_client/batch_partitions.h"
#include "runtime/typed_peer.h"

namespace cloverbank {
namespace {

/// Deadline of a request to the quota owner. Longer than the time in which a quota owner completes
/// a count.
constexpr Duration kReserveDeadline = milliseconds(1600);
/// A quota owner that does not answer within this time, in addition to the time that the batch may
/// wait, is considered failed.
constexpr Duration kQuotaOwnerTimeout = milliseconds(300);
/// Time between checks whether a pending request fits the allowance.
constexpr Duration kAllowanceCheckInterval = milliseconds(100);

Status QuotaOwnerUnavailable(const std::string& reason) {
  return {StatusCode::kConflict, "the quota owner of the route is unavailable: " + reason,
          std::string(kQuotaOwnerUnavailableDetail)};
}

}  // namespace

TokenReserver::TokenReserver(Environment& environment, NodeAgent& agent,
                             std::shared_ptr<TokenQuotaOwner> local_quota_owner,
                             CountOpen count_open)
    : environment_(environment),
      agent_(agent),
      local_quota_owner_(std::move(local_quota_owner)),
      count_open_(std::move(count_open)) {}

void TokenReserver::Reserve(PartitionId partition, const proto::SubmitBatch& batch,
                            const TokenReservation& reservation, Done done) {
  const std::uint64_t sequence = next_sequence_++;
  Pending& pending = pending_[sequence];
  const std::string& name = batch.batch_id().empty() ? batch.idempotency_key() : batch.batch_id();
  pending = {{partition, batch.tenant(), reservation.quota_key},
             name,
             reservation.tokens,
             std::make_shared<Done>(std::move(done))};
  const proto::ReserveTokensRequest request =
      MakeRequest(sequence, pending, reservation, batch.open_token_limit());
  ScheduleAllowanceCheck(sequence, reservation.max_wait + kQuotaOwnerTimeout);
  SendRequest(request);
}

proto::ReserveTokensRequest TokenReserver::MakeRequest(std::uint64_t sequence,
                                                       const Pending& pending,
                                                       const TokenReservation& reservation,
                                                       std::uint64_t limit) {
  const AllowanceKey& key = pending.key;
  proto::ReserveTokensRequest request;
  request.set_partition_id(PartitionForTenant(key.tenant, agent_.partition_count()).value());
  request.set_tenant(key.tenant);
  request.set_route(key.route);
  request.set_limit(limit);
  request.set_tokens(pending.tokens);
  request.set_wait_ms(static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(reservation.max_wait).count()));
  request.set_requester_partition_id(key.partition.value());
  request.set_owner_node_id(agent_.node_id().value());
  request.set_sequence(sequence);
  request.set_batch(pending.batch);
  request.set_spare(RemainingAllowance(key));
  return request;
}

void TokenReserver::SendRequest(const proto::ReserveTokensRequest& request) {
  const proto::Server* server = agent_.fleet().OwnerOf(PartitionId(request.partition_id()));
  if (server == nullptr) {
    HandleAnswer(request.sequence(),
                 Status(StatusCode::kUnavailable, "the quota's partition " +
                                                      std::to_string(request.partition_id()) +
                                                      " has no owner"));
    return;
  }
  const auto finish = [weak = weak_from_this(), sequence = request.sequence(),
                       done = pending_.at(request.sequence()).done](
                          const Result<proto::ReserveTokensResponse>& answer) {
    if (const auto self = weak.lock()) {
      self->HandleAnswer(sequence, answer);
    } else {
      CallOnce(*done, QuotaOwnerUnavailable("this queue node's incarnation ended"));
    }
  };
  if (NodeId(server->node_id()) == agent_.node_id()) {
    local_quota_owner_->Reserve(request, finish);
    return;
  }
  const proto::Endpoint& endpoint = server->peer_endpoint();
  CallPeer<proto::ReserveTokensResponse>(
      environment_, {endpoint.host(), static_cast<std::uint16_t>(endpoint.port())},
      "queue.ReserveTokens", request, kReserveDeadline, finish);
}

void TokenReserver::HandleAnswer(std::uint64_t sequence,
                                 const Result<proto::ReserveTokensResponse>& answer) {
  const auto found = pending_.find(sequence);
  if (found == pending_.end()) {
    return;  // It was accepted within the allowance before this answer arrived.
  }
  if (answer.ok()) {
    allowances_[found->second.key].RecordGrant(found->second.tokens + answer->allowance());
    Complete(sequence, Status::Ok());
  } else if (answer.status().code() == StatusCode::kResourceExhausted) {
    Complete(sequence, answer.status());
  } else {
    Complete(sequence, FitsAllowance(found->second)
                           ? Status::Ok()
                           : QuotaOwnerUnavailable(answer.status().ToString()));
  }
}

void TokenReserver::ScheduleAllowanceCheck(std::uint64_t sequence, Duration delay) {
  environment_.ScheduleAfter(delay, [weak = weak_from_this(), sequence] {
    const auto self = weak.lock();
    const bool pending = self != nullptr && self->pending_.contains(sequence);
    if (!pending) {
      return;
    }
    if (self->FitsAllowance(self->pending_.at(sequence))) {
      self->Complete(sequence, Status::Ok());
    } else {
      self->ScheduleAllowanceCheck(sequence, kAllowanceCheckInterval);
    }
  });
}

std::uint64_t TokenReserver::RemainingAllowance(const AllowanceKey& key) {
  return allowances_[key].Remaining(count_open_(key.partition, key.tenant, key.route));
}

void TokenReserver::RecordCount(PartitionId partition, const std::string& tenant,
                                const std::string& route, std::uint64_t open) {
  allowances_[{partition, tenant, route}].RecordCount(open);
}

std::vector<std::uint64_t> TokenReserver::PendingRequests() const {
  std::vector<std::uint64_t> sequences;
  for (const auto& [sequence, pending] : pending_) {
    sequences.push_back(sequence);
  }
  return sequences;
}

void TokenReserver::Complete(std::uint64_t sequence, const Status& status) {
  // The request stays pending until its tokens count as open. Otherwise a count in between would
  // include it neither as pending nor as open.
  const std::shared_ptr<Done> done = pending_.at(sequence).done;
  CallOnce(*done, status);
  pending_.erase(sequence);
}

void TokenReserver::CallOnce(Done& done, const Status& status) {
  if (const Done call = std::exchange(done, nullptr)) {
    call(status);
  }
}

}  // namespace cloverbank
