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

/// Counts a heartbeat that brought no usable answer.
void RecordHeartbeatFailure(const NodeContext& context, std::string_view reason);
/// Counts an update that was refused. @param what "configuration" or "fleet".
void RecordUpdateOutcome(const NodeContext& context, std::string_view what, UpdateOutcome outcome);
/// Records that there was no lease for `gap` (zero: there was none), and the configuration version
/// before the answer that ended it.
void RecordLeaseGap(const NodeContext& context, Duration gap, std::uint64_t version_before);

}  // namespace cloverbank
