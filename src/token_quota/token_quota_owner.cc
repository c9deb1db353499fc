#include "token_quota/token_quota_owner.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "control_client/overload_rejection.h"
#include "runtime/typed_peer.h"

namespace cloverbank {
namespace {

/// Deadline of the count request to one partition owner.
constexpr Duration kCountDeadline = milliseconds(300);
/// A count that started at most this time ago is not repeated.
constexpr Duration kMaxCountAge = milliseconds(100);
/// Allowances are granted only while the open tokens are below 1/kAllowanceDivisor of the limit,
/// and only up to that share.
constexpr std::uint64_t kAllowanceDivisor = 2;
/// A request fails if not all partitions could be counted within this time.
constexpr Duration kCountTimeout = milliseconds(1200);

/// Bounds of the retry delay that is sent with a rejection.
constexpr Duration kMinRetryAfter = milliseconds(200);
constexpr Duration kMaxRetryAfter = seconds(1);
/// A rejected batch keeps its position for this time after its retry delay, since clients retry
/// somewhat later than requested.
constexpr Duration kRetryMargin = milliseconds(500);

/// @return the name of the batch in the wait queue. Requests without a batch name get a unique one.
std::string MakeBatchName(const proto::ReserveTokensRequest& request) {
  if (!request.batch().empty()) {
    return request.batch();
  }
  return std::to_string(request.owner_node_id()) + "/" + std::to_string(request.sequence());
}

}  // namespace

TokenQuotaOwner::TokenQuotaOwner(Environment& environment, NodeAgent& agent, CountLocal count_local)
    : environment_(environment), agent_(agent), count_local_(std::move(count_local)) {}

bool TokenQuotaOwner::TryGrant(Quota& quota, const proto::ReserveTokensRequest& request,
                               std::uint64_t allowance) {
  const std::uint64_t tokens = request.tokens() + allowance;
  const std::uint64_t reserved = quota.wait_queue.ReservedBefore(MakeBatchName(request));
  if (quota.usage.UpperBound() + reserved + tokens > request.limit()) {
    return false;
  }
  quota.wait_queue.Leave(MakeBatchName(request));
  quota.usage.AddGrant({PartitionId(request.requester_partition_id()),
                        NodeId(request.owner_node_id()), request.sequence(), tokens});
  quota.granted_since_count += request.tokens();
  quota.allowance_granted = quota.allowance_granted || allowance > 0;
  return true;
}

std::uint64_t TokenQuotaOwner::ComputeAllowance(const Quota& quota,
                                                const proto::ReserveTokensRequest& request) const {
  const std::uint64_t open = quota.usage.UpperBound() + request.tokens();
  const std::uint64_t allowance_pool = request.limit() / kAllowanceDivisor;
  const std::uint64_t available = allowance_pool - std::min(allowance_pool, open);
  const std::uint64_t allowance = quota.waiting.empty() ? available / agent_.partition_count() : 0;
  return allowance - std::min(allowance, request.spare());
}

bool TokenQuotaOwner::IsFullyCounted(const Quota& quota) const {
  return quota.usage.IsComplete(agent_.partition_count());
}

TokenQuotaOwner::QuotaPtr& TokenQuotaOwner::GetQuota(const QuotaKey& key, PartitionId partition) {
  QuotaPtr& quota = quotas_[key];
  if (quota == nullptr) {
    quota = std::make_shared<Quota>();
    quota->partition = partition;
  }
  return quota;
}

void TokenQuotaOwner::Reserve(const proto::ReserveTokensRequest& request, Reply reply) {
  const QuotaKey key{request.tenant(), request.route()};
  const QuotaPtr& quota = GetQuota(key, PartitionId(request.partition_id()));
  const TimePoint now = environment_.Now();
  quota->wait_queue.DropExpired(now);
  if (request.tokens() <= request.limit()) {
    quota->wait_queue.Enter(MakeBatchName(request), request.tokens());
  }
  proto::ReserveTokensResponse response;
  response.set_allowance(ComputeAllowance(*quota, request));
  if (IsFullyCounted(*quota) && TryGrant(*quota, request, response.allowance())) {
    reply(std::move(response));
    return;
  }
  const bool fresh = HasFreshCount(*quota, now);
  if (fresh && !quota->counting && !ShouldWait(*quota, request)) {
    Reject(*quota, request, reply);
    return;
  }
  quota->waiting.push_back(
      {request, std::move(reply), now + kCountTimeout, now + milliseconds(request.wait_ms())});
  if (fresh) {
    ScheduleCount(key, quota);
  } else if (!quota->counting) {
    StartCount(key, quota);
  }
}

bool TokenQuotaOwner::HasFreshCount(const Quota& quota, TimePoint now) const {
  return IsFullyCounted(quota) && !quota.allowance_granted &&
         now - quota.last_count_started_at <= kMaxCountAge;
}

bool TokenQuotaOwner::ShouldWait(const Quota& quota, const proto::ReserveTokensRequest& request) {
  if (request.wait_ms() == 0 || request.tokens() > request.limit()) {
    return false;
  }
  const std::optional<Duration> time =
      quota.drain_rate.EstimateTime(ComputeShortfall(quota, request));
  return !time || *time <= milliseconds(request.wait_ms());
}

std::uint64_t TokenQuotaOwner::ComputeShortfall(const Quota& quota,
                                                const proto::ReserveTokensRequest& request) {
  const std::uint64_t before = quota.wait_queue.TokensBefore(MakeBatchName(request));
  const std::uint64_t needed = quota.usage.UpperBound() + before + request.tokens();
  return needed - std::min(needed, request.limit());
}

void TokenQuotaOwner::Reject(Quota& quota, const proto::ReserveTokensRequest& request,
                             const Reply& reply) {
  const std::uint64_t open = quota.usage.UpperBound();
  const Duration expected =
      quota.drain_rate.EstimateTime(ComputeShortfall(quota, request)).value_or(kMaxRetryAfter);
  const Duration wait = std::clamp(expected, kMinRetryAfter, kMaxRetryAfter);
  quota.wait_queue.KeepPositionUntil(MakeBatchName(request),
                                     environment_.Now() + wait + kRetryMargin);
  reply(RejectForOverload("route " + request.route() + " has " + std::to_string(open) +
                              " open tokens, the batch adds " + std::to_string(request.tokens()) +
                              ", and the limit is " + std::to_string(request.limit()) +
                              "; submit it again when some tokens have finished",
                          wait));
}

void TokenQuotaOwner::ScheduleCount(const QuotaKey& key, const QuotaPtr& quota) {
  environment_.ScheduleAfter(kMaxCountAge, [weak = weak_from_this(), key, quota] {
    const auto self = weak.lock();
    if (self != nullptr && !quota->counting && !quota->waiting.empty()) {
      self->StartCount(key, quota);
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

void TokenQuotaOwner::StartCount(const QuotaKey& key, const QuotaPtr& quota) {
  const std::map<NodeId, proto::CountOpenTokensRequest> requests = MakeCountRequests(key);
  quota->counting = true;
  quota->allowance_granted = false;
  quota->count_started_at = environment_.Now();
  quota->pending_answers = static_cast<int>(requests.size()) + 1;
  environment_.metrics().Increment("queue_token_counts_total");
  for (const auto& [owner, request] : requests) {
    RequestCount(key, quota, owner, request);
  }
  // One additional answer stays pending until here, so that the count cannot complete before all
  // owners have been asked.
  HandleCounts(key, quota, proto::CountOpenTokensResponse());
}

void TokenQuotaOwner::RequestCount(const QuotaKey& key, const QuotaPtr& quota, NodeId owner,
                                   const proto::CountOpenTokensRequest& request) {
  if (owner == agent_.node_id()) {
    HandleCounts(key, quota, count_local_(request));
    return;
  }
  const auto server = agent_.fleet().servers.find(owner);
  if (server == agent_.fleet().servers.end()) {
    HandleCounts(
        key, quota,
        Status(StatusCode::kUnavailable, "the owner of the partitions is not a registered server"));
    return;
  }
  const proto::Endpoint& endpoint = server->second.peer_endpoint();
  CallPeer<proto::CountOpenTokensResponse>(
      environment_, {endpoint.host(), static_cast<std::uint16_t>(endpoint.port())},
      "queue.CountOpenTokens", request, kCountDeadline,
      [weak = weak_from_this(), key, quota](const Result<proto::CountOpenTokensResponse>& counts) {
        if (const auto self = weak.lock()) {
          self->HandleCounts(key, quota, counts);
        }
      });
}

void TokenQuotaOwner::HandleCounts(const QuotaKey& key, const QuotaPtr& quota,
                                   const Result<proto::CountOpenTokensResponse>& counts) {
  if (counts.ok()) {
    for (const proto::OpenTokens& count : counts->counts()) {
      quota->usage.ApplyCount({PartitionId(count.partition_id()),
                               NodeId(counts->owner_node_id()),
                               count.tokens(),
                               counts->completed_below(),
                               {counts->pending().begin(), counts->pending().end()}});
    }
  }
  if (--quota->pending_answers == 0) {
    CompleteCount(key, quota);
  }
}

void TokenQuotaOwner::CompleteCount(const QuotaKey& key, const QuotaPtr& quota) {
  quota->counting = false;
  quota->last_count_started_at = quota->count_started_at;
  const std::uint64_t finished = quota->drain_rate.Update(
      quota->usage.UpperBound(), std::exchange(quota->granted_since_count, 0), environment_.Now());
  quota->wait_queue.RecordFreed(finished);
  AnswerWaiting(key, quota);
}

void TokenQuotaOwner::AnswerWaiting(const QuotaKey& key, const QuotaPtr& quota) {
  const bool complete = IsFullyCounted(*quota);
  const TimePoint now = environment_.Now();
  std::list<Waiting> still_waiting;
  quota->wait_queue.DropExpired(now);
  quota->waiting.sort([&wait_queue = quota->wait_queue](const Waiting& one, const Waiting& other) {
    return wait_queue.FindPosition(MakeBatchName(one.request)) <
           wait_queue.FindPosition(MakeBatchName(other.request));
  });
  for (Waiting& waiting : std::exchange(quota->waiting, {})) {
    const TimePoint give_up_at = complete ? waiting.wait_until : waiting.deadline;
    if (complete && TryGrant(*quota, waiting.request, /*allowance=*/0)) {
      waiting.reply(proto::ReserveTokensResponse());
    } else if (now < give_up_at) {
      still_waiting.push_back(std::move(waiting));
    } else if (complete) {
      Reject(*quota, waiting.request, waiting.reply);
    } else {
      quota->wait_queue.Leave(MakeBatchName(waiting.request));
      waiting.reply(Status(
          StatusCode::kUnavailable,
          "the open tokens of route " + key.route + " could not be counted at all partitions"));
    }
  }
  quota->waiting.splice(quota->waiting.begin(), still_waiting);
  if (quota->waiting.empty()) {
    return;
  }
  ScheduleCount(key, quota);
}

void TokenQuotaOwner::DropPartition(PartitionId partition) {
  for (auto entry = quotas_.begin(); entry != quotas_.end();) {
    if (entry->second->partition != partition) {
      ++entry;
      continue;
    }
    for (const Waiting& waiting : std::exchange(entry->second->waiting, {})) {
      waiting.reply(Status(StatusCode::kUnavailable,
                           "the quota of route " + entry->first.route + " has another owner now"));
    }
    entry = quotas_.erase(entry);
  }
}

}  // namespace cloverbank
