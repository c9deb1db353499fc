#pragma once
/// @file
/// Refusal of a batch for which there is currently no capacity. The Status detail is the time to
/// wait before a retry, in milliseconds.

#include <optional>
#include <string>

#include "base/status.h"
#include "base/time.h"

namespace cloverbank {

/// @return a kResourceExhausted status, which means that the batch was not accepted.
/// @param message for people.
/// @param retry_after how long to wait before the batch is resubmitted; rounded down to
/// milliseconds.
Status RejectForOverload(std::string message, Duration retry_after);
/// @return how long to wait before the batch is resubmitted, or nullopt if `status` is not a
/// kResourceExhausted status with such a detail.
std::optional<Duration> RetryAfter(const Status& status);

}  // namespace cloverbank
