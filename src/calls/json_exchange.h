#pragma once
/// @file
/// The exchange of the JSON interface (`/v1/call`) and of batch items submitted there: a generation
/// streamed as JSON lines, or one request to a plain service. Threads: the owner's event loop only.

#include <functional>
#include <memory>
#include <string>

#include "calls/call_exchange.h"
#include "proto/live.pb.h"

namespace cloverbank {

class JsonExchange final : public CallExchange, public std::enable_shared_from_this<JsonExchange> {
 public:
  /// Runs for each checked chunk of a stream; `more` requests the next one.
  using ChunkHandler =
      std::function<void(const proto::StreamChunk& chunk, std::function<void()> more)>;

  /// @param body includes the call id. @param on_chunk empty: chunks are joined into one response.
  JsonExchange(proto::CallRequest body, ChunkHandler on_chunk);

  std::shared_ptr<CallAttempt> NewAttempt(const AttemptContext& context, AttemptRequest request,
                                          ExchangeEvents events) override;
  const std::string& call_id() const override { return body_.call_id(); }
  const std::string& prefix_key() const override { return body_.prefix_key(); }
  std::size_t request_bytes() const override { return body_.ByteSizeLong(); }

  /// @return the response of a call that succeeded. It has no text if its chunks went to
  /// `on_chunk`.
  proto::CallAnswer TakeResponse() { return std::move(answer_); }

 private:
  void OnChunk(const proto::StreamChunk& chunk, std::function<void()> more,
               const ExchangeEvents& events, std::size_t maximum_response_bytes);
  void OnDone(AttemptResult result, const ExchangeEvents& events);
  /// Cancels the attempt: its joined response is larger than allowed.
  void FailAsTooLarge(const ExchangeEvents& events);

  proto::CallRequest body_;
  ChunkHandler on_chunk_;
  std::weak_ptr<CallAttempt> attempt_;  ///< The current one.
  proto::CallAnswer answer_;
};

}  // namespace cloverbank
