#include "gateway/http_query.h"

#include <charconv>
#include <string>
#include <string_view>

namespace cloverbank {

Result<std::uint32_t> ParseLimit(const HttpHeaders& query, LimitRange range) {
  const std::string_view text = FindHeader(query, "limit");
  if (text.empty()) {
    return range.default_limit;
  }
  std::uint32_t limit = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, limit);
  if (error != std::errc() || stop != end || limit == 0 || limit > range.maximum) {
    return Status(StatusCode::kInvalidArgument, "limit: found \"" + std::string(text) +
                                                    "\", expected a number from 1 to " +
                                                    std::to_string(range.maximum));
  }
  return limit;
}

Status ToReadFailure(const Status& status) {
  if (status.code() == StatusCode::kUnknownOutcome) {
    return {StatusCode::kUnavailable, status.message()};
  }
  return status;
}

}  // namespace cloverbank
