#include "queue/token_reserver.h"

#include <utility>

#include "node/batch_partitions.h"
#include "runtime/typed_peer.h"

namespace cloverbank {
namespace {

/// Longer than a keeper waits for its counts.
constexpr Duration kDeadline = milliseconds(1600);

Status KeeperAway(const std::string& why) {
  return {StatusCode::kConflict, "the keeper of the route's limit gave no answer: " + why,
          std::string(kKeeperAwayDetail)};
}

}  // namespace

TokenReserver::TokenReserver(Environment& environment, NodeAgent& agent,
                             std::shared_ptr<TokenKeeper> own_keeper)
    : environment_(environment), agent_(agent), own_keeper_(std::move(own_keeper)) {}

void TokenReserver::Reserve(PartitionId partition, const proto::SubmitBatch& batch,
                            const TokenReservation& reservation, Done done) {
  const PartitionId keeper = PartitionOfTenant(batch.tenant(), agent_.partition_count());
  const proto::Server* server = agent_.fleet().OwnerOf(keeper);
  if (server == nullptr) {
    done(KeeperAway("its partition has no owner now"));
    return;
  }
  const std::uint64_t sequence = next_++;
  pending_.insert(sequence);
  proto::ReserveTokensRequest request;
  request.set_partition_id(keeper.value());
  request.set_tenant(batch.tenant());
  request.set_route(batch.route());
  request.set_limit(batch.open_token_limit());
  request.set_tokens(reservation.tokens);
  request.set_wait_ms(static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(reservation.longest_wait).count()));
  request.set_holder_partition_id(partition.value());
  request.set_holder_node_id(agent_.node_id().value());
  request.set_sequence(sequence);
  const auto finish = [weak = weak_from_this(), sequence,
                       done = std::move(done)](const Result<proto::ReserveTokensResponse>& answer) {
    if (const auto self = weak.lock()) {
      self->Finish(sequence, done, answer);
    } else {
      done(KeeperAway("this queue node's life ended"));
    }
  };
  if (NodeId(server->node_id()) == agent_.node_id()) {
    own_keeper_->Reserve(request, finish);
    return;
  }
  const proto::Endpoint& endpoint = server->peer_endpoint();
  CallPeer<proto::ReserveTokensResponse>(
      environment_, {endpoint.host(), static_cast<std::uint16_t>(endpoint.port())},
      "queue.ReserveTokens", request, kDeadline, finish);
}

void TokenReserver::Finish(std::uint64_t sequence, const Done& done,
                           const Result<proto::ReserveTokensResponse>& answer) {
  const bool over_limit = !answer.ok() && answer.status().code() == StatusCode::kResourceExhausted;
  done(answer.ok() || over_limit ? answer.status() : KeeperAway(answer.status().ToString()));
  pending_.erase(sequence);
}

}  // namespace cloverbank
