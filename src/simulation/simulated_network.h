#pragma once
/// @file
/// The network of the simulated world. It delays, loses, duplicates and cuts peer calls. The status
/// that a caller gets is always correct: kUnavailable only if no copy of its request has reached or
/// can still reach a running process; kUnknownOutcome at the deadline if there is no reply. A
/// process that is killed breaks its connections (kUnknownOutcome at once); one that loses power
/// only stops replying.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "simulation/event_queue.h"
#include "simulation/seeded_random.h"
#include "simulation/simulated_process.h"
#include "simulation/simulated_world.h"

namespace cloverbank {

class SimulatedNetwork {
 public:
  /// @return the process that runs at an endpoint; nullptr if there is none.
  using FindProcess = std::function<std::shared_ptr<SimulatedProcess>()>;

  SimulatedNetwork(EventQueue& queue, std::uint64_t seed) : queue_(queue), random_(seed) {}
  SimulatedNetwork(const SimulatedNetwork&) = delete;
  SimulatedNetwork& operator=(const SimulatedNetwork&) = delete;

  NetworkBehaviour& behaviour() { return behaviour_; }
  void AddEndpoint(const Endpoint& endpoint, FindProcess find);

  /// Loses messages between two hosts, in one direction. Calls within a host are never cut or lost.
  void Cut(const std::string& from, const std::string& to) { cuts_.emplace(from, to); }
  /// Removes all cuts from or to `host`.
  void Heal(const std::string& host);
  void HealAll() { cuts_.clear(); }

  /// Calls `method` at `to` for `caller`, which runs on `from_host`. `done` runs once in the
  /// caller's process, with the reply or at `deadline`, unless that process ends first.
  void Call(const std::shared_ptr<SimulatedProcess>& caller, const std::string& from_host,
            const Endpoint& to, std::string_view method, std::string body, Duration deadline,
            PeerReplyCallback done);

 private:
  /// One call in progress, shared by the copies of its request.
  struct PendingCall {
    std::weak_ptr<SimulatedProcess> caller;
    std::uint64_t id = 0;
    std::string from_host;
    Endpoint to;
    std::string method;
    int copies = 1;    ///< 2 if the request was duplicated.
    int failures = 0;  ///< Copies that failed.
  };
  using CallPointer = std::shared_ptr<PendingCall>;
  using Body = std::shared_ptr<const std::string>;

  bool IsPartitioned(const std::string& from, const std::string& to) const {
    return cuts_.contains({from, to});
  }
  /// A message of `bytes` between two hosts.
  struct Message {
    std::string from;
    std::string to;
    std::size_t bytes = 0;
  };
  /// Runs `arrive` after a delay, unless the message is lost or the hosts are cut off when it is
  /// sent or when it arrives.
  void Transmit(const Message& message, double loss, std::function<void()> arrive);
  /// Occupies the sender's link for the time that the message takes.
  /// @return when the link has sent the message and all messages before it.
  TimePoint ReserveLink(const Message& message);
  void DeliverRequest(const CallPointer& call, const Body& body);
  void Serve(SimulatedProcess& callee, const CallPointer& call, const Body& body,
             std::uint64_t incoming);
  /// Sends the reply to one copy of the request. The failure of a copy is not reported while
  /// another copy may still succeed.
  void SendCopyReply(const CallPointer& call, PeerReply reply);
  void SendToCaller(const CallPointer& call, PeerReply reply);

  EventQueue& queue_;
  SeededRandom random_;
  NetworkBehaviour behaviour_;
  std::map<Endpoint, FindProcess> endpoints_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::map<std::string, TimePoint> link_free_at_;  ///< When each host's link has sent all messages.
};

}  // namespace cloverbank
