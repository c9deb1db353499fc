#include "calls/line_reader.h"

#include <utility>

namespace cloverbank {

std::optional<std::string> LineReader::Next() {
  for (;;) {
    const std::size_t end = buffer_.find('\n', start_);
    if (end == std::string::npos) {
      buffer_.erase(0, start_);
      start_ = 0;
      return std::nullopt;
    }
    std::string line = buffer_.substr(start_, end - start_);
    start_ = end + 1;
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    if (!line.empty()) {
      return line;
    }
  }
}

std::string LineReader::TakeRest() {
  std::string rest = buffer_.substr(start_);
  buffer_.clear();
  start_ = 0;
  return rest;
}

}  // namespace cloverbank
