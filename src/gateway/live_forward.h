#pragma once
/// @file
/// The way back to the caller of one request that is passed on: a replica's answer as it is, or the
/// final answer of a call that was given up. Threads: the owner's event loop only.

#include <functional>
#include <memory>
#include <optional>

#include "calls/call_runner.h"
#include "calls/forward_exchange.h"
#include "gateway/answer_timing.h"
#include "net/http_types.h"

namespace cloverbank {

/// Sends an error body with a time to come back, in seconds with fractions.
void SendRefusal(HttpResponder& responder, int http_status, const proto::CallError& error);

class LiveForward final : public ForwardSink, public std::enable_shared_from_this<LiveForward> {
 public:
  /// @param over runs once, after the caller was answered or left.
  LiveForward(const CallContext& context, std::shared_ptr<HttpResponder> responder,
              std::function<void()> over);

  /// @param spec lacks its exchange, which is made of `call`.
  void Start(CallSpec spec, ForwardCall call, const ReplicaHeaderNames& names);

  // ForwardSink
  void OnComplete(HttpResponse response) override;
  void OnStreamHead(int status, HttpHeaders headers) override;
  void OnEvent(StreamEvent event, std::function<void()> more) override;

 private:
  void OnDone(const CallResult& result);
  void AnswerFailure(const CallResult& result);
  void OnClientDisconnected();
  void Count(const std::string& outcome);
  /// Counts and logs an answer that came late, with what made it so.
  void RecordLateness();
  void Over();

  CallContext context_;
  std::shared_ptr<HttpResponder> responder_;
  std::function<void()> over_;
  std::shared_ptr<ForwardExchange> exchange_;
  std::shared_ptr<CallRunner> runner_;
  std::string route_;
  bool answered_ = false;
  bool stream_started_ = false;
  bool client_disconnected_ = false;
  TimePoint started_at_;
  std::optional<AnswerTiming> timing_;  ///< From the start on.
};

}  // namespace cloverbank
