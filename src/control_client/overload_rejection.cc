#include "control_client/overload_rejection.h"

#include <utility>

#include "base/parse_number.h"

namespace cloverbank {

Status RejectForOverload(std::string message, Duration come_after) {
  const auto wait = std::chrono::duration_cast<milliseconds>(come_after).count();
  return {StatusCode::kResourceExhausted, std::move(message), std::to_string(wait)};
}

std::optional<Duration> RetryAfter(const Status& status) {
  const auto wait = status.code() == StatusCode::kResourceExhausted ? ParseInteger(status.detail())
                                                                    : std::nullopt;
  return wait ? std::optional<Duration>(milliseconds(*wait)) : std::nullopt;
}

}  // namespace cloverbank
