#include "cloverbankd/process_status.h"

#include <memory>
#include <utility>

#include "calls/http_json.h"

namespace cloverbank {
namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr const char* kMetricsContentType = "text/plain; version=0.0.4";

using Responder = std::shared_ptr<HttpResponder>;

}  // namespace

void ServeProcessStatus(HttpRouter& router, const Metrics& metrics,
                        std::function<proto::ReadinessReport()> report) {
  router.Handle("GET", "/health", [](const HttpRequest&, const Responder& responder) {
    responder->Send({kOk, {{"Content-Type", "application/json"}}, R"({"alive":true})"});
  });
  router.Handle("GET", "/ready",
                [report = std::move(report)](const HttpRequest&, const Responder& responder) {
                  const proto::ReadinessReport current = report();
                  SendJson(*responder, current.ready() ? kOk : kUnavailable, current);
                });
  router.Handle("GET", "/metrics", [&metrics](const HttpRequest&, const Responder& responder) {
    responder->Send({kOk, {{"Content-Type", kMetricsContentType}}, metrics.Render()});
  });
}

}  // namespace cloverbank
