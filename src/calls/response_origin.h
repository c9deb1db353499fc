#pragma once
/// @file
/// Decides whether a response that was received for a call is a response to that call. A replica
/// may send a late second response to an earlier request on a kept connection, where the response
/// to the next request is due; the call id that each response echoes shows which request it is
/// about. Pure.

#include <cstdint>
#include <string_view>

namespace cloverbank {

enum class ResponseOrigin : std::uint8_t {
  kThisCall,      ///< The response echoes the id of the call.
  kOtherCall,     ///< The response echoes another id.
  kUnidentified,  ///< The response echoes no id.
};

/// @param echoed the call id in the response; empty if it has none.
ResponseOrigin FindResponseOrigin(std::string_view echoed, std::string_view call_id);
/// Whether a refusal of this origin proves that the call did not run. A new connection has carried
/// no other request, so a refusal without an id can only be about this call.
bool ProvesNotRun(ResponseOrigin origin, bool connection_reused);
/// @return the stable snake_case name, for metrics and logs.
std::string_view ResponseOriginName(ResponseOrigin origin);

}  // namespace cloverbank
