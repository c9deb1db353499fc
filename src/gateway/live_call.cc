#include "gateway/live_call.h"

#include <utility>

#include "calls/http_json.h"
#include "net/http_status.h"

namespace cloverbank {
namespace {

constexpr std::size_t kMaximumCachedStreamBytes = std::size_t{256} << 10U;

std::string ToLine(const proto::StreamChunk& chunk) { return ToJson(chunk) + "\n"; }

HttpHeaders StreamHeaders(const std::string& call_id) {
  return {{"Content-Type", "application/x-ndjson"}, {"X-Call-Id", call_id}};
}

void SendResponse(HttpResponder& responder, const proto::CallAnswer& answer) {
  HttpResponse response;
  response.status = kHttpOk;
  response.headers = {{"Content-Type", "application/json"}, {"X-Call-Id", answer.call_id()}};
  response.body = ToJson(answer);
  responder.Send(std::move(response));
}

/// Sends a complete response as a stream of two chunks: the text and the end.
void SendAsStream(HttpResponder& responder, const proto::CallAnswer& answer) {
  proto::StreamChunk text;
  text.set_run_id(answer.run_id());
  text.set_call_id(answer.call_id());
  text.set_text(answer.text());
  proto::StreamChunk end;
  end.set_run_id(answer.run_id());
  end.set_call_id(answer.call_id());
  end.set_sequence(1);
  end.set_end(true);
  responder.StartStream(kHttpOk, StreamHeaders(answer.call_id()));
  responder.WriteChunk(ToLine(text) + ToLine(end), [](bool) {});
  responder.FinishStream();
}

}  // namespace

void SendCached(HttpResponder& responder, const CachedResponse& cached, bool stream) {
  if (!cached.succeeded) {
    SendError(responder, cached.http_status, cached.error);
    return;
  }
  if (!cached.text_cached) {
    proto::CallError error;
    error.set_code("answer_not_kept");
    error.set_message("this request was already executed; its response was too large to be cached");
    error.set_executed(proto::EXECUTED_YES);
    error.set_call_id(cached.answer.call_id());
    SendError(responder, kHttpConflict, error);
    return;
  }
  if (stream) {
    SendAsStream(responder, cached.answer);
  } else {
    SendResponse(responder, cached.answer);
  }
}

CachedResponse ToCachedResponse(const CallResult& result, const proto::CallAnswer& answer) {
  CachedResponse cached;
  cached.succeeded = result.succeeded;
  cached.http_status = result.http_status;
  cached.answer = answer;
  cached.error = result.error;
  return cached;
}

LiveCall::LiveCall(const CallContext& context, std::shared_ptr<HttpResponder> responder,
                   Options options, IdempotencyCache& cache, FinishedHandler on_finished)
    : LiveCallBase(context, std::move(responder), std::move(on_finished)),
      options_(std::move(options)),
      idempotency_cache_(cache) {}

void LiveCall::Start(CallSpec spec, proto::CallRequest body) {
  call_id_ = body.call_id();
  JsonExchange::ChunkHandler on_chunk;
  if (options_.stream) {
    const std::weak_ptr<LiveCall> weak = std::static_pointer_cast<LiveCall>(shared_from_this());
    on_chunk = [weak](const proto::StreamChunk& chunk, std::function<void()> more) {
      if (const auto self = weak.lock()) {
        self->OnChunk(chunk, std::move(more));
      }
    };
  }
  exchange_ = std::make_shared<JsonExchange>(std::move(body), std::move(on_chunk));
  spec.exchange = exchange_;
  Run(std::move(spec));
}

void LiveCall::OnChunk(const proto::StreamChunk& chunk, std::function<void()> more) {
  if (!stream_started()) {
    StartStream(kHttpOk, StreamHeaders(call_id_));
  }
  run_id_ = chunk.run_id();
  next_sequence_ = chunk.sequence() + 1;
  CollectChunk(chunk);
  WriteChunk(ToLine(chunk), std::move(more));
}

void LiveCall::CollectChunk(const proto::StreamChunk& chunk) {
  if (options_.idempotency_key.empty() || !collecting_) {
    return;
  }
  streamed_response_.set_run_id(chunk.run_id());
  streamed_response_.mutable_text()->append(chunk.text());
  collecting_ = streamed_response_.text().size() <= kMaximumCachedStreamBytes;
}

void LiveCall::OnDone(const CallResult& result) {
  if (result.succeeded) {
    response_ = exchange_->TakeResponse();
  }
  CacheResponse(result);
  RecordOutcome(result.succeeded ? "succeeded" : result.error.code());
  if (!client_disconnected()) {
    SendResult(result);
  }
  Finish();
}

void LiveCall::SendResult(const CallResult& result) {
  if (options_.stream && (stream_started() || result.succeeded)) {
    FinishStream(result);
  } else if (result.succeeded) {
    SendResponse(responder(), response_);
  } else {
    SendError(responder(), result.http_status, result.error);
  }
}

void LiveCall::FinishStream(const CallResult& result) {
  if (!stream_started()) {  // A service sent a complete response instead of a stream.
    SendAsStream(responder(), response_);
    return;
  }
  if (!result.succeeded) {
    proto::StreamChunk error_chunk;
    error_chunk.set_run_id(run_id_);
    error_chunk.set_call_id(call_id_);
    error_chunk.set_sequence(next_sequence_);
    *error_chunk.mutable_error() = result.error;
    responder().WriteChunk(ToLine(error_chunk), [](bool) {});
  }
  responder().FinishStream();
}

void LiveCall::OnClientDisconnected() {
  if (!options_.idempotency_key.empty() && !options_.stream) {
    return;  // The client may ask again for the response with the same key.
  }
  const proto::Executed executed = CancelRunner();
  CallResult disconnected;
  disconnected.error.set_code("caller_left");
  disconnected.error.set_message(
      "the client of the first request with this key disconnected before the response");
  disconnected.error.set_executed(executed);
  disconnected.error.set_call_id(call_id_);
  disconnected.http_status = HttpStatusForExecuted(executed);
  CacheResponse(disconnected);
  Finish();
}

void LiveCall::CacheResponse(const CallResult& result) {
  if (options_.idempotency_key.empty()) {
    return;
  }
  CachedResponse cached = ToCachedResponse(result, response_);
  if (!result.succeeded && result.error.executed() == proto::EXECUTED_NO) {
    idempotency_cache_.Forget(options_.idempotency_key, cached);
    return;
  }
  if (result.succeeded && stream_started()) {
    cached.answer = streamed_response_;
    cached.answer.set_call_id(call_id_);
    cached.text_cached = collecting_;
  }
  idempotency_cache_.Store(options_.idempotency_key, std::move(cached), environment().Now());
}

}  // namespace cloverbank
