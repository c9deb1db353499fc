#include "calls/response_origin.h"

namespace cloverbank {

ResponseOrigin FindResponseOrigin(std::string_view echoed, std::string_view call_id) {
  if (echoed.empty()) {
    return ResponseOrigin::kUnidentified;
  }
  return echoed == call_id ? ResponseOrigin::kThisCall : ResponseOrigin::kOtherCall;
}

bool ProvesNotRun(ResponseOrigin origin, bool connection_reused) {
  return origin == ResponseOrigin::kThisCall ||
         (origin == ResponseOrigin::kUnidentified && !connection_reused);
}

std::string_view ResponseOriginName(ResponseOrigin origin) {
  switch (origin) {
    case ResponseOrigin::kThisCall:
      return "this_call";
    case ResponseOrigin::kOtherCall:
      return "other_call";
    case ResponseOrigin::kUnidentified:
      return "unidentified";
  }
  return "unidentified";
}

}  // namespace cloverbank
