#pragma once
/// @file
/// Splits a body into non-empty lines of bounded length. Pure.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cloverbank {

class LineReader {
 public:
  explicit LineReader(std::size_t maximum_line_bytes) : maximum_line_bytes_(maximum_line_bytes) {}

  void Append(std::string_view bytes) { buffer_.append(bytes); }
  /// @return the next complete non-empty line, without its line end; nothing if there is none yet.
  std::optional<std::string> Next();
  /// @return the bytes after the last line end. To be called when the body has ended.
  std::string TakeRest();
  /// Whether the incomplete line is longer than allowed. Call it after `Next` returned nothing.
  bool IsTooLong() const { return buffer_.size() - start_ > maximum_line_bytes_; }

 private:
  std::size_t maximum_line_bytes_;
  std::string buffer_;
  std::size_t start_ = 0;  ///< Position in `buffer_` of the next line.
};

}  // namespace cloverbank
