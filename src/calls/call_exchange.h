#pragma once
/// @file
/// The content of one call: the request to a replica, and how its response is read and forwarded.
/// `CallRunner` is the same for every call and independent of the content: it chooses replicas,
/// waits, sends and retries. Each interface has its own kind of exchange: `JsonExchange` for the
/// JSON interface, `ForwardExchange` for requests that are forwarded unchanged.
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
  /// Part of the response was sent to the client and can not be resumed at another replica: from
  /// now on the call must not be retried.
  std::function<void()> on_committed;
  /// Runs exactly once unless the attempt is cancelled.
  std::function<void(AttemptResult)> on_done;
};

class CallExchange {
 public:
  virtual ~CallExchange() = default;

  /// Creates an attempt at the replica of `request`, which starts anew or resumes where the last
  /// one ended.
  virtual std::shared_ptr<CallAttempt> NewAttempt(const AttemptContext& context,
                                                  AttemptRequest request,
                                                  ExchangeEvents events) = 0;
  /// Unique id of the call, also towards replicas.
  virtual const std::string& call_id() const = 0;
  /// Calls with the same key share a prefix of the prompt; empty: none.
  virtual const std::string& prefix_key() const = 0;
  /// The size of the prompt, if the client sent it.
  virtual PromptShape prompt() const { return {}; }
  /// Memory that the request takes while it waits, in bytes.
  virtual std::size_t request_bytes() const = 0;
};

}  // namespace cloverbank
