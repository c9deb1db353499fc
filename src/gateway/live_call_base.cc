#include "gateway/live_call_base.h"

#include <utility>

namespace cloverbank {

LiveCallBase::LiveCallBase(const CallContext& context, std::shared_ptr<HttpResponder> responder,
                           FinishedHandler on_finished)
    : context_(context),
      responder_(std::move(responder)),
      on_finished_(std::move(on_finished)),
      started_at_(context.attempt.environment.Now()) {}

void LiveCallBase::Run(CallSpec spec) {
  route_ = spec.route_name;
  const std::weak_ptr<LiveCallBase> weak = weak_from_this();
  responder_->OnDisconnect([weak] {
    if (const auto self = weak.lock()) {
      self->HandleDisconnect();
    }
  });
  runner_ =
      std::make_shared<CallRunner>(context_, std::move(spec), [weak](const CallResult& result) {
        if (const auto self = weak.lock()) {
          self->OnDone(result);
        }
      });
  runner_->Start();
}

void LiveCallBase::EndUnanswered() {
  if (!stream_started_ && runner_ != nullptr) {
    const std::shared_ptr<CallRunner> runner = runner_;
    runner->EndWith(CallFailure::kStopping);
  }
}

void LiveCallBase::StartStream(int status, HttpHeaders headers) {
  stream_started_ = true;
  const Duration waited = environment().Now() - started_at_;
  environment().metrics().ObserveSeconds("gateway_first_chunk_seconds",
                                         std::chrono::duration<double>(waited).count());
  responder_->StartStream(status, std::move(headers));
}

void LiveCallBase::WriteChunk(std::string bytes, std::function<void()> more) {
  responder_->WriteChunk(std::move(bytes),
                         [weak = weak_from_this(), more = std::move(more)](bool alive) {
                           const auto self = weak.lock();
                           if (self == nullptr) {
                             return;
                           }
                           if (alive) {
                             more();
                           } else {
                             self->HandleDisconnect();
                           }
                         });
}

void LiveCallBase::HandleDisconnect() {
  if (client_disconnected_ || runner_ == nullptr) {
    return;
  }
  client_disconnected_ = true;
  environment().metrics().Increment("gateway_client_disconnects_total");
  OnClientDisconnected();
}

void LiveCallBase::RecordOutcome(const std::string& outcome) {
  const Duration elapsed = environment().Now() - started_at_;
  Metrics& metrics = environment().metrics();
  metrics.Increment("gateway_calls_total", {{"route", route_}, {"outcome", outcome}});
  metrics.ObserveSeconds("gateway_call_seconds", std::chrono::duration<double>(elapsed).count(),
                         {{"route", route_}});
}

void LiveCallBase::Finish() {
  runner_ = nullptr;
  if (const FinishedHandler on_finished = std::exchange(on_finished_, nullptr)) {
    on_finished();
  }
}

}  // namespace cloverbank
