#include "calls/event_stream.h"

#include <algorithm>

#include "base/parse_number.h"

namespace cloverbank {
namespace {

constexpr std::string_view kIdField = "id";
constexpr std::string_view kDataField = "data";

/// @return the position after the empty line that ends the first event, or npos if no event ends
/// in `bytes`. @param from where to start searching.
std::size_t FindEventEnd(std::string_view bytes, std::size_t from) {
  for (std::size_t line_feed = bytes.find('\n', from); line_feed != std::string_view::npos;
       line_feed = bytes.find('\n', line_feed + 1)) {
    std::size_t next = line_feed + 1;
    if (next < bytes.size() && bytes[next] == '\r') {
      ++next;
    }
    if (next < bytes.size() && bytes[next] == '\n') {
      return next + 1;
    }
  }
  return std::string_view::npos;
}

/// Sets the field of `event` that `line` holds. @param has_data whether an earlier line held data;
/// updated.
void ParseLine(std::string_view line, bool* has_data, StreamEvent* event) {
  const std::size_t colon = line.find(':');
  const std::string_view field = line.substr(0, colon);
  std::string_view value = colon == std::string_view::npos ? "" : line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  if (field == kIdField) {
    event->id = ParseInteger(value);
  } else if (field == kDataField) {
    event->data += *has_data ? "\n" : "";
    event->data += value;
    *has_data = true;
  }
}

StreamEvent ParseEvent(std::string bytes) {
  StreamEvent event;
  event.bytes = std::move(bytes);
  std::string_view rest = event.bytes;
  bool has_data = false;
  while (!rest.empty()) {
    std::string_view line = rest.substr(0, rest.find('\n'));
    rest.remove_prefix(std::min(rest.size(), line.size() + 1));
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    ParseLine(line, &has_data, &event);
  }
  return event;
}

}  // namespace

std::optional<StreamEvent> EventSplitter::Next() {
  const std::size_t end = FindEventEnd(buffer_, searched_);
  if (end == std::string::npos) {
    // The buffer may end within the end of an event, with "\n" or "\n\r": search these bytes again.
    constexpr std::size_t kLongestPartialEnd = 2;
    searched_ = buffer_.size() - std::min(buffer_.size(), kLongestPartialEnd);
    return std::nullopt;
  }
  StreamEvent event = ParseEvent(buffer_.substr(0, end));
  buffer_.erase(0, end);
  searched_ = 0;
  return event;
}

}  // namespace cloverbank
