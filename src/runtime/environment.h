#pragma once
/// @file
/// Everything a service may ask of the world outside it: time, timers, randomness and calls to
/// peers. The daemon implements it over sockets (net/), the simulator over a seeded event queue
/// (simulation/). Services and cores include no other way out, so the same code runs in both.
///
/// Threads: one `Environment` belongs to one event loop; all its functions are called, and all
/// callbacks run, on that loop. A callback is never run from within the call that registered it.

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/status.h"
#include "base/time.h"

namespace cloverbank {

/// Names a pending timer; 0 is none.
using TimerId = std::uint64_t;

/// Answer to a peer call. `status` is OK and `body` the serialized response message; or
/// kUnavailable: no byte reached the peer; kUnknownOutcome: bytes were sent and no complete reply
/// came within the deadline; any other code: the peer itself refused.
struct PeerReply {
  Status status;
  std::string body;
};
using PeerReplyCallback = std::function<void(PeerReply)>;

/// A call as the called side sees it.
struct PeerRequest {
  std::string body;          ///< Serialized request message.
  std::string peer_address;  ///< IP number of the caller.
};
/// Serves one method. Must call `reply` exactly once, at once or later.
using PeerHandler = std::function<void(const PeerRequest& request, PeerReplyCallback reply)>;

class Environment {
 public:
  virtual ~Environment() = default;

  /// @return the time on the boot clock (advances while frozen or suspended).
  virtual TimePoint Now() const = 0;
  /// @return milliseconds since 1970, for people and records only, never for leases.
  virtual std::int64_t WallMilliseconds() const = 0;
  /// @return 64 random bits (seeded in the simulator).
  virtual std::uint64_t Random() = 0;

  /// Runs `action` once after `delay`. @return the timer, for `CancelTimer`.
  virtual TimerId ScheduleAfter(Duration delay, std::function<void()> action) = 0;
  /// Cancels a pending timer; does nothing if it has run or is 0.
  virtual void CancelTimer(TimerId timer) = 0;

  /// Calls `method` of the peer at `to`; `done` runs exactly once, within `deadline`.
  /// @param method "service.Method", e.g. "backup.WriteSegment".
  virtual void CallPeer(const Endpoint& to, std::string_view method, std::string body,
                        Duration deadline, PeerReplyCallback done) = 0;
  /// Makes `handler` answer `method` on this process's peer endpoint.
  virtual void RegisterPeerMethod(std::string_view method, PeerHandler handler) = 0;

  /// @return the endpoint at which this process's peer methods are reached.
  virtual const Endpoint& peer_endpoint() const = 0;
  virtual Metrics& metrics() = 0;
};

}  // namespace cloverbank
