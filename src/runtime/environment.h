#pragma once
/// @file
/// The interface through which services access everything outside their own state: time, timers,
/// random numbers and calls to peers. The daemon implements it over sockets (net/), the simulator
/// over a seeded event queue (simulation/). Services must not use clocks, sockets or random sources
/// in any other way, so that the same code runs in both.
///
/// Threads: one `Environment` belongs to one event loop. Call its functions on the thread of that
/// loop; all callbacks run there too. A callback never runs inside the call that registered it.

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/status.h"
#include "base/time.h"

namespace cloverbank {

/// Identifies a pending timer; 0 means none.
using TimerId = std::uint64_t;

/// Reply to a peer call. If `status` is OK, `body` is the serialized response message. Otherwise:
/// kUnavailable: no byte reached the peer, or the peer refused with this code; kUnknownOutcome:
/// bytes were sent and no complete reply came within the deadline; any other code: the peer
/// refused.
struct PeerReply {
  Status status;
  std::string body;
};
using PeerReplyCallback = std::function<void(PeerReply)>;

/// A peer call as the called process receives it.
struct PeerRequest {
  std::string body;          ///< Serialized request message.
  std::string peer_address;  ///< IP address of the caller.
};
/// Serves one method. Must call `reply` exactly once, before it returns or later on the loop.
using PeerHandler = std::function<void(const PeerRequest& request, PeerReplyCallback reply)>;

class Environment {
 public:
  virtual ~Environment() = default;

  /// @return the time on the boot clock, which also advances while the process is frozen or the
  /// machine is suspended.
  virtual TimePoint Now() const = 0;
  /// @return milliseconds since 1970-01-01 UTC. Only for people and stored records, never for
  /// leases.
  virtual std::int64_t WallMilliseconds() const = 0;
  /// @return 64 random bits (seeded in the simulator).
  virtual std::uint64_t Random() = 0;

  /// Runs `action` once on the loop after `delay`. @return the timer's id for `CancelTimer`.
  virtual TimerId ScheduleAfter(Duration delay, std::function<void()> action) = 0;
  /// Cancels a pending timer; does nothing if it has run or is 0.
  virtual void CancelTimer(TimerId timer) = 0;

  /// Calls `method` of the peer at `to`. `done` runs exactly once on the loop, at the latest when
  /// `deadline` (a duration from now) has passed.
  /// @param method "service.Method", e.g. "backup.WriteSegment".
  virtual void CallPeer(const Endpoint& to, std::string_view method, std::string body,
                        Duration deadline, PeerReplyCallback done) = 0;
  /// Registers `handler` for `method` on this process's peer endpoint; replaces an earlier handler.
  virtual void RegisterPeerMethod(std::string_view method, PeerHandler handler) = 0;

  /// @return the endpoint at which other processes reach this process's peer methods.
  virtual const Endpoint& peer_endpoint() const = 0;
  virtual Metrics& metrics() = 0;
};

}  // namespace cloverbank
