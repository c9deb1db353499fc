#pragma once
/// @file
/// A live call of an HTTP route, as parsed by the platform's client interface.

#include <functional>
#include <optional>
#include <string>

#include "base/time.h"
#include "proto/common.pb.h"
#include "proto/configuration.pb.h"
#include "replicas/prefill_load.h"

namespace cloverbank {

/// One parsed request.
struct IncomingCall {
  std::string host;
  std::string path;  ///< Without the query, as received.
  std::string call_id;
  std::string prefix_key;
  PromptShape prompt;
  std::optional<Duration> timeout;  ///< The client's timeout; unset: unknown.
  proto::ForwardedRequest request;
  /// Runs instead of the call if its route accepts batches; if unset, such a call is refused.
  std::function<void(const proto::Route&)> on_batch_route;
  /// Runs if no route matches, in place of the refusal, which is its argument; if unset, the call
  /// is refused at once.
  std::function<void(std::function<void()> refuse)> on_unknown_route;
};

}  // namespace cloverbank
