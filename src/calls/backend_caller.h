#pragma once
/// @file
/// How the batch worker and the live calls reach a replica: one interface over replica choice,
/// health and the HTTP client, so that both are tested against fakes. Threads: the owner's event
/// loop only.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/status.h"
#include "base/time.h"
#include "proto/configuration.pb.h"
#include "proto/live.pb.h"

namespace cloverbank {

/// Code of `BackendOutcome::error` when a replica found the request itself wrong: nothing ran, and
/// no other replica would take it.
inline constexpr std::string_view kReplicaRejectedCode = "replica_rejected";

/// The result of one complete (not streamed) call at a back end.
struct BackendOutcome {
  proto::Executed executed = proto::EXECUTED_UNSPECIFIED;
  bool succeeded = false;  ///< A complete response: `answer` is set and `executed` is yes.
  proto::CallAnswer answer;
  proto::CallError error;  ///< Set when not succeeded.
  /// Of a forwarded batch item: runs whose failure a replica reported, under earlier leases too.
  std::uint32_t failed_runs = 0;
};

/// One running call at a back end.
class BackendCall {
 public:
  virtual ~BackendCall() = default;
  /// Cancels the call and closes its connection; `done` never runs afterwards.
  virtual void Cancel() = 0;
};

class BackendCaller {
 public:
  virtual ~BackendCaller() = default;

  /// @return how many more batch items may start now on replicas of `backend`: their capacity less
  /// live calls and the configured reserve.
  virtual std::uint32_t FreeBatchSlots(const std::string& backend) const = 0;

  /// Runs one batch item at a replica of `route.backend()`. Never retries a non-idempotent route
  /// once bytes were sent. `can_start` is evaluated immediately before the request is sent; false
  /// ends the call with `executed: no`.
  virtual std::shared_ptr<BackendCall> RunBatchItem(const proto::Route& route,
                                                    const proto::CallRequest& request,
                                                    Duration deadline,
                                                    std::function<bool()> can_start,
                                                    std::function<void(BackendOutcome)> done) = 0;
};

}  // namespace cloverbank
