#include "net/http_types.h"

#include "base/ascii.h"

namespace cloverbank {
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (EqualIgnoringCase(key, name)) {
      return value;
    }
  }
  return {};
}

std::string_view PathSegment(std::string_view path, std::size_t index) {
  if (!path.empty() && path.front() == '/') {
    path.remove_prefix(1);
  }
  for (; index > 0; --index) {
    const std::size_t slash = path.find('/');
    if (slash == std::string_view::npos) {
      return {};
    }
    path.remove_prefix(slash + 1);
  }
  return path.substr(0, path.find('/'));
}

}  // namespace cloverbank
