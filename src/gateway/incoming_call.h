#pragma once
/// @file
/// A live call of an HTTP route as a front interface read it.

#include <functional>
#include <optional>
#include <string>

#include "base/time.h"
#include "proto/common.pb.h"
#include "proto/configuration.pb.h"
#include "replicas/prefill_load.h"

namespace cloverbank {

/// A request as a front interface read it.
struct IncomingCall {
  std::string host;
  std::string path;  ///< Without the query, as it came.
  std::string call_id;
  std::string prefix_key;
  PromptShape prompt;
  std::optional<Duration> patience;  ///< How long the caller will wait; unset: not told.
  proto::ForwardedRequest request;
  /// Runs in place of the call if its route turns out to take batches; unset: the call is refused.
  std::function<void(const proto::Route&)> take_as_batch;
};

}  // namespace cloverbank
