#pragma once
/// @file
/// The refusal of a batch for which there is no room now, which says when to come again.

#include <optional>
#include <string>

#include "base/status.h"
#include "base/time.h"

namespace cloverbank {

/// @return a kResourceExhausted refusal: nothing was taken.
Status RejectForOverload(std::string message, Duration come_after);
/// @return when a batch that got this refusal should come again, if the refusal says so.
std::optional<Duration> RetryAfter(const Status& status);

}  // namespace cloverbank
