#pragma once
/// @file
/// A queue node (a master in RAMCloud's terms): the owner of batch partitions. Serves the `queue.*`
/// methods of batch.proto and log.proto. Each registration starts a new `QueueNodeIncarnation`
/// under a fresh node id with an empty log; when the id is declared dead, all pending requests fail
/// and the incarnation's state is dropped.
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

  /// Registers the peer methods, and starts an incarnation each time the agent has registered. Call
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
  std::shared_ptr<QueueNodeIncarnation> incarnation_;  ///< nullptr while not registered.
  /// Expires with the service. Callbacks that may run later hold a weak pointer to it and do
  /// nothing then.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank
