#pragma once
/// @file
/// Adapter: the HTTP interface for batch clients (docs/API.md). Any gateway serves it by calling
/// the queue node that owns the partition of the tenant or of the batch.
///
///     POST /v1/batches                 submits a batch: 201, or 200 if it was already accepted
///     GET  /v1/batches                 lists a tenant's batches in order of acceptance
///     GET  /v1/batches/{id}            returns the status of one batch
///     GET  /v1/batches/{id}/results    lists its results in order of completion
///     POST /v1/batches/{id}/cancel     cancels it: no further item is started
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
  /// Registers the handlers. `router` must not call them after this object or `agent` is
  /// destroyed.
  BatchApi(Environment& environment, HttpRouter& router, NodeAgent& agent);

 private:
  using Responder = std::shared_ptr<HttpResponder>;

  void Submit(const HttpRequest& request, const Responder& responder);
  /// Answers a submission that the configuration does not allow as the resend of an accepted batch,
  /// or refuses it with its problems.
  void AnswerResendOrRefuse(const proto::SubmitBatchRequest& submit,
                            const std::vector<std::string>& problems, const Responder& responder);
  void List(const HttpRequest& request, const Responder& responder);
  void Get(const HttpRequest& request, const Responder& responder);
  void ListResults(const HttpRequest& request, const Responder& responder);
  void Cancel(const HttpRequest& request, const Responder& responder);

  /// @return whether this gateway has a valid lease and knows the number of partitions; if not, an
  /// error was sent.
  bool CheckServing(HttpResponder& responder);
  /// Checks serving, and reads the batch id of the path and the partition that it names.
  /// @return false if an error was sent instead.
  bool ParseBatchId(const HttpRequest& request, HttpResponder& responder, std::string* batch_id,
                    PartitionId* partition);

  Environment& environment_;
  NodeAgent& agent_;
  BatchOwnerClient owners_;
};

}  // namespace cloverbank
