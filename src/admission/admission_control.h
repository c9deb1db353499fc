#pragma once
/// @file
/// Admits, queues or refuses live calls. Enforces each route's limit of calls in flight and each
/// tenant's call rate, and holds calls in a bounded queue per backend until a replica has capacity.
/// Pure: no I/O and no clock, callers pass the time.
///
/// A queue is ordered by priority, then by deadline. Its length is bounded, and a call that would
/// probably wait too long is refused when it arrives, so that its client retries later instead of
/// waiting for a timeout.

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "admission/token_bucket.h"
#include "base/time.h"
#include "proto/configuration.pb.h"

namespace cloverbank {

/// Why a call was not admitted, or left the queue without being sent. With each of these reasons
/// the call did not run. The number is the HTTP status of the response.
enum class Refusal : std::uint8_t {
  kTenantRate,    ///< The tenant exceeds its limit of calls per second (429).
  kRouteLimit,    ///< The route's calls in flight at this gateway are at its limit (503).
  kQueueFull,     ///< No room in the queue, not even by displacing a call (503).
  kQueueTooSlow,  ///< The call would probably expire in the queue (503).
  kDisplaced,     ///< Removed to make room for a call of higher priority (503).
  kWaitExpired,   ///< Its wait deadline passed in the queue (503).
};

/// @return the snake_case name of the refusal. Metrics and error codes use it, so it must not
/// change.
std::string_view RefusalName(Refusal refusal);

/// A refusal and the delay after which the client should retry.
struct RefusalNotice {
  Refusal refusal = Refusal::kQueueFull;
  Duration retry_after{};
};

struct AdmissionOptions {
  std::size_t queue_length = 256;  ///< Maximum of calls that wait for one backend.
  std::size_t queue_bytes = std::size_t{64} << 20U;  ///< Maximum size of all waiting requests.
  std::size_t total_queue_length = 1024;  ///< Maximum of calls that wait at this gateway.
  Duration longest_wait = seconds(3);     ///< Maximum wait, even if the deadline is later.
  /// A tenant may make as many calls at once as its rate allows in this time.
  Duration burst = seconds(1);
  Duration minimum_retry_after = milliseconds(200);
  Duration maximum_retry_after = seconds(10);
};

using WaitId = std::uint64_t;

/// A call that waits for a replica to have capacity.
struct WaitingCall {
  WaitId id = 0;
  std::string backend;
  proto::Priority priority = proto::PRIORITY_STANDARD;
  TimePoint wait_deadline;  ///< The call leaves the queue at this time at the latest.
  std::size_t bytes = 0;    ///< Size of its request.
};

class AdmissionControl {
 public:
  explicit AdmissionControl(AdmissionOptions options) : options_(options) {}

  /// Admits a call, counting it as in flight on its route, or refuses it. The caller must call
  /// `Finish` when an admitted call ends.
  /// @param tenant nullptr if no tenant rate applies to the call.
  /// @return nothing if the call is admitted, else kRouteLimit or kTenantRate.
  std::optional<RefusalNotice> Admit(const proto::Route& route, const proto::Tenant* tenant,
                                     TimePoint now);
  /// Ends one admitted call of the route.
  void Finish(const std::string& route_name);

  /// Queues an admitted call. Its wait ends at `call.wait_deadline` or after
  /// `AdmissionOptions::longest_wait`, whichever comes first.
  /// @param displaced receives the calls that were removed to make room; the caller must send a
  /// response to their clients, also if this call is refused.
  /// @return nothing if the call is queued, else kQueueTooSlow or kQueueFull.
  std::optional<RefusalNotice> Enqueue(const WaitingCall& call, TimePoint now,
                                       std::vector<WaitId>* displaced);
  /// @return up to `count` calls that wait for `backend`, in the order in which to serve them.
  std::vector<WaitId> FirstWaiting(const std::string& backend, std::size_t count) const;
  /// Removes a call that a replica serves now and counts it in the queue's service rate.
  /// @return false if it was not waiting.
  bool Serve(WaitId id, TimePoint now);
  /// Removes a call without counting it as served, for instance because its client disconnected.
  /// @return false if it was not waiting.
  bool Remove(WaitId id);
  /// Removes and returns all calls whose wait deadline is not after `now`.
  std::vector<WaitId> TakeExpired(TimePoint now);
  /// @return the earliest wait deadline; nothing if no call waits.
  std::optional<TimePoint> NextExpiry() const;

  /// @return the number of calls that wait for `backend`.
  std::size_t Waiting(const std::string& backend) const;
  /// @return the number of calls that wait for any backend.
  std::size_t waiting() const { return waiting_.size(); }
  /// @return the size of all waiting requests.
  std::size_t waiting_bytes() const { return waiting_bytes_; }
  std::vector<std::string> BackendsWithWaiting() const;
  /// @return the delay after which a refused call should be retried: the time in which the calls
  /// that wait for `backend` are served at its present rate, within the bounds of the options;
  /// `AdmissionOptions::longest_wait` while that rate is unknown.
  Duration RetryAfter(const std::string& backend) const;
  /// Removes the rate state of tenants that are idle or have no rate limit, and the state of empty
  /// queues. The owner calls it periodically.
  void RemoveIdle(const proto::RoutingConfiguration& configuration, TimePoint now);

 private:
  /// Sort key of a queue; the call with the lowest is served first: by priority, then by earlier
  /// deadline, then by earlier arrival.
  struct Rank {
    int priority_order = 0;  ///< See `PriorityOrder`; lower is served first.
    TimePoint wait_deadline{};
    WaitId id = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the defaulted comparison.
    friend auto operator<=>(const Rank&, const Rank&) = default;
  };
  /// Sort key of the waits by deadline.
  struct Expiry {
    TimePoint at{};
    WaitId id = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the defaulted comparison.
    friend auto operator<=>(const Expiry&, const Expiry&) = default;
  };
  /// The calls that wait for one backend, and the rate at which they are served.
  struct Queue {
    std::set<Rank> ranks;
    /// Moving average, taken only while the queue is not empty because the rate of an idle backend
    /// does not show its capacity; 0 while unknown.
    double served_per_second = 0;
    std::uint64_t served_in_window = 0;
    TimePoint window_start{};
  };

  static Rank MakeRank(const WaitingCall& call);
  /// @return the time until the calls ahead of `rank` are served; nothing if the queue is empty
  /// or its rate is unknown.
  std::optional<Duration> ExpectedWait(const Queue& queue, const Rank& rank) const;
  /// @return whether one more request of `bytes` fits the limits of the queue and the gateway.
  bool HasCapacity(const Queue& queue, std::size_t bytes) const;
  /// If there is no capacity, removes the last call of the queue, provided that its priority is
  /// lower than that of `rank`. @return whether a request of `bytes` fits now.
  bool DisplaceLowerPriority(Queue& queue, const Rank& rank, std::size_t bytes,
                             std::vector<WaitId>* displaced);

  AdmissionOptions options_;
  std::unordered_map<std::string, std::uint32_t> in_flight_;  ///< Calls by route.
  std::unordered_map<std::string, TokenBucket> buckets_;      ///< By tenant.
  std::map<std::string, Queue> queues_;                       ///< By backend.
  std::unordered_map<WaitId, WaitingCall> waiting_;
  std::size_t waiting_bytes_ = 0;
  std::set<Expiry> expiries_;
};

}  // namespace cloverbank
