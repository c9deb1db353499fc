#pragma once
/// @file
/// Maps refusals of `AdmissionControl` to HTTP statuses. Pure.

#include "admission/admission_control.h"
#include "net/http_status.h"

namespace cloverbank {

/// @return 429 if the tenant exceeds its own rate limit, else 503.
inline int HttpStatusForRefusal(Refusal refusal) {
  return refusal == Refusal::kTenantRate ? kHttpTooManyRequests : kHttpUnavailable;
}

}  // namespace cloverbank
