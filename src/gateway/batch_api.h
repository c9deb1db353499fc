#pragma once
/// @file
/// Adapter: the batch clients' HTTP interface (docs/API.md). Any gateway serves it by calling the
/// owner of the tenant's partition.
///
///     POST /v1/batches                 submits a batch: 201, or 200 if it was accepted before
///     GET  /v1/batches                 a tenant's batches in order of acceptance
///     GET  /v1/batches/{id}            one batch
///     GET  /v1/batches/{id}/results    its results in order of completion
///     POST /v1/batches/{id}/cancel     starts nothing more of it
///
/// Threads: the owner's event loop only.

#include <functional>
#include <memory>
#include <string>

#include "control_client/node_agent.h"
#include "gateway/batch_owner_client.h"
#include "net/http_types.h"
#include "proto/batch.pb.h"
#include "runtime/environment.h"

namespace cloverbank {

class BatchApi {
 public:
  /// Registers the handlers. `router` must not serve any more once this or `agent` is gone.
  BatchApi(Environment& environment, HttpRouter& router, NodeAgent& agent);

 private:
  using Responder = std::shared_ptr<HttpResponder>;

  void Submit(const HttpRequest& request, const Responder& responder);
  void List(const HttpRequest& request, const Responder& responder);
  void Get(const HttpRequest& request, const Responder& responder);
  void ListResults(const HttpRequest& request, const Responder& responder);
  void Cancel(const HttpRequest& request, const Responder& responder);

  /// @return whether this gateway has a lease and knows the partitions; else an error was sent.
  bool CheckServing(HttpResponder& responder);
  /// @return whether the path's batch id names a partition; else an error was sent.
  bool ParseBatchId(const HttpRequest& request, HttpResponder& responder, std::string* batch_id,
                    PartitionId* partition);

  Environment& environment_;
  NodeAgent& agent_;
  BatchOwnerClient owners_;
};

}  // namespace cloverbank
