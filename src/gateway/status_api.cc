#include "gateway/status_api.h"

#include "calls/http_json.h"
#include "gateway/http_query.h"
#include "proto/coordinator.pb.h"
#include "proto/live.pb.h"

namespace cloverbank {
namespace {

constexpr Duration kStatusDeadline = seconds(3);

}  // namespace

StatusApi::StatusApi(Environment& environment, HttpRouter& router, NodeAgent& agent)
    : environment_(environment), agent_(agent) {
  router.Handle("GET", "/v1/status", [this](const HttpRequest&, const Responder& responder) {
    GetFleetStatus(responder);
  });
  router.Handle("GET", "/healthz",
                [this](const HttpRequest&, const Responder& responder) { GetHealth(responder); });
  router.Handle("GET", "/metrics",
                [this](const HttpRequest&, const Responder& responder) { GetMetrics(responder); });
}

void StatusApi::GetFleetStatus(const Responder& responder) {
  agent_.CallLeader<proto::GetFleetStatusResponse>(
      "coordinator.GetFleetStatus", proto::GetFleetStatusRequest(), kStatusDeadline,
      [responder](const Result<proto::GetFleetStatusResponse>& result) {
        if (result.ok()) {
          SendJson(*responder, 200, *result);
        } else {
          SendStatus(*responder, ToReadFailure(result.status()), proto::EXECUTED_NO);
        }
      });
}

void StatusApi::GetHealth(const Responder& responder) {
  proto::GatewayHealth health;
  health.set_serving(agent_.HasValidLease());
  health.set_node_id(agent_.node_id().value());
  health.set_configuration_version(agent_.configuration().version());
  health.set_fleet_version(agent_.fleet().version.value());
  SendJson(*responder, health.serving() ? 200 : 503, health);
}

void StatusApi::GetMetrics(const Responder& responder) {
  HttpResponse response;
  response.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
  response.body = environment_.metrics().Render();
  responder->Send(std::move(response));
}

}  // namespace cloverbank
