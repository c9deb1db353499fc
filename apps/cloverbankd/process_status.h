#pragma once
/// @file
/// Adapter: what supervisors and monitoring ask of any daemon, whatever its roles.
///
///     GET /health    200 as long as the event loop turns
///     GET /ready     200 when every role does its work, else 503 with the reasons
///     GET /metrics   the process's metrics in the Prometheus text format

#include <functional>

#include "base/metrics.h"
#include "net/http_types.h"
#include "proto/health.pb.h"

namespace cloverbank {

/// Registers the handlers. `metrics` and what `report` refers to must outlive the router's
/// requests.
void ServeProcessStatus(HttpRouter& router, const Metrics& metrics,
                        std::function<proto::ReadinessReport()> report);

}  // namespace cloverbank
