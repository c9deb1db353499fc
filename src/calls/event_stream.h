#pragma once
/// @file
/// Splits a stream of events (text/event-stream) into complete events, so that forwarded data
/// always ends at the end of an event. Pure.
///
/// Source: WHATWG HTML, "Server-sent events", section on parsing an event stream.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cloverbank {

struct StreamEvent {
  std::string bytes;                ///< Exactly as received, including the empty line at its end.
  std::optional<std::uint64_t> id;  ///< Its id, if that is an integer.
  std::string data;                 ///< Its data lines, joined by line feeds.
};

class EventSplitter {
 public:
  explicit EventSplitter(std::size_t maximum_event_bytes)
      : maximum_event_bytes_(maximum_event_bytes) {}

  void Append(std::string_view bytes) { buffer_.append(bytes); }
  /// @return the next complete event, or nothing if more bytes are needed.
  std::optional<StreamEvent> Next();
  /// Whether the incomplete event is larger than allowed. Call it after `Next` returned nothing.
  bool IsTooLarge() const { return buffer_.size() > maximum_event_bytes_; }
  /// Whether bytes of an incomplete event are left.
  bool HasPartial() const { return !buffer_.empty(); }

 private:
  std::size_t maximum_event_bytes_;
  std::string buffer_;
  std::size_t searched_ = 0;  ///< Bytes already searched for the end of an event.
};

}  // namespace cloverbank
