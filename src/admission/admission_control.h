#pragma once
/// @file
/// Who may come in, who waits, and who is turned away at once: per-route limits, per-tenant rates,
/// and a bounded queue of calls that wait for room at a replica. Pure.
///
/// The queue is ordered by priority, then by deadline. It is bounded in length, and a call whose
/// expected wait is longer than what it may wait is refused when it arrives, so that a crowd is
/// told early to come back later instead of waiting for nothing.

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

/// Why a call was not let in, or is given up. All of them promise that it was not run.
enum class Refusal : std::uint8_t {
  kTenantRate,    ///< The tenant is over its calls per second (429).
  kRouteLimit,    ///< The route has its most calls in flight here (503).
  kQueueFull,     ///< The queue is full of calls that go first (503).
  kQueueTooSlow,  ///< It would not reach a replica in time (503).
  kDisplaced,     ///< Was waiting and had to make room for a more urgent call (503).
  kWaitExpired,   ///< EnqueueResult as long as it may (503).
};

/// @return the stable snake_case name, for metrics and error codes.
std::string_view RefusalName(Refusal refusal);

/// A refusal and when coming back makes sense.
struct RefusalNotice {
  Refusal refusal = Refusal::kQueueFull;
  Duration retry_after{};
};

struct AdmissionOptions {
  std::size_t queue_length = 256;                    ///< Most calls waiting for one back end.
  std::size_t queue_bytes = std::size_t{64} << 20U;  ///< Most bytes of requests waiting here.
  std::size_t total_queue_length = 1024;             ///< Most calls waiting at this gateway.
  Duration longest_wait = seconds(3);                ///< Even if the deadline allows more.
  Duration burst = seconds(1);                       ///< Of a tenant's rate that may come at once.
  Duration minimum_retry_after = milliseconds(200);
  Duration maximum_retry_after = seconds(10);
};

using WaitId = std::uint64_t;

/// A call that waits for room.
struct WaitingCall {
  WaitId id = 0;
  std::string backend;
  proto::Priority priority = proto::PRIORITY_STANDARD;
  TimePoint wait_deadline;  ///< When it must have left the queue.
  std::size_t bytes = 0;    ///< Of its request.
};

class AdmissionControl {
 public:
  explicit AdmissionControl(AdmissionOptions options) : options_(options) {}

  /// Counts a call in, or refuses it. An admitted call must be ended by `Finish`.
  std::optional<RefusalNotice> Admit(const proto::Route& route, const proto::Tenant* tenant,
                                     TimePoint now);
  void Finish(const std::string& route_name);

  /// Puts an admitted call in the queue.
  /// @param displaced calls that had to leave for it; they must be answered now.
  /// @return a refusal if it is not queued.
  std::optional<RefusalNotice> Enqueue(const WaitingCall& call, TimePoint now,
                                       std::vector<WaitId>* displaced);
  /// @return up to `count` calls that wait for a back end, the one to serve first at the front.
  std::vector<WaitId> FirstWaiting(const std::string& backend, std::size_t count) const;
  /// Takes a call out because a replica has room for it. @return false if it was not waiting.
  bool Serve(WaitId id, TimePoint now);
  /// Takes a call out because its caller left. @return false if it was not waiting.
  bool Remove(WaitId id);
  /// Takes out all calls that must give up now.
  std::vector<WaitId> TakeExpired(TimePoint now);
  /// @return when the next waiting call gives up.
  std::optional<TimePoint> NextExpiry() const;

  std::size_t Waiting(const std::string& backend) const;
  std::size_t waiting() const { return waiting_.size(); }
  std::size_t waiting_bytes() const { return waiting_bytes_; }
  std::vector<std::string> BackendsWithWaiting() const;
  /// @return when a refused call should come back, from the length and pace of the queue.
  Duration RetryAfter(const std::string& backend) const;
  /// Forgets what idle tenants have left behind; to be called now and then.
  void RemoveIdle(const proto::RoutingConfiguration& configuration, TimePoint now);

 private:
  /// Place in a queue. First served first: urgent, then early deadline, then early arrival.
  struct Rank {
    int urgency = 0;  ///< Lower is served first.
    TimePoint wait_deadline{};
    WaitId id = 0;
    friend auto operator<=>(const Rank&, const Rank&) = default;
  };
  struct Expiry {
    TimePoint at{};
    WaitId id = 0;
    friend auto operator<=>(const Expiry&, const Expiry&) = default;
  };
  struct Queue {
    std::set<Rank> ranks;
    /// Pace of the queue while it is not empty (an idle back end's pace says nothing of what it can
    /// do): moving average, 0 while unknown.
    double served_per_second = 0;
    std::uint64_t served_in_window = 0;
    TimePoint window_start{};
  };

  static Rank MakeRank(const WaitingCall& call);
  std::optional<Duration> ExpectedWait(const Queue& queue, const Rank& rank) const;
  bool HasCapacity(const Queue& queue, std::size_t bytes) const;
  bool DisplaceLowerRanked(Queue& queue, const Rank& rank, std::size_t bytes,
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
