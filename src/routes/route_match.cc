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

std::vector<proto::WeightedBackend> BackendsOf(const proto::Route& route) {
  std::vector<proto::WeightedBackend> backends;
  for (const proto::WeightedBackend& weighted : route.split()) {
    if (weighted.weight() > 0) {
      backends.push_back(weighted);
    }
  }
  if (route.split().empty()) {
    proto::WeightedBackend& single = backends.emplace_back();
    single.set_backend(route.backend());
    single.set_weight(1);
  }
  return backends;
}

std::string ChooseBackend(const std::vector<proto::WeightedBackend>& backends,
                          std::uint64_t random) {
  std::uint64_t total = 0;
  for (const proto::WeightedBackend& weighted : backends) {
    total += weighted.weight();
  }
  std::uint64_t offset = total == 0 ? 0 : random % total;
  for (const proto::WeightedBackend& weighted : backends) {
    if (offset < weighted.weight()) {
      return weighted.backend();
    }
    offset -= weighted.weight();
  }
  return "";
}

std::string ChooseBackend(const proto::Route& route, std::uint64_t random) {
  return ChooseBackend(BackendsOf(route), random);
}

bool AllowsBackend(const proto::Route& route, std::string_view backend) {
  const std::vector<proto::WeightedBackend> backends = BackendsOf(route);
  return std::any_of(
      backends.begin(), backends.end(),
      [backend](const proto::WeightedBackend& weighted) { return weighted.backend() == backend; });
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
