#pragma once
/// @file
/// The exchange of the JSON interface (`/v1/call`) and of batch items handed in there: a generation
/// streamed as JSON lines, or one request to a plain service. Threads: the owner's event loop only.

#include <functional>
#include <memory>
#include <string>

#include "gateway/call_exchange.h"
#include "proto/live.pb.h"

namespace cloverbank {

class JsonExchange final : public CallExchange, public std::enable_shared_from_this<JsonExchange> {
 public:
  /// A checked piece of a stream; `more` asks for the next one.
  using PieceHandler =
      std::function<void(const proto::StreamPiece& piece, std::function<void()> more)>;

  /// @param body with its call id. @param on_piece empty: pieces are gathered into one answer.
  JsonExchange(proto::CallRequest body, PieceHandler on_piece);

  std::shared_ptr<CallAttempt> NewAttempt(const AttemptContext& context, AttemptRequest request,
                                          ExchangeEvents events) override;
  const std::string& call_id() const override { return body_.call_id(); }
  const std::string& prefix_key() const override { return body_.prefix_key(); }
  std::size_t request_bytes() const override { return body_.ByteSizeLong(); }

  /// @return the whole answer of a call that succeeded, empty of text if pieces were handed on.
  proto::CallAnswer TakeAnswer() { return std::move(answer_); }

 private:
  void OnPiece(const proto::StreamPiece& piece, std::function<void()> more,
               const ExchangeEvents& events, std::size_t largest_answer);
  void OnDone(AttemptResult result, const ExchangeEvents& events);
  void GiveUpAsTooLarge(const ExchangeEvents& events);

  proto::CallRequest body_;
  PieceHandler on_piece_;
  std::weak_ptr<CallAttempt> attempt_;
  proto::CallAnswer answer_;
};

}  // namespace cloverbank
