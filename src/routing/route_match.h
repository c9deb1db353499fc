#pragma once
/// @file
/// Which route a request belongs to, by host and path, and which of the route's back ends takes it.
/// Pure.

#include <cstdint>
#include <string>
#include <string_view>

#include "proto/configuration.pb.h"

namespace cloverbank {

/// @return the HTTP route of `host` with the longest prefix that begins `path`, or nullptr. Hosts
/// are compared without regard to case.
const proto::Route* MatchRoute(const proto::RoutingConfiguration& configuration,
                               std::string_view host, std::string_view path);

/// @return the back end whose weight range `draw` falls into: the same draw keeps its back end as
/// long as the weights stay.
std::string ChooseBackend(const proto::Route& route, std::uint64_t random);

/// Whether some of the route's calls may go to `backend`.
bool AllowsBackend(const proto::Route& route, std::string_view backend);

/// @return the settings of a back end, or nullptr. Requires that they are sorted by name.
const proto::Backend* FindBackend(const proto::RoutingConfiguration& configuration,
                                  std::string_view name);

}  // namespace cloverbank
