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
/// platform's adapter may replace these defaults.
struct ReplicaHeaderNames {
  /// Call id; a replica echoes it in every response.
  std::string call_id = "X-Call-Id";
  /// Time left until the deadline, in milliseconds.
  std::string deadline_ms = "X-Deadline-Ms";
  /// Id of the instance that is meant. Any other one responds with 421 and does not run the
  /// request.
  std::string expected_instance = "X-Expected-Instance";
  /// Set in a response if the replica did not run the request.
  std::string not_run = "X-Not-Run";
  /// Id of the last event received, in a request that resumes a stream.
  std::string resume_after = "X-Resume-After";
};

/// How this gateway shares replicas in slow start and batch capacity with other gateways. The
/// quotas are the initial fractions and growths of `AdaptiveCapacityRatio`.
struct SharingOptions {
  /// Upper bound of the random time between the first successful health check of a replica in slow
  /// start and this gateway's first call to it.
  Duration maximum_start_delay = seconds(1);
  /// Fraction of the free capacity of a replica in slow start that this gateway uses until the
  /// replica's next load report.
  double initial_slow_start_quota = 0.1;
  double slow_start_quota_growth = 0.02;  ///< Added with each report without an overload.
  double initial_batch_quota = 0.25;      ///< The same fraction of the capacity for batch work.
  double batch_quota_growth = 0.003;      ///< Added with each report without an overload.
};

/// Time and size limits of calls.
struct CallOptions {
  Duration default_deadline = seconds(30);  ///< When neither the route nor the client sets one.
  /// Longest time without data for a stream of the JSON interface.
  Duration stream_idle_limit = seconds(4);
  /// Longest time to connect to a replica for a forwarded call, before another one is chosen.
  Duration replica_connect_timeout = milliseconds(200);
  /// Without health checks: time without a response to running calls after which other replicas are
  /// preferred.
  Duration stall_limit = milliseconds(350);
  /// An idempotent forwarded call is retried at another replica after this time without a response,
  /// or after twice its route's target if that is longer, provided that the replica responds to no
  /// other call of this gateway either.
  Duration response_timeout = milliseconds(500);
  /// How long a call that is to be forwarded waits until the gateway has a configuration and a
  /// valid lease, which it lacks when it has just started; at most half of the client's timeout.
  Duration configuration_wait = milliseconds(2500);
  std::size_t maximum_waiting_for_configuration = 256;  ///< Calls that wait so at the same time.
  /// Longest time without data for a forwarded batch item, before it is retried elsewhere.
  Duration batch_idle_limit = milliseconds(2500);
  /// A timeout after less than this does not count against the replica's health.
  Duration minimum_response_time = seconds(1);
  std::size_t maximum_request_bytes = std::size_t{1} << 20U;
  std::size_t maximum_chunk_bytes = std::size_t{256} << 10U;   ///< Of one chunk or event.
  std::size_t maximum_response_bytes = std::size_t{8} << 20U;  ///< Of a response in one piece.
};

struct GatewayOptions {
  std::string zone;  ///< The gateway's own zone.
  ReplicaListOptions replica_list;
  ProbeOptions probe;
  ReplicaHealthOptions health;
  SharingOptions sharing;
  AdmissionOptions admission;
  RetryOptions retry;
  PrefillOptions prefill;
  CallOptions calls;
  IdempotencyOptions idempotency;
  ReplicaHeaderNames replica_header_names;
  /// How long this gateway serves live calls by the last configuration after its node lease
  /// expired. Only zero guarantees that no gateway that is cut off from the coordinators serves by
  /// an older configuration than the acknowledged one.
  Duration serve_without_control{};
};

}  // namespace cloverbank
