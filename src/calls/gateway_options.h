#pragma once
/// @file
/// Every bound of the data plane, with its default.

#include <cstddef>
#include <string>

#include "admission/admission_control.h"
#include "base/time.h"
#include "calls/idempotency_cache.h"
#include "calls/retry_policy.h"
#include "replicas/prefill_load.h"
#include "replicas/replica_health.h"
#include "replicas/replica_options.h"

namespace cloverbank {

/// Names of the headers that gateways and replicas add to what is passed on. Which ones a platform
/// uses is told by its adapter.
struct ReplicaHeaderNames {
  std::string call_id = "X-Call-Id";                      ///< Echoed in every answer.
  std::string deadline_ms = "X-Deadline-Ms";              ///< Time that is left.
  std::string expected_instance = "X-Expected-Instance";  ///< Others answer 421, not run.
  std::string not_run = "X-Not-Run";                      ///< The replica did not run the request.
  std::string resume_after = "X-Resume-After";            ///< Go on after this event.
};

/// How cold replicas and batch work are shared with other gateways.
struct SharingOptions {
  /// A gateway begins with a cold replica at a random time up to this after its first good probe.
  Duration longest_start_delay = seconds(1);
  double initial_slow_start_quota =
      0.1;  ///< Of a cold replica's room, taken at each of its reports.
  double slow_start_quota_growth = 0.02;  ///< With each report that shows no collision.
  double initial_batch_quota = 0.25;      ///< Of the room for batch work, taken likewise.
  double batch_quota_growth = 0.003;
};

/// Bounds of one call.
struct CallOptions {
  Duration default_deadline = seconds(30);  ///< When neither the route nor the caller names one.
  Duration stream_idle_limit = seconds(4);  ///< Longest silence within a replica's stream.
  /// Longest wait for a connection to a replica that a call is passed on to; it is tried elsewhere.
  Duration replica_connect_timeout = milliseconds(200);
  /// Where replicas are not probed: silence of one with calls after which others are preferred.
  Duration stall_limit = milliseconds(350);
  /// A call that may be repeated is taken elsewhere after this silence before an answer, or twice
  /// its route's target if that is longer.
  Duration response_timeout = milliseconds(500);
  /// How long a call to be passed on waits for the first configuration of a gateway that has just
  /// started; never longer than half of its caller's patience.
  Duration control_wait = milliseconds(2500);
  std::size_t maximum_waiting_for_control = 256;
  /// The same of a batch item that is passed on: it may run elsewhere.
  Duration batch_idle_limit = milliseconds(2500);
  /// A shorter wait for a first byte says nothing about the replica's health.
  Duration minimum_response_time = seconds(1);
  std::size_t maximum_request_bytes = std::size_t{1} << 20U;
  std::size_t maximum_chunk_bytes = std::size_t{256} << 10U;
  std::size_t maximum_response_bytes = std::size_t{8} << 20U;
};

struct GatewayOptions {
  std::string zone;  ///< The gateway's own.
  ReplicaListOptions replica_list;
  ProbeOptions probe;
  ReplicaHealthOptions health;
  SharingOptions sharing;
  AdmissionOptions admission;
  RetryOptions retry;
  PrefillOptions prefill;
  CallOptions calls;
  IdempotencyOptions idempotency;
  ReplicaHeaderNames forward_headers;
  /// How long live calls are served by the configuration held after the lease ran out. Zero keeps
  /// the promise that nobody serves by an older one than what was acknowledged, also when cut off.
  Duration serve_without_control{};
};

}  // namespace cloverbank
