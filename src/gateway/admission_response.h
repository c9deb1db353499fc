#pragma once
/// @file
/// How a refusal of `AdmissionControl` looks to a client. Pure.

#include "admission/admission_control.h"
#include "net/http_status.h"

namespace cloverbank {

/// @return 429 where the tenant is over its own limit, else 503.
inline int HttpStatusForRefusal(Refusal refusal) {
  return refusal == Refusal::kTenantRate ? kHttpTooManyRequests : kHttpUnavailable;
}

}  // namespace cloverbank
