#pragma once
/// @file
/// The `Environment` of the daemon: boot clock, event loop timers, and peer calls over HTTP. A call
/// of "backup.Ping" is `POST /peer/backup.Ping` with a protobuf body; a refusal is a 4xx or 5xx
/// response whose body is a serialized `proto::Error`.
///
/// Threads: use only on the event loop's thread.

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>

#include "net/event_loop.h"
#include "net/http_types.h"
#include "runtime/environment.h"

namespace cloverbank {

class AsioEnvironment : public Environment {
 public:
  /// @param client makes the outgoing calls.
  /// @param peer_router serves this process's peer methods. It keeps the handler registered here
  /// when this object is destroyed; requests that arrive after that are answered with kUnavailable.
  /// @param peer_endpoint where other processes reach `peer_router`.
  AsioEnvironment(EventLoop& loop, HttpClient& client, HttpRouter& peer_router,
                  Endpoint peer_endpoint, Metrics& metrics);
  ~AsioEnvironment() override;
  AsioEnvironment(const AsioEnvironment&) = delete;
  AsioEnvironment& operator=(const AsioEnvironment&) = delete;

  TimePoint Now() const override;
  std::int64_t WallMilliseconds() const override;
  std::uint64_t Random() override;
  TimerId ScheduleAfter(Duration delay, std::function<void()> action) override;
  void CancelTimer(TimerId timer) override;
  void CallPeer(const Endpoint& to, std::string_view method, std::string body, Duration deadline,
                PeerReplyCallback done) override;
  void RegisterPeerMethod(std::string_view method, PeerHandler handler) override;
  const Endpoint& peer_endpoint() const override { return peer_endpoint_; }
  Metrics& metrics() override { return metrics_; }

 private:
  using Methods = std::unordered_map<std::string, PeerHandler>;

  EventLoop& loop_;
  HttpClient& client_;
  Endpoint peer_endpoint_;
  Metrics& metrics_;
  std::mt19937_64 random_;
  /// Shared with the handler that the router keeps; the destructor empties it.
  std::shared_ptr<Methods> methods_;
};

}  // namespace cloverbank
