#pragma once
/// @file
/// The refusal of a batch for which there is no capacity now. The Status detail carries when to
/// retry, in milliseconds.

#include <optional>
#include <string>

#include "base/status.h"
#include "base/time.h"

namespace cloverbank {

/// @return a kResourceExhausted refusal: the batch was not accepted.
Status RejectForOverload(std::string message, Duration retry_after);
/// @return how long to wait before the batch is resubmitted, if `status` is such a refusal.
std::optional<Duration> RetryAfter(const Status& status);

}  // namespace cloverbank
