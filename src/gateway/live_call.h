#pragma once
/// @file
/// A live call of the JSON interface: responds with one JSON body or with a stream of JSON lines.
/// Threads: the owner's event loop only.

#include <functional>
#include <memory>
#include <string>

#include "calls/call_runner.h"
#include "calls/idempotency_cache.h"
#include "calls/json_exchange.h"
#include "gateway/live_call_base.h"
#include "net/http_types.h"

namespace cloverbank {

/// Sends a cached response: of a repeated request, or of a running one that this request joined.
/// @param stream whether the request asked for a stream.
void SendCached(HttpResponder& responder, const CachedResponse& cached, bool stream);
/// @return the cache entry of a finished call. @param answer its response, if it succeeded.
CachedResponse ToCachedResponse(const CallResult& result, const proto::CallAnswer& answer);

class LiveCall final : public LiveCallBase {
 public:
  struct Options {
    bool stream = false;
    std::string idempotency_key;  ///< Key in the idempotency cache; empty: none.
  };

  LiveCall(const CallContext& context, std::shared_ptr<HttpResponder> responder, Options options,
           IdempotencyCache& cache, FinishedHandler on_finished);

  /// Starts the call. @param spec without its exchange, which is made from `body`.
  void Start(CallSpec spec, proto::CallRequest body);

 private:
  // LiveCallBase
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
  proto::CallAnswer response_;  ///< Set when the call succeeded.
  std::string call_id_;
  std::string run_id_;
  std::uint64_t next_sequence_ = 0;
  proto::CallAnswer streamed_response_;  ///< Text streamed so far, for the cache.
  bool collecting_ = true;               ///< False once the text exceeds the limit for the cache.
};

}  // namespace cloverbank
