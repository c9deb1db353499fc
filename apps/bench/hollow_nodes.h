#pragma once
/// @file
/// Hundreds of nodes in one process: each is the product's own `NodeAgent` (registration,
/// heartbeats, lease, configuration watch) over real sockets, without the role's work behind it.
/// Threads: one, which also runs the loop.

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
  HollowNodes(std::vector<Endpoint> coordinators, std::size_t expected_nodes);
  ~HollowNodes();
  HollowNodes(const HollowNodes&) = delete;
  HollowNodes& operator=(const HollowNodes&) = delete;

  /// Adds gateways until there are `count`, spread over the zones.
  void Grow(std::size_t count);
  /// @return how many hold a valid lease now.
  std::size_t Leased() const;
  /// @return how many hold at least this configuration version.
  std::size_t Holding(std::uint64_t version) const;
  std::size_t size() const { return agents_.size(); }
  NodeAgent& first() { return *agents_.front(); }
  const TrafficCount& traffic() const { return counting_.count(); }

  /// Runs the loop until `condition` holds or `limit` has passed. @return whether it held.
  bool RunUntil(const std::function<bool()>& condition, Duration limit);
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
  /// One for each agent: coordinators know a node by its peer endpoint.
  std::vector<std::unique_ptr<AsioEnvironment>> environments_;
  std::vector<std::unique_ptr<NodeAgent>> agents_;
};

}  // namespace cloverbank
