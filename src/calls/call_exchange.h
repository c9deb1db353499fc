#pragma once
/// @file
/// What one call says to a replica, and how the replica's answer is read and handed on. The call
/// path (`CallRunner`) is the same for every call and knows nothing of its content: it chooses
/// replicas, waits, sends and retries. Each front interface brings its own kind of exchange: the
/// JSON interface `JsonExchange`, requests that are passed on unchanged `ForwardExchange`.
///
/// Ownership: the caller of a call and its runner share the exchange. Threads: the owner's event
/// loop only.

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "calls/call_attempt.h"
#include "replicas/prefill_load.h"

namespace cloverbank {

struct ExchangeEvents {
  /// Something of the answer is with the caller, and no other replica could go on from there: from
  /// now on nothing may be retried.
  std::function<void()> on_committed;
  /// Runs exactly once unless the attempt is cancelled.
  std::function<void(AttemptResult)> on_done;
};

class CallExchange {
 public:
  virtual ~CallExchange() = default;

  /// Begins anew, or goes on where the last attempt broke off, at the replica of `request`.
  virtual std::shared_ptr<CallAttempt> NewAttempt(const AttemptContext& context,
                                                  AttemptRequest request,
                                                  ExchangeEvents events) = 0;
  /// Unique id of the call, also towards replicas.
  virtual const std::string& call_id() const = 0;
  /// Calls with the same key share a prompt prefix; empty if none.
  virtual const std::string& prefix_key() const = 0;
  /// The size of the prompt, if the caller told it.
  virtual PromptShape prompt() const { return {}; }
  /// Bytes that are held while the call waits.
  virtual std::size_t request_bytes() const = 0;
};

}  // namespace cloverbank
