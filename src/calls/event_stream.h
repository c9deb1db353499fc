#pragma once
/// @file
/// Cuts a stream of events (text/event-stream) into whole events, so that what is passed on always
/// ends at the end of one. Pure.
///
/// Source: WHATWG HTML, "Server-sent events", section on parsing an event stream.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cloverbank {

struct StreamEvent {
  std::string bytes;                ///< Exactly as they came, the empty line included.
  std::optional<std::uint64_t> id;  ///< If it has one that is a whole number.
  std::string data;                 ///< Its data lines, joined by line feeds.
};

class EventSplitter {
 public:
  explicit EventSplitter(std::size_t largest_event) : largest_event_(largest_event) {}

  void Append(std::string_view bytes) { buffer_.append(bytes); }
  /// @return the next whole event, or nothing while it is not complete.
  std::optional<StreamEvent> Next();
  /// Whether the event that is coming in is larger than allowed.
  bool IsTooLarge() const { return buffer_.size() > largest_event_; }
  /// Whether bytes of an event that is not complete are left.
  bool HasPartial() const { return !buffer_.empty(); }

 private:
  std::size_t largest_event_;
  std::string buffer_;
  std::size_t searched_ = 0;  ///< No end of an event lies before.
};

}  // namespace cloverbank
