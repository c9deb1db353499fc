#pragma once
/// @file
/// A queue node (RAMCloud's master): owner of batch partitions. Serves the `queue.*` calls of
/// batch.proto and log.proto. Each registration begins a new life under a fresh node id with an
/// empty log
/// (`QueueNodeIncarnation`); when the id is declared dead, everything waiting ends and the state is
/// dropped.
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

  /// Begins to serve; lives begin with the agent's registrations. Call it once, before the agent
  /// starts.
  void Start();
  /// Whether its log is not open, or some of it has fewer copies than wanted.
  bool degraded() const { return incarnation_ == nullptr || incarnation_->degraded(); }

 private:
  void BeginIncarnation();
  void EndIncarnation();
  void ServeBatches();
  void ServeTokens();
  void ServeWork();
  void ServeRecovery();
  /// Answers `method` with a call of the present incarnation's handler; kUnavailable without one.
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
