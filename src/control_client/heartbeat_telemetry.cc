#include "control_client/heartbeat_telemetry.h"

#include "base/logging.h"

namespace cloverbank {
namespace {

/// Shorter gaps between leases appear only in the metric, not in the log.
constexpr Duration kMinimumLoggedLeaseGap = milliseconds(500);

}  // namespace

void RecordHeartbeatFailure(const NodeContext& context, std::string_view reason) {
  context.environment.metrics().Increment("node_heartbeat_failed_total", {{"reason", reason}});
}

void RecordUpdateOutcome(const NodeContext& context, std::string_view what, UpdateOutcome outcome) {
  if (outcome != UpdateOutcome::kGap && outcome != UpdateOutcome::kOlder) {
    return;
  }
  context.environment.metrics().Increment("node_update_refused_total",
                                          {{"what", what}, {"reason", UpdateOutcomeName(outcome)}});
  if (outcome == UpdateOutcome::kOlder) {
    Log(LogLevel::kError, "older_version_rejected",
        {{"what", what}, {"machine", context.options.machine}});
  }
}

void RecordLeaseGap(const NodeContext& context, Duration gap, std::uint64_t version_before) {
  if (gap <= Duration::zero()) {
    return;
  }
  context.environment.metrics().ObserveSeconds("node_lease_lost_seconds",
                                               std::chrono::duration<double>(gap).count());
  if (gap < kMinimumLoggedLeaseGap) {
    return;
  }
  Log(LogLevel::kWarning, "node_lease_lost",
      {{"machine", context.options.machine},
       {"role", proto::Role_Name(context.options.role)},
       {"ms", std::chrono::duration_cast<milliseconds>(gap).count()},
       {"version_before", version_before},
       {"version", context.session.configuration().version()}});
}

}  // namespace cloverbank
