#pragma once
/// @file
/// Adapter: the HTTP interface for supervisors and monitoring, which every daemon serves whatever
/// its roles.
///
///     GET /health    200 as long as the event loop runs
///     GET /ready     200 when every role is ready and no stop has begun, else 503 with the reasons
///     GET /metrics   the process's metrics in the Prometheus text format

#include <functional>

#include "base/metrics.h"
#include "net/http_types.h"
#include "proto/health.pb.h"

namespace cloverbank {

/// Registers the handlers.
/// @param metrics must outlive the router's requests.
/// @param report called for each GET /ready; what it refers to must outlive the router's requests.
void ServeProcessStatus(HttpRouter& router, const Metrics& metrics,
                        std::function<proto::ReadinessReport()> report);

}  // namespace cloverbank
