#pragma once
/// @file
/// Matches a request to a route by host and path, and chooses one of the route's back ends. Pure
/// functions without state.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "proto/configuration.pb.h"

namespace cloverbank {

/// @return the route of that name, or nullptr.
const proto::Route* FindRouteNamed(const proto::RoutingConfiguration& configuration,
                                   std::string_view name);

/// @return the HTTP route of `host` with the longest path prefix of `path`, or nullptr if there is
/// none. The comparison of hosts ignores case.
const proto::Route* MatchRoute(const proto::RoutingConfiguration& configuration,
                               std::string_view host, std::string_view path);

/// @return the back ends that get calls of the route: those of its split with a weight above 0, or
/// its single back end with the weight 1. `Route::backend` of a split route says nothing.
std::vector<proto::WeightedBackend> BackendsOf(const proto::Route& route);

/// Chooses one of the back ends with a probability proportional to its weight.
/// @param random a random number; the same number selects the same back end while the weights are
/// unchanged.
/// @return the name of the back end; empty if there is none.
std::string ChooseBackend(const std::vector<proto::WeightedBackend>& backends,
                          std::uint64_t random);
/// The same among the back ends of the route.
std::string ChooseBackend(const proto::Route& route, std::uint64_t random);

/// Whether the route can send calls to `backend`: as its single back end, or with a weight above 0.
bool AllowsBackend(const proto::Route& route, std::string_view backend);

/// @return the settings of a back end, or nullptr. The back ends of the configuration must be
/// sorted by name.
const proto::Backend* FindBackend(const proto::RoutingConfiguration& configuration,
                                  std::string_view name);

}  // namespace cloverbank
