#pragma once
/// @file
/// The content of one call: the request to a replica, and how its response is read and forwarded.
/// `CallRunner` is independent of the content: it chooses replicas, waits, sends and retries in the
/// same way for every call. Each interface has its own kind of exchange: `JsonExchange` for the
/// JSON interface, `ForwardExchange` for requests that are forwarded unchanged.
///
/// Ownership: the code that starts a call and the call's runner share the exchange. Threads: the
/// owner's event loop only.

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "calls/call_attempt.h"
#include "replicas/prefill_load.h"

namespace cloverbank {

/// Callbacks of one attempt to the runner of its call.
struct ExchangeEvents {
  /// Part of the response was sent to the client, and another replica can not resume it: from now
  /// on the call must not be retried. May run more than once.
  std::function<void()> on_committed;
  /// Runs exactly once unless the attempt is cancelled.
  std::function<void(AttemptResult)> on_done;
};

class CallExchange {
 public:
  virtual ~CallExchange() = default;

  /// Creates an attempt at the replica of `request`. It starts from the beginning, or resumes where
  /// the previous attempt ended.
  virtual std::shared_ptr<CallAttempt> NewAttempt(const AttemptContext& context,
                                                  AttemptRequest request,
                                                  ExchangeEvents events) = 0;
  /// Unique id of the call; replicas receive the same one.
  virtual const std::string& call_id() const = 0;
  /// Calls with the same key share a prefix of the prompt. Empty: no shared prefix.
  virtual const std::string& prefix_key() const = 0;
  /// The size of the prompt, as far as the client gave it.
  virtual PromptShape prompt() const { return {}; }
  /// Memory in bytes that the request occupies while the call waits in the queue.
  virtual std::size_t request_bytes() const = 0;
};

}  // namespace cloverbank
