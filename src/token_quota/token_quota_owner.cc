#include "token_quota/token_quota_owner.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "control_client/overload_rejection.h"
#include "runtime/typed_peer.h"

namespace cloverbank {
namespace {

constexpr Duration kCountDeadline = milliseconds(300);
/// A count that started within this time is not repeated.
constexpr Duration kMaxCountAge = milliseconds(100);
/// Allowances are granted only from the first 1/kAllowanceDivisor of a limit.
constexpr std::uint64_t kAllowanceDivisor = 2;
/// Requests fail if not all partitions could be counted in this time.
constexpr Duration kCountTimeout = milliseconds(1200);

/// Bounds of the retry delay sent with a rejection.
constexpr Duration kMinRetryAfter = milliseconds(200);
constexpr Duration kMaxRetryAfter = seconds(1);
/// Clients retry somewhat later than requested.
constexpr Duration kRetryMargin = milliseconds(500);

/// @return the name of the batch in the wait queue, unique for requests without a name.
std::string MakeBatchName(const proto::ReserveTokensRequest& request) {
  if (!request.batch().empty()) {
    return request.batch();
  }
  return std::to_string(request.owner_node_id()) + "/" + std::to_string(request.sequence());
}

}  // namespace

TokenQuotaOwner::TokenQuotaOwner(Environment& environment, NodeAgent& agent, CountLocal count_local)
    : environment_(environment), agent_(agent), count_local_(std::move(count_local)) {}

bool TokenQuotaOwner::TryGrant(Limit& limit, const proto::ReserveTokensRequest& request,
                               std::uint64_t allowance) {
  const std::uint64_t tokens = request.tokens() + allowance;
  const std::uint64_t reserved = limit.wait_queue.ReservedBefore(MakeBatchName(request));
  if (limit.usage.UpperBound() + reserved + tokens > request.limit()) {
    return false;
  }
  limit.wait_queue.Leave(MakeBatchName(request));
  limit.usage.AddGrant({PartitionId(request.requester_partition_id()),
                        NodeId(request.owner_node_id()), request.sequence(), tokens});
  limit.granted_since_count += request.tokens();
  limit.allowance_granted = limit.allowance_granted || allowance > 0;
  return true;
}

std::uint64_t TokenQuotaOwner::ComputeAllowance(const Limit& limit,
                                                const proto::ReserveTokensRequest& request) const {
  const std::uint64_t open = limit.usage.UpperBound() + request.tokens();
  const std::uint64_t allowance_pool = request.limit() / kAllowanceDivisor;
  const std::uint64_t available = allowance_pool - std::min(allowance_pool, open);
  const std::uint64_t allowance = limit.waiting.empty() ? available / agent_.partition_count() : 0;
  return allowance - std::min(allowance, request.spare());
}

bool TokenQuotaOwner::IsFullyCounted(const Limit& limit) const {
  return limit.usage.IsComplete(agent_.partition_count());
}

TokenQuotaOwner::LimitPtr& TokenQuotaOwner::GetLimit(const QuotaKey& key, PartitionId partition) {
  LimitPtr& limit = limits_[key];
  if (limit == nullptr) {
    limit = std::make_shared<Limit>();
    limit->partition = partition;
  }
  return limit;
}

void TokenQuotaOwner::Reserve(const proto::ReserveTokensRequest& request, Reply reply) {
  const QuotaKey key{request.tenant(), request.route()};
  const LimitPtr& limit = GetLimit(key, PartitionId(request.partition_id()));
  const TimePoint now = environment_.Now();
  limit->wait_queue.DropExpired(now);
  if (request.tokens() <= request.limit()) {
    limit->wait_queue.Enter(MakeBatchName(request), request.tokens());
  }
  proto::ReserveTokensResponse response;
  response.set_allowance(ComputeAllowance(*limit, request));
  if (IsFullyCounted(*limit) && TryGrant(*limit, request, response.allowance())) {
    reply(std::move(response));
    return;
  }
  const bool fresh = HasFreshCount(*limit, now);
  if (fresh && !limit->counting && !ShouldWait(*limit, request)) {
    Reject(*limit, request, reply);
    return;
  }
  limit->waiting.push_back(
      {request, std::move(reply), now + kCountTimeout, now + milliseconds(request.wait_ms())});
  if (fresh) {
    ScheduleCount(key, limit);
  } else if (!limit->counting) {
    StartCount(key, limit);
  }
}

bool TokenQuotaOwner::HasFreshCount(const Limit& limit, TimePoint now) const {
  return IsFullyCounted(limit) && !limit.allowance_granted &&
         now - limit.last_count_started_at <= kMaxCountAge;
}

bool TokenQuotaOwner::ShouldWait(const Limit& limit, const proto::ReserveTokensRequest& request) {
  if (request.wait_ms() == 0 || request.tokens() > request.limit()) {
    return false;
  }
  const std::optional<Duration> time =
      limit.drain_rate.EstimateTime(ComputeShortfall(limit, request));
  return !time || *time <= milliseconds(request.wait_ms());
}

std::uint64_t TokenQuotaOwner::ComputeShortfall(const Limit& limit,
                                                const proto::ReserveTokensRequest& request) {
  const std::uint64_t before = limit.wait_queue.TokensBefore(MakeBatchName(request));
  const std::uint64_t needed = limit.usage.UpperBound() + before + request.tokens();
  return needed - std::min(needed, request.limit());
}

void TokenQuotaOwner::Reject(Limit& limit, const proto::ReserveTokensRequest& request,
                             const Reply& reply) {
  const std::uint64_t open = limit.usage.UpperBound();
  const Duration expected =
      limit.drain_rate.EstimateTime(ComputeShortfall(limit, request)).value_or(kMaxRetryAfter);
  const Duration wait = std::clamp(expected, kMinRetryAfter, kMaxRetryAfter);
  limit.wait_queue.ReserveUntil(MakeBatchName(request), environment_.Now() + wait + kRetryMargin);
  reply(RejectForOverload("route " + request.route() + " has " + std::to_string(open) +
                              " tokens waiting and may have " + std::to_string(request.limit()) +
                              "; submit again when some are finished",
                          wait));
}

void TokenQuotaOwner::ScheduleCount(const QuotaKey& key, const LimitPtr& limit) {
  environment_.ScheduleAfter(kMaxCountAge, [weak = weak_from_this(), key, limit] {
    const auto self = weak.lock();
    if (self != nullptr && !limit->counting && !limit->waiting.empty()) {
      self->StartCount(key, limit);
    }
  });
}

std::map<NodeId, proto::CountOpenTokensRequest> TokenQuotaOwner::MakeCountRequests(
    const QuotaKey& key) const {
  std::map<NodeId, proto::CountOpenTokensRequest> requests;
  for (const auto& [id, partition] : agent_.fleet().partitions) {
    if (partition.owner() != 0) {
      proto::CountOpenTokensRequest& request = requests[NodeId(partition.owner())];
      request.set_tenant(key.tenant);
      request.set_route(key.route);
      request.add_partition_ids(id.value());
    }
  }
  return requests;
}

void TokenQuotaOwner::StartCount(const QuotaKey& key, const LimitPtr& limit) {
  const std::map<NodeId, proto::CountOpenTokensRequest> requests = MakeCountRequests(key);
  limit->counting = true;
  limit->allowance_granted = false;
  limit->count_started_at = environment_.Now();
  limit->pending_answers = static_cast<int>(requests.size()) + 1;
  environment_.metrics().Increment("queue_token_counts_total");
  for (const auto& [owner, request] : requests) {
    RequestCount(key, limit, owner, request);
  }
  // The count itself holds one pending answer, so it cannot complete before all owners are asked.
  HandleCounts(key, limit, proto::CountOpenTokensResponse());
}

void TokenQuotaOwner::RequestCount(const QuotaKey& key, const LimitPtr& limit, NodeId owner,
                                   const proto::CountOpenTokensRequest& request) {
  if (owner == agent_.node_id()) {
    HandleCounts(key, limit, count_local_(request));
    return;
  }
  const auto server = agent_.fleet().servers.find(owner);
  if (server == agent_.fleet().servers.end()) {
    HandleCounts(key, limit, Status(StatusCode::kUnavailable, "its owner is not known"));
    return;
  }
  const proto::Endpoint& endpoint = server->second.peer_endpoint();
  CallPeer<proto::CountOpenTokensResponse>(
      environment_, {endpoint.host(), static_cast<std::uint16_t>(endpoint.port())},
      "queue.CountOpenTokens", request, kCountDeadline,
      [weak = weak_from_this(), key, limit](const Result<proto::CountOpenTokensResponse>& counts) {
        if (const auto self = weak.lock()) {
          self->HandleCounts(key, limit, counts);
        }
      });
}

void TokenQuotaOwner::HandleCounts(const QuotaKey& key, const LimitPtr& limit,
                                   const Result<proto::CountOpenTokensResponse>& counts) {
  if (counts.ok()) {
    for (const proto::OpenTokens& count : counts->counts()) {
      limit->usage.ApplyCount({PartitionId(count.partition_id()),
                               NodeId(counts->owner_node_id()),
                               count.tokens(),
                               counts->completed_below(),
                               {counts->pending().begin(), counts->pending().end()}});
    }
  }
  if (--limit->pending_answers == 0) {
    CompleteCount(key, limit);
  }
}

void TokenQuotaOwner::CompleteCount(const QuotaKey& key, const LimitPtr& limit) {
  limit->counting = false;
  limit->last_count_started_at = limit->count_started_at;
  const std::uint64_t finished = limit->drain_rate.Update(
      limit->usage.UpperBound(), std::exchange(limit->granted_since_count, 0), environment_.Now());
  limit->wait_queue.RecordFreed(finished);
  AnswerWaiting(key, limit);
}

void TokenQuotaOwner::AnswerWaiting(const QuotaKey& key, const LimitPtr& limit) {
  const bool complete = IsFullyCounted(*limit);
  const TimePoint now = environment_.Now();
  std::list<Waiting> still_waiting;
  limit->wait_queue.DropExpired(now);
  limit->waiting.sort([&wait_queue = limit->wait_queue](const Waiting& one, const Waiting& other) {
    return wait_queue.FindPosition(MakeBatchName(one.request)) <
           wait_queue.FindPosition(MakeBatchName(other.request));
  });
  for (Waiting& waiting : std::exchange(limit->waiting, {})) {
    const TimePoint give_up_at = complete ? waiting.wait_until : waiting.deadline;
    if (complete && TryGrant(*limit, waiting.request, /*allowance=*/0)) {
      waiting.reply(proto::ReserveTokensResponse());
    } else if (now < give_up_at) {
      still_waiting.push_back(std::move(waiting));
    } else if (complete) {
      Reject(*limit, waiting.request, waiting.reply);
    } else {
      limit->wait_queue.Leave(MakeBatchName(waiting.request));
      waiting.reply(Status(StatusCode::kUnavailable, "not all partitions can be counted now"));
    }
  }
  limit->waiting.splice(limit->waiting.begin(), still_waiting);
  if (limit->waiting.empty()) {
    return;
  }
  ScheduleCount(key, limit);
}

void TokenQuotaOwner::Drop(PartitionId partition) {
  for (auto entry = limits_.begin(); entry != limits_.end();) {
    if (entry->second->partition != partition) {
      ++entry;
      continue;
    }
    for (const Waiting& waiting : std::exchange(entry->second->waiting, {})) {
      waiting.reply(Status(StatusCode::kUnavailable, "the limit has another keeper now"));
    }
    entry = limits_.erase(entry);
  }
}

}  // namespace cloverbank
