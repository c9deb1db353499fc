#pragma once
/// @file
/// Options of the data plane, with their defaults.

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

/// Names of the headers that gateways and replicas add to forwarded requests and responses. The
/// platform's adapter sets them.
struct ReplicaHeaderNames {
  std::string call_id = "X-Call-Id";                      ///< Echoed in every response.
  std::string deadline_ms = "X-Deadline-Ms";              ///< Time left, in milliseconds.
  std::string expected_instance = "X-Expected-Instance";  ///< Other instances respond 421, not run.
  std::string not_run = "X-Not-Run";                      ///< The replica did not run the request.
  std::string resume_after = "X-Resume-After";            ///< Id of the last event received.
};

/// How this gateway shares warming replicas and batch capacity with other gateways.
struct SharingOptions {
  /// A gateway starts to use a warming replica at a random time up to this after the first
  /// successful health check.
  Duration maximum_start_delay = seconds(1);
  double initial_slow_start_quota =
      0.1;  ///< Part of a warming replica's free capacity that is used until its next load report.
  double slow_start_quota_growth = 0.02;  ///< Added with each report without a collision.
  double initial_batch_quota = 0.25;      ///< The same of the capacity for batch work.
  double batch_quota_growth = 0.003;
};

/// Bounds of one call.
struct CallOptions {
  Duration default_deadline = seconds(30);  ///< When neither the route nor the client sets one.
  Duration stream_idle_limit = seconds(4);  ///< Longest time without data of a replica's stream.
  /// Of forwarded calls; another replica is chosen afterwards.
  Duration replica_connect_timeout = milliseconds(200);
  /// Without health checks: time without a response to running calls after which other replicas are
  /// preferred.
  Duration stall_limit = milliseconds(350);
  /// An idempotent call is retried elsewhere after this time without a response, or twice its
  /// route's target if that is longer.
  Duration response_timeout = milliseconds(500);
  /// How long a call to forward waits for the first configuration of a gateway that has just
  /// started; at most half of the client's timeout.
  Duration control_wait = milliseconds(2500);
  std::size_t maximum_waiting_for_control = 256;
  /// Longest time without data of a forwarded batch item; it is retried elsewhere.
  Duration batch_idle_limit = milliseconds(2500);
  /// A timeout after less than this does not count against the replica's health.
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
  /// How long live calls are served by the last configuration after the lease expired. Only zero
  /// guarantees that no partitioned gateway serves by an older configuration than the acknowledged
  /// one.
  Duration serve_without_control{};
};

}  // namespace cloverbank
