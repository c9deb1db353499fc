#pragma once
/// @file
/// Splits a body into lines of bounded size. Pure.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cloverbank {

class LineReader {
 public:
  explicit LineReader(std::size_t maximum_line_bytes) : maximum_line_bytes_(maximum_line_bytes) {}

  void Append(std::string_view bytes) { buffer_.append(bytes); }
  /// @return the next complete line without its end, skipping empty ones; nothing if there is none
  /// yet.
  std::optional<std::string> Next();
  /// @return what follows the last line end, once the body has ended.
  std::string TakeRest();
  /// Whether the unfinished line is longer than allowed.
  bool IsTooLong() const { return buffer_.size() - start_ > maximum_line_bytes_; }

 private:
  std::size_t maximum_line_bytes_;
  std::string buffer_;
  std::size_t start_ = 0;
};

}  // namespace cloverbank
