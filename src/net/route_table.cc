#include "net/route_table.h"

#include <utility>

namespace cloverbank {
namespace {

/// Calls `visit(segment)` for each segment of `path` until it returns false.
/// @return whether every call returned true.
template <typename Visitor>
bool VisitSegments(std::string_view path, Visitor visit) {
  if (!path.empty() && path.front() == '/') {
    path.remove_prefix(1);
  }
  while (true) {
    const std::size_t slash = path.find('/');
    if (!visit(path.substr(0, slash))) {
      return false;
    }
    if (slash == std::string_view::npos) {
      return true;
    }
    path.remove_prefix(slash + 1);
  }
}

bool IsPlaceholder(std::string_view segment) {
  return segment.size() >= 2 && segment.front() == '{' && segment.back() == '}';
}

bool Matches(const std::vector<std::string>& segments, std::string_view path) {
  std::size_t index = 0;
  const bool matched = VisitSegments(path, [&](std::string_view segment) {
    if (index == segments.size()) {
      return false;
    }
    const std::string& expected = segments[index++];
    return IsPlaceholder(expected) ? !segment.empty() : segment == expected;
  });
  return matched && index == segments.size();
}

}  // namespace

void RouteTable::Add(std::string_view method, std::string_view pattern, HttpHandler handler) {
  Route route;
  route.method = method;
  route.handler = std::move(handler);
  VisitSegments(pattern, [&route](std::string_view segment) {
    route.segments.emplace_back(segment);
    route.literal_count += IsPlaceholder(segment) ? 0 : 1;
    return true;
  });
  routes_.push_back(std::move(route));
}

RouteTable::Match RouteTable::Find(std::string_view method, std::string_view path) const {
  Match match;
  const Route* best = nullptr;
  for (const Route& route : routes_) {
    if (!Matches(route.segments, path)) {
      continue;
    }
    match.path_known = true;
    const bool better = best == nullptr || route.literal_count > best->literal_count;
    if (route.method == method && better) {
      best = &route;
    }
  }
  if (best != nullptr) {
    match.handler = &best->handler;
  }
  return match;
}

}  // namespace cloverbank
