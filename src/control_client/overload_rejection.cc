#include "control_client/overload_rejection.h"

#include <utility>

#include "base/parse_number.h"

namespace cloverbank {

Status RejectForOverload(std::string message, Duration retry_after) {
  const auto wait_ms = std::chrono::duration_cast<milliseconds>(retry_after).count();
  return {StatusCode::kResourceExhausted, std::move(message), std::to_string(wait_ms)};
}

std::optional<Duration> RetryAfter(const Status& status) {
  const auto wait_ms = status.code() == StatusCode::kResourceExhausted
                           ? ParseInteger(status.detail())
                           : std::nullopt;
  return wait_ms ? std::optional<Duration>(milliseconds(*wait_ms)) : std::nullopt;
}

}  // namespace cloverbank
