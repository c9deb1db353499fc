#include "routes/route_match.h"

#include <algorithm>

#include "base/ascii.h"

namespace cloverbank {

const proto::Route* FindRouteNamed(const proto::RoutingConfiguration& configuration,
                                   std::string_view name) {
  const auto found =
      std::find_if(configuration.routes().begin(), configuration.routes().end(),
                   [name](const proto::Route& route) { return route.name() == name; });
  return found == configuration.routes().end() ? nullptr : &*found;
}

const proto::Route* MatchRoute(const proto::RoutingConfiguration& configuration,
                               std::string_view host, std::string_view path) {
  const proto::Route* best = nullptr;
  for (const proto::Route& route : configuration.routes()) {
    const bool is_longer =
        best == nullptr || route.path_prefix().size() > best->path_prefix().size();
    if (route.backend_kind() == proto::BACKEND_KIND_HTTP && is_longer &&
        path.substr(0, route.path_prefix().size()) == route.path_prefix() &&
        EqualIgnoringCase(route.host(), host)) {
      best = &route;
    }
  }
  return best;
}

std::string ChooseBackend(const proto::Route& route, std::uint64_t random) {
  std::uint64_t total = 0;
  for (const proto::WeightedBackend& weighted : route.split()) {
    total += weighted.weight();
  }
  if (total == 0) {
    return route.backend();
  }
  std::uint64_t offset = random % total;
  for (const proto::WeightedBackend& weighted : route.split()) {
    if (offset < weighted.weight()) {
      return weighted.backend();
    }
    offset -= weighted.weight();
  }
  return route.backend();
}

bool AllowsBackend(const proto::Route& route, std::string_view backend) {
  if (route.split().empty()) {
    return route.backend() == backend;
  }
  return std::any_of(route.split().begin(), route.split().end(),
                     [backend](const proto::WeightedBackend& weighted) {
                       return weighted.weight() > 0 && weighted.backend() == backend;
                     });
}

const proto::Backend* FindBackend(const proto::RoutingConfiguration& configuration,
                                  std::string_view name) {
  const auto found = std::lower_bound(
      configuration.backends().begin(), configuration.backends().end(), name,
      [](const proto::Backend& backend, std::string_view key) { return backend.name() < key; });
  const bool matches = found != configuration.backends().end() && found->name() == name;
  return matches ? &*found : nullptr;
}

}  // namespace cloverbank
