#pragma once
/// @file
/// Admits, queues or refuses live calls: limits of each route, rates of each tenant, and a bounded
/// queue of calls that wait for a replica's capacity. Pure.
///
/// The queue is ordered by priority, then by deadline. Its length is bounded, and a call that would
/// probably wait too long is refused when it arrives, so that clients retry later instead of
/// waiting in vain.

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

/// Why a call was not admitted, or left the queue without being sent. All imply that it did not
/// run.
enum class Refusal : std::uint8_t {
  kTenantRate,    ///< The tenant exceeds its calls per second (429).
  kRouteLimit,    ///< The route has its maximum of calls in flight here (503).
  kQueueFull,     ///< The queue is full of calls of no lower rank (503).
  kQueueTooSlow,  ///< The expected wait exceeds the allowed one (503).
  kDisplaced,     ///< Removed from the queue for a call of higher priority (503).
  kWaitExpired,   ///< Waited for the allowed time (503).
};

/// @return the stable snake_case name, for metrics and error codes.
std::string_view RefusalName(Refusal refusal);

/// A refusal, and when to retry.
struct RefusalNotice {
  Refusal refusal = Refusal::kQueueFull;
  Duration retry_after{};
};

struct AdmissionOptions {
  std::size_t queue_length = 256;                    ///< Calls waiting for one back end.
  std::size_t queue_bytes = std::size_t{64} << 20U;  ///< Bytes of all waiting requests.
  std::size_t total_queue_length = 1024;             ///< Calls waiting at this gateway.
  Duration longest_wait = seconds(3);                ///< Even if the deadline allows more.
  Duration burst = seconds(1);  ///< Of a tenant's rate that may arrive at once.
  Duration minimum_retry_after = milliseconds(200);
  Duration maximum_retry_after = seconds(10);
};

using WaitId = std::uint64_t;

/// A call that waits for capacity.
struct WaitingCall {
  WaitId id = 0;
  std::string backend;
  proto::Priority priority = proto::PRIORITY_STANDARD;
  TimePoint wait_deadline;  ///< When it must leave the queue.
  std::size_t bytes = 0;    ///< Of its request.
};

class AdmissionControl {
 public:
  explicit AdmissionControl(AdmissionOptions options) : options_(options) {}

  /// Admits a call or refuses it. `Finish` must be called at the end of an admitted one.
  std::optional<RefusalNotice> Admit(const proto::Route& route, const proto::Tenant* tenant,
                                     TimePoint now);
  void Finish(const std::string& route_name);

  /// Queues an admitted call.
  /// @param displaced receives the calls that were removed for it; their clients must get a
  /// response.
  /// @return a refusal if it is not queued.
  std::optional<RefusalNotice> Enqueue(const WaitingCall& call, TimePoint now,
                                       std::vector<WaitId>* displaced);
  /// @return up to `count` calls that wait for a back end, the one to serve first at the front.
  std::vector<WaitId> FirstWaiting(const std::string& backend, std::size_t count) const;
  /// Removes a call for which a replica has capacity. @return false if it was not waiting.
  bool Serve(WaitId id, TimePoint now);
  /// Removes a call whose client disconnected. @return false if it was not waiting.
  bool Remove(WaitId id);
  /// Removes and returns all calls whose wait expired.
  std::vector<WaitId> TakeExpired(TimePoint now);
  /// @return when the next wait expires.
  std::optional<TimePoint> NextExpiry() const;

  std::size_t Waiting(const std::string& backend) const;
  std::size_t waiting() const { return waiting_.size(); }
  std::size_t waiting_bytes() const { return waiting_bytes_; }
  std::vector<std::string> BackendsWithWaiting() const;
  /// @return when a refused call should be retried, from the length and pace of the queue.
  Duration RetryAfter(const std::string& backend) const;
  /// Removes the state of idle tenants and queues; to be called periodically.
  void RemoveIdle(const proto::RoutingConfiguration& configuration, TimePoint now);

 private:
  /// Position in a queue, first served first: urgent, then early deadline, then early arrival.
  struct Rank {
    int priority_order = 0;  ///< Lower is served first.
    TimePoint wait_deadline{};
    WaitId id = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the defaulted comparison.
    friend auto operator<=>(const Rank&, const Rank&) = default;
  };
  struct Expiry {
    TimePoint at{};
    WaitId id = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the defaulted comparison.
    friend auto operator<=>(const Expiry&, const Expiry&) = default;
  };
  struct Queue {
    std::set<Rank> ranks;
    /// Moving average while the queue is not empty (an idle back end's rate does not show its
    /// capacity); 0 while unknown.
    double served_per_second = 0;
    std::uint64_t served_in_window = 0;
    TimePoint window_start{};
  };

  static Rank MakeRank(const WaitingCall& call);
  std::optional<Duration> ExpectedWait(const Queue& queue, const Rank& rank) const;
  bool HasCapacity(const Queue& queue, std::size_t bytes) const;
  bool DisplaceLowerPriority(Queue& queue, const Rank& rank, std::size_t bytes,
                             std::vector<WaitId>* displaced);

  AdmissionOptions options_;
  std::unordered_map<std::string, std::uint32_t> in_flight_;
  std::unordered_map<std::string, TokenBucket> buckets_;
  std::map<std::string, Queue> queues_;
  std::unordered_map<WaitId, WaitingCall> waiting_;
  std::size_t waiting_bytes_ = 0;
  std::set<Expiry> expiries_;
};

}  // namespace cloverbank
