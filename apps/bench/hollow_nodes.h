#pragma once
/// @file
/// Hundreds of nodes in one process. Each is a real `NodeAgent` (registration, heartbeats, lease,
/// configuration watch) over real sockets, without the work of its role. Threads: one, which also
/// runs the event loop.

#include <functional>
#include <memory>
#include <vector>

#include "bench/counting_client.h"
#include "control_client/node_agent.h"
#include "net/asio_environment.h"
#include "net/beast_http_client.h"
#include "net/event_loop.h"

namespace cloverbank {

class HollowNodes {
 public:
  /// @param coordinators peer endpoints of the coordinators.
  /// @param expected_nodes largest number of nodes; sets how many idle connections are kept.
  HollowNodes(std::vector<Endpoint> coordinators, std::size_t expected_nodes);
  ~HollowNodes();
  HollowNodes(const HollowNodes&) = delete;
  HollowNodes& operator=(const HollowNodes&) = delete;

  /// Adds gateways until there are `count`, spread over the zones.
  void Grow(std::size_t count);
  /// @return the number of nodes that hold a valid lease now.
  std::size_t LeasedCount() const;
  /// @return the number of nodes whose configuration has at least this version.
  std::size_t CountAtVersion(std::uint64_t version) const;
  std::size_t size() const { return agents_.size(); }
  NodeAgent& first() { return *agents_.front(); }
  const TrafficCount& traffic() const { return counting_.count(); }

  /// Runs the event loop until `condition` returns true or `limit` has passed. @return the last
  /// value of `condition`, which is called on this thread.
  bool RunUntil(const std::function<bool()>& condition, Duration limit);
  /// Runs the event loop for `time`.
  void RunFor(Duration time);

 private:
  class NullRouter : public HttpRouter {
   public:
    void Handle(std::string_view, std::string_view, HttpHandler) override {}
  };

  EventLoop loop_;
  Metrics metrics_;
  BeastHttpClient client_;
  CountingClient counting_;
  NullRouter router_;
  std::vector<Endpoint> coordinators_;
  /// One for each agent, because coordinators identify a node by its peer endpoint.
  std::vector<std::unique_ptr<AsioEnvironment>> environments_;
  std::vector<std::unique_ptr<NodeAgent>> agents_;
};

}  // namespace cloverbank
