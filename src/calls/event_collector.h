#pragma once
/// @file
/// The sink of a forwarded batch item: joins the data of its events into one text.
/// Threads: the owner's event loop only.

#include <string>
#include <utility>

#include "calls/forward_exchange.h"

namespace cloverbank {

class EventCollector final : public ForwardSink {
 public:
  void OnComplete(HttpResponse response) override { text_ = std::move(response.body); }
  void OnStreamHead(int /*status*/, HttpHeaders /*headers*/) override {}
  void OnEvent(StreamEvent event, std::function<void()> more) override {
    text_ += first_ ? "" : "\n";
    text_ += event.data;
    first_ = false;
    more();
  }

  /// @return the data of all events, joined by line feeds, or the body of a response that was not
  /// streamed.
  std::string TakeText() { return std::move(text_); }

 private:
  std::string text_;
  bool first_ = true;
};

}  // namespace cloverbank
