#include "routes/route_reference.h"

#include <algorithm>

#include "base/ascii.h"
#include "routes/route_match.h"

namespace cloverbank {
namespace {

constexpr std::string_view kHostHeader = "Host";

bool IsForwardedTo(const proto::BatchItem& item, std::string_view host) {
  const auto& headers = item.forwarded().headers();
  return std::any_of(headers.begin(), headers.end(), [host](const proto::HttpField& header) {
    return EqualIgnoringCase(header.name(), kHostHeader) && EqualIgnoringCase(header.value(), host);
  });
}

}  // namespace

proto::RouteReference ReferenceByName(std::string_view name) {
  proto::RouteReference reference;
  reference.set_name(std::string(name));
  return reference;
}

proto::RouteReference ReferenceByPath(std::string_view host, std::string_view path) {
  proto::RouteReference reference;
  reference.set_host(std::string(host));
  reference.set_path(std::string(path));
  return reference;
}

proto::RouteReference ReferenceOf(const proto::WorkGrant& grant) {
  return grant.has_route_reference() ? grant.route_reference() : ReferenceByName(grant.route());
}

const proto::Route* ResolveRoute(const proto::RoutingConfiguration& configuration,
                                 const proto::RouteReference& reference) {
  if (!IsByPath(reference)) {
    return FindRouteNamed(configuration, reference.name());
  }
  const proto::Route* matched = MatchRoute(configuration, reference.host(), reference.path());
  if (matched != nullptr || reference.name().empty()) {
    return matched;
  }
  const proto::Route* named = FindRouteNamed(configuration, reference.name());
  const bool same_host = named != nullptr && EqualIgnoringCase(named->host(), reference.host());
  return same_host ? named : nullptr;
}

const proto::Route* ResolveBatchRoute(const proto::RoutingConfiguration& configuration,
                                      const proto::RouteReference& reference) {
  const proto::Route* route = ResolveRoute(configuration, reference);
  const bool ended = route != nullptr && IsByPath(reference) && !route->accepts_batches();
  return ended ? nullptr : route;
}

proto::RouteReference DeriveReference(std::string_view tenant, std::string_view route_name,
                                      const proto::BatchItem* first_item) {
  proto::RouteReference reference = ReferenceByName(route_name);
  if (first_item != nullptr && !tenant.empty() && IsForwardedTo(*first_item, tenant)) {
    const std::string& target = first_item->forwarded().target();
    reference.set_host(std::string(tenant));
    reference.set_path(target.substr(0, target.find('?')));
  }
  return reference;
}

}  // namespace cloverbank
