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

/// What became of one whole (not streamed) call at a back end.
struct BackendOutcome {
  proto::Executed executed = proto::EXECUTED_UNSPECIFIED;
  bool succeeded = false;  ///< A whole, good answer: `answer` is set and executed is yes.
  proto::CallAnswer answer;
  proto::CallError error;  ///< Set when not succeeded.
  /// Of a batch item that is passed on: runs that failed by the replicas' own word, earlier leases
  /// included.
  std::uint32_t failed_runs = 0;
};

/// One running call at a back end.
class BackendCall {
 public:
  virtual ~BackendCall() = default;
  /// Withdraws the call and closes its connection; `done` never runs after.
  virtual void Cancel() = 0;
};

class BackendCaller {
 public:
  virtual ~BackendCaller() = default;

  /// @return how many further batch items may be started now on replicas of `backend`, after the
  /// room that live calls take and the configured headroom.
  virtual std::uint32_t FreeBatchSlots(const std::string& backend) const = 0;

  /// Runs one batch item at a replica of `route.backend()`. Never retries a route that must not
  /// repeat once bytes went out. `can_start` is asked immediately before the request leaves; false
  /// gives the outcome `executed: no`.
  virtual std::shared_ptr<BackendCall> RunBatchItem(const proto::Route& route,
                                                    const proto::CallRequest& request,
                                                    Duration deadline,
                                                    std::function<bool()> can_start,
                                                    std::function<void(BackendOutcome)> done) = 0;
};

}  // namespace cloverbank
