#pragma once
/// @file
/// Adapter: the HTTP interface for operators (docs/API.md). Any gateway serves it, even without a
/// valid lease, by calling the coordinator leader.
///
///     GET  /v1/config                    returns the configuration and the version in force
///     GET  /v1/config/history?limit=N    lists the newest N transactions
///     POST /v1/config/transactions       applies changes if the expected version is current
///     POST /v1/stores/{machine}/retire   drains a store machine; ?cancel=true cancels that
///
/// Threads: the owner's event loop only.

#include "control_client/operator_client.h"
#include "net/http_types.h"

namespace cloverbank {

class OperatorApi {
 public:
  /// Registers the handlers. `router` must not call them after this object or `agent` is
  /// destroyed.
  OperatorApi(HttpRouter& router, NodeAgent& agent);

 private:
  using Responder = std::shared_ptr<HttpResponder>;

  void GetConfiguration(const Responder& responder);
  void GetHistory(const HttpRequest& request, const Responder& responder);
  void SubmitTransaction(const HttpRequest& request, const Responder& responder);
  void Retire(const HttpRequest& request, const Responder& responder);

  OperatorClient operator_client_;
};

}  // namespace cloverbank
