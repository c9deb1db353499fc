#pragma once
/// @file
/// A live call of the JSON interface: responds with one body or a stream of lines. Threads: the
/// owner's event loop only.

#include <functional>
#include <memory>
#include <string>

#include "calls/call_runner.h"
#include "calls/idempotency_cache.h"
#include "calls/json_exchange.h"
#include "gateway/client_call.h"
#include "net/http_types.h"

namespace cloverbank {

/// Sends the cached response of a request, or of one that was joined.
void SendCached(HttpResponder& responder, const CachedResponse& cached, bool stream);
/// @return the cache entry of a finished call. @param answer of a call that succeeded.
CachedResponse ToCachedResponse(const CallResult& result, const proto::CallAnswer& answer);

class LiveCall final : public ClientCall {
 public:
  struct Options {
    bool stream = false;
    std::string idempotency_key;  ///< Complete cache key; empty: none.
  };

  LiveCall(const CallContext& context, std::shared_ptr<HttpResponder> responder, Options options,
           IdempotencyCache& cache, FinishedHandler on_finished);

  /// @param spec lacks its exchange, which is made of `body`.
  void Start(CallSpec spec, proto::CallRequest body);

 private:
  // ClientCall
  void OnDone(const CallResult& result) override;
  void OnClientDisconnected() override;

  void OnChunk(const proto::StreamChunk& chunk, std::function<void()> more);
  void CollectChunk(const proto::StreamChunk& chunk);
  void SendResult(const CallResult& result);
  void FinishStream(const CallResult& result);
  void CacheResponse(const CallResult& result);

  Options options_;
  IdempotencyCache& idempotency_cache_;
  std::shared_ptr<JsonExchange> exchange_;
  proto::CallAnswer response_;  ///< Of a call that succeeded.
  std::string call_id_;
  std::string run_id_;
  std::uint64_t next_sequence_ = 0;
  proto::CallAnswer streamed_response_;  ///< Text that was sent, within the limit of the cache.
  bool collecting_ = true;
};

}  // namespace cloverbank
