#include "batch_work/queue_node_call.h"

namespace cloverbank {

NodeId FindPartitionOwner(const NodeAgent& agent, PartitionId partition) {
  const proto::Server* owner = agent.fleet().OwnerOf(partition);
  return owner == nullptr ? NodeId() : NodeId(owner->node_id());
}

Endpoint PeerEndpointFor(const proto::Server& server) {
  return {server.peer_endpoint().host(), static_cast<std::uint16_t>(server.peer_endpoint().port())};
}

void RecordQueueNodeFailure(Environment& environment, NodeAgent& agent, std::string_view method,
                            NodeId node, const Status& status) {
  environment.metrics().Increment("batch_worker_call_failed_total",
                                  {{"method", method}, {"reason", StatusCodeName(status.code())}});
  const bool no_response =
      status.code() == StatusCode::kUnavailable || status.code() == StatusCode::kUnknownOutcome;
  if (no_response) {
    agent.ReportSuspect(node);
  }
}

}  // namespace cloverbank
