#pragma once
/// @file
/// Log events and metrics of a node's heartbeats.

#include <cstdint>
#include <string_view>

#include "base/status.h"
#include "base/time.h"
#include "control_client/configuration_watch.h"
#include "control_client/node_context.h"

namespace cloverbank {

/// Counts a heartbeat that got no usable response.
/// @param reason label of the metric: the name of the status code, or "malformed".
void RecordHeartbeatFailure(const NodeContext& context, std::string_view reason);
/// Counts the update if `outcome` says that it was refused, and logs it as an error if its version
/// was older than the node's.
/// @param what "configuration" or "fleet".
void RecordUpdateOutcome(const NodeContext& context, std::string_view what, UpdateOutcome outcome);
/// Records that the node had no lease for `gap`; does nothing if `gap` is zero.
/// @param version_before the configuration version before the response that renewed the lease.
void RecordLeaseGap(const NodeContext& context, Duration gap, std::uint64_t version_before);

}  // namespace cloverbank
