#include "calls/json_exchange.h"

#include <utility>

namespace cloverbank {

JsonExchange::JsonExchange(proto::CallRequest body, ChunkHandler on_chunk)
    : body_(std::move(body)), on_chunk_(std::move(on_chunk)) {}

std::shared_ptr<CallAttempt> JsonExchange::NewAttempt(const AttemptContext& context,
                                                      AttemptRequest request,
                                                      ExchangeEvents events) {
  answer_.Clear();
  JsonAttemptRequest json;
  static_cast<AttemptRequest&>(json) = std::move(request);
  json.body = body_;
  json.body.set_model(json.backend);
  JsonAttemptCallbacks callbacks;
  const std::weak_ptr<JsonExchange> weak = weak_from_this();
  callbacks.on_chunk = [weak, events,
                        maximum_response_bytes = context.options.maximum_response_bytes](
                           const proto::StreamChunk& chunk, std::function<void()> more) {
    if (const auto self = weak.lock()) {
      self->OnChunk(chunk, std::move(more), events, maximum_response_bytes);
    }
  };
  callbacks.on_done = [weak, events](JsonAttemptResult result) {
    if (const auto self = weak.lock()) {
      if (!result.answer.call_id().empty()) {
        self->answer_ = std::move(result.answer);
      }
      self->OnDone(std::move(result), events);
    }
  };
  const bool streamed = json.kind == proto::BACKEND_KIND_MODEL;
  auto attempt = streamed ? MakeStreamAttempt(context, std::move(json), std::move(callbacks))
                          : MakeServiceAttempt(context, std::move(json), std::move(callbacks));
  attempt_ = attempt;
  return attempt;
}

void JsonExchange::OnChunk(const proto::StreamChunk& chunk, std::function<void()> more,
                           const ExchangeEvents& events, std::size_t maximum_response_bytes) {
  if (on_chunk_) {
    events.on_committed();
    on_chunk_(chunk, std::move(more));
    return;
  }
  answer_.set_run_id(chunk.run_id());
  answer_.mutable_text()->append(chunk.text());
  answer_.set_tokens(answer_.tokens() + (chunk.text().empty() ? 0 : 1));
  if (answer_.text().size() > maximum_response_bytes) {
    FailAsTooLarge(events);
    return;
  }
  more();
}

void JsonExchange::FailAsTooLarge(const ExchangeEvents& events) {
  if (const auto attempt = attempt_.lock()) {
    (void)attempt->Cancel();
  }
  AttemptResult result;
  result.end = AttemptEnd::kUnknown;
  result.permanent = true;
  result.error.set_code("answer_too_large");
  result.error.set_message(
      "the response is larger than this gateway buffers; request it as a stream");
  events.on_done(std::move(result));
}

void JsonExchange::OnDone(AttemptResult result, const ExchangeEvents& events) {
  if (result.end == AttemptEnd::kComplete) {
    answer_.set_call_id(body_.call_id());
  }
  events.on_done(std::move(result));
}

}  // namespace cloverbank
