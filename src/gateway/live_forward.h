#pragma once
/// @file
/// A forwarded live call: responds with a replica's unchanged response, or with an error. Threads:
/// the owner's event loop only.

#include <functional>
#include <memory>
#include <optional>

#include "calls/call_runner.h"
#include "calls/forward_exchange.h"
#include "gateway/live_call_base.h"
#include "gateway/response_timing.h"
#include "net/http_types.h"

namespace cloverbank {

/// Sends an error body. Retry-After, if it is sent, is in seconds with three decimals; 429 and 503
/// have a default for it if the request was not executed.
void SendRefusal(HttpResponder& responder, int http_status, const proto::CallError& error);

class LiveForward final : public LiveCallBase, public ForwardSink {
 public:
  LiveForward(const CallContext& context, std::shared_ptr<HttpResponder> responder,
              FinishedHandler on_finished)
      : LiveCallBase(context, std::move(responder), std::move(on_finished)) {}

  /// Starts the call. @param spec without its exchange, which is made from `call`.
  void Start(CallSpec spec, ForwardCall call, const ReplicaHeaderNames& names);

  // ForwardSink
  void OnComplete(HttpResponse response) override;
  void OnStreamHead(int status, HttpHeaders headers) override;
  void OnEvent(StreamEvent event, std::function<void()> more) override;

 private:
  // LiveCallBase
  void OnDone(const CallResult& result) override;
  void OnClientDisconnected() override;

  void SendFailure(const CallResult& result);
  /// Counts and logs the response with the cause of its lateness, if it is late.
  void RecordLateness();

  std::shared_ptr<ForwardExchange> exchange_;
  std::optional<ResponseTiming> timing_;  ///< Set by `Start`.
};

}  // namespace cloverbank
