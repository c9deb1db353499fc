#pragma once
/// @file
/// The network of the simulated world: delays, loses, duplicates and cuts peer calls. What a caller
/// is reported is always true: kUnavailable only if no duplicate of its request reached or can
/// still reach a running process; a missing reply ends as kUnknownOutcome at the deadline; a
/// process that is killed breaks its connections (kUnknownOutcome at once), one that loses power
/// just stops replying.

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
  /// @return the process that runs behind an endpoint; nullptr if none does.
  using FindProcess = std::function<std::shared_ptr<SimulatedProcess>()>;

  SimulatedNetwork(EventQueue& queue, std::uint64_t seed) : queue_(queue), random_(seed) {}
  SimulatedNetwork(const SimulatedNetwork&) = delete;
  SimulatedNetwork& operator=(const SimulatedNetwork&) = delete;

  NetworkBehaviour& behaviour() { return behaviour_; }
  void AddEndpoint(const Endpoint& endpoint, FindProcess find);

  /// Cuts are between hosts; calls within a host cross none and are never lost.
  void Cut(const std::string& from, const std::string& to) { cuts_.emplace(from, to); }
  void Heal(const std::string& host);
  void HealAll() { cuts_.clear(); }

  /// Calls `method` at `to` for `caller`, which sits on `from_host`.
  void Call(const std::shared_ptr<SimulatedProcess>& caller, const std::string& from_host,
            const Endpoint& to, std::string_view method, std::string body, Duration deadline,
            PeerReplyCallback done);

 private:
  /// One call under way, shared by the copies of its request.
  struct PendingCall {
    std::weak_ptr<SimulatedProcess> caller;
    std::uint64_t id = 0;
    std::string from_host;
    Endpoint to;
    std::string method;
    int copies = 1;
    int failures = 0;
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
  /// Runs `arrive` after a delay unless the message is lost or meets a cut, at its start or its
  /// end.
  void Transmit(const Message& message, double loss, std::function<void()> arrive);
  /// @return when the link of the sender has taken the message, and those before it.
  TimePoint PassLink(const Message& message);
  void ArriveRequest(const CallPointer& call, const Body& body);
  void Serve(SimulatedProcess& callee, const CallPointer& call, const Body& body,
             std::uint64_t incoming);
  /// Sends an answer of one copy. A failed copy is no answer while another may yet succeed.
  void SendAnswer(const CallPointer& call, PeerReply reply);
  void SendToCaller(const CallPointer& call, PeerReply reply);

  EventQueue& queue_;
  SeededRandom random_;
  NetworkBehaviour behaviour_;
  std::map<Endpoint, FindProcess> endpoints_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::map<std::string, TimePoint> link_free_;  ///< By host, when its link has sent everything.
};

}  // namespace cloverbank
