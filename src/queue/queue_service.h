#pragma once
/// @file
/// A queue node (RAMCloud's master): owner of batch partitions. Serves the `queue.*` methods of
/// batch.proto and log.proto. Each registration starts a new `QueueNodeIncarnation` under a fresh
/// node id with an empty log; when the id is declared dead, all pending requests fail and the state
/// is dropped.
///
/// Threads: the environment's event loop only.

#include <functional>
#include <memory>
#include <string_view>

#include "control_client/node_agent.h"
#include "queue/queue_node_incarnation.h"
#include "runtime/environment.h"

namespace cloverbank {

class QueueService {
 public:
  /// `environment` and `agent` (of role queue) must outlive the service.
  QueueService(Environment& environment, NodeAgent& agent, QueueOptions options);
  ~QueueService();
  QueueService(const QueueService&) = delete;
  QueueService& operator=(const QueueService&) = delete;

  /// Registers the peer methods and starts an incarnation at each registration of the agent. Call
  /// it once, before the agent starts.
  void Start();
  /// Whether the node is not registered, or some log segment has fewer replicas than configured.
  bool degraded() const { return incarnation_ == nullptr || incarnation_->degraded(); }

 private:
  void BeginIncarnation();
  void EndIncarnation();
  void ServeBatches();
  void ServeTokens();
  void ServeWork();
  void ServeRecovery();
  /// Routes `method` to a handler of the current incarnation; kUnavailable if there is none.
  template <typename Handler, typename Request, typename Response>
  void Serve(std::string_view method, Handler& (QueueNodeIncarnation::*get_handler)(),
             void (Handler::*handle)(const Request&, const std::function<void(Result<Response>)>&));

  Environment& environment_;
  NodeAgent& agent_;
  QueueOptions options_;
  std::shared_ptr<QueueNodeIncarnation> incarnation_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank
