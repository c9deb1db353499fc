#pragma once
/// @file
/// The interface through which the batch worker runs items at replicas. It hides the choice of the
/// replica, health and the HTTP client, so that the batch worker is tested against a fake. Threads:
/// the owner's event loop only.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/status.h"
#include "base/time.h"
#include "proto/common.pb.h"
#include "proto/configuration.pb.h"
#include "proto/live.pb.h"

namespace cloverbank {

/// Code of `BackendOutcome::error` when a replica found the request invalid: nothing ran, and other
/// replicas would reject it too.
inline constexpr std::string_view kReplicaRejectedCode = "replica_rejected";

/// The result of one complete (not streamed) call at a back end.
struct BackendOutcome {
  proto::Executed executed = proto::EXECUTED_UNSPECIFIED;
  /// A complete response was received: `answer` is set and `executed` is EXECUTED_YES.
  bool succeeded = false;
  proto::CallAnswer answer;
  proto::CallError error;  ///< Set when not succeeded.
  /// Of a forwarded batch item: the number of runs whose failure a replica reported, including
  /// those under earlier leases.
  std::uint32_t failed_runs = 0;
};

/// One running call at a back end.
class BackendCall {
 public:
  virtual ~BackendCall() = default;
  /// Cancels the call and closes its connection; `done` never runs afterwards.
  virtual void Cancel() = 0;
};

/// One batch item to run.
struct BatchItemCall {
  proto::Route route;               ///< By the current configuration.
  std::string backend;              ///< One of the route's, at which a slot is free.
  proto::RouteReference reference;  ///< By which the route is found again before each attempt.
  proto::CallRequest request;
  Duration deadline{};  ///< Time for the whole call, retries included, from now.
};

class BackendCaller {
 public:
  virtual ~BackendCaller() = default;

  /// @return how many more batch items may start now on replicas of `backend`: their capacity less
  /// live calls and the configured reserve.
  virtual std::uint32_t FreeBatchSlots(const std::string& backend) const = 0;

  /// Runs one batch item at a replica of its route. A call of a non-idempotent route is
  /// never retried once bytes of it were sent, unless the replica refused it before running it.
  /// @param can_start evaluated before each attempt, and again immediately before its request is
  /// sent. Once it returns false nothing more is sent; the call ends with EXECUTED_NO if no earlier
  /// attempt may have run.
  /// @param done runs exactly once, after this function has returned, unless the call is cancelled.
  /// @return the running call; destroying the handle does not cancel it.
  virtual std::shared_ptr<BackendCall> RunBatchItem(const BatchItemCall& item,
                                                    std::function<bool()> can_start,
                                                    std::function<void(BackendOutcome)> done) = 0;
};

}  // namespace cloverbank
