#pragma once
/// @file
/// A gateway whose HTTP routes are served by scripted replicas, for tests of requests that are
/// forwarded unchanged.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/forwarding_service.h"
#include "gateway_harness.h"

namespace cloverbank {

class ForwardHarness : public GatewayHarness {
 public:
  ForwardHarness() {
    options.probe.enabled = false;
    permission.stored.set_label(7);
  }

  proto::Route& AddHttpRoute(const std::string& name, const std::string& prefix, bool idempotent,
                             bool streamed) {
    proto::Route& route = AddRoute(name, proto::BACKEND_KIND_HTTP, idempotent);
    route.set_host("shop.example");
    route.set_path_prefix(prefix);
    route.set_streamed(streamed);
    route.set_resumable(streamed && idempotent);
    route.set_attempts(idempotent ? 2 : 1);
    route.set_target_ms(100);
    route.set_deadline_ms(5'000);
    return route;
  }

  /// Adds a replica that records its calls in `received_calls`; the test sends the responses.
  void AddHttpReplica(const std::string& id, const std::string& zone) {
    FakeReplica& replica = AddReplica(id, zone, 8, proto::BACKEND_KIND_HTTP);
    client->scripts[EndpointFor(replica).ToString()] = [this, id](const ExchangePtr& exchange) {
      received_calls.push_back(exchange);
      receiving_replicas.push_back(id);
    };
  }

  void StartForwarding() {
    Start(seconds(1));
    context =
        std::make_unique<CallContext>(CallContext{{*environment, *client, *pool, options.calls},
                                                  permission,
                                                  *queue,
                                                  first_plane->budget,
                                                  options.retry});
    service = std::make_unique<ForwardingService>(*context, options);
  }

  std::shared_ptr<FakeResponder> Forward(
      const std::string& path, const std::string& id,
      std::function<void(const proto::Route&)> on_batch_route = nullptr) {
    auto responder = std::make_shared<FakeResponder>();
    IncomingCall call;
    call.host = "Shop.example";
    call.path = path;
    call.call_id = id;
    call.timeout = seconds(4);
    call.on_batch_route = std::move(on_batch_route);
    call.request.set_method("POST");
    call.request.set_target(path + "?q=1%20");
    call.request.set_body("body");
    proto::HttpField* field = call.request.add_headers();
    field->set_name("X-Anything");
    field->set_value("kept");
    service->Handle(std::move(call), responder);
    world.RunFor(milliseconds(20));
    return responder;
  }

  /// Sends a complete response from the replica that received call number `index`.
  void Respond(std::size_t index, HttpResponse response) {
    received_calls[index]->Answer(std::move(response));
    world.RunFor(milliseconds(5));
  }
  /// Sends bytes of a streamed response from the replica that received call number `index`.
  void SendBytes(std::size_t index, const std::string& bytes) {
    received_calls[index]->Bytes(bytes);
    world.RunFor(milliseconds(5));
  }

  /// @return response headers that echo the call id, as replicas must, and a header of their own.
  static HttpHeaders EchoHeaders(const std::string& id) {
    return {{"X-Call-Id", id}, {"Stamp", "s"}};
  }
  static std::string Event(int id) {
    return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
  }

  std::vector<ExchangePtr> received_calls;
  std::vector<std::string> receiving_replicas;  ///< Ids of the replicas that received them.
  std::unique_ptr<CallContext> context;
  std::unique_ptr<ForwardingService> service;
};

}  // namespace cloverbank
