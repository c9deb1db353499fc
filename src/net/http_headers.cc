#include "net/http_headers.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <string>
#include <vector>

namespace cloverbank {
namespace {

constexpr std::array<std::string_view, 10> kHopByHop = {"Connection",
                                                        "Keep-Alive",
                                                        "Proxy-Connection",
                                                        "Proxy-Authenticate",
                                                        "Proxy-Authorization",
                                                        "TE",
                                                        "Trailer",
                                                        "Transfer-Encoding",
                                                        "Upgrade",
                                                        "Expect"};

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// @return the names that the "Connection" headers list.
std::vector<std::string_view> NamedByConnection(const HttpHeaders& headers) {
  std::vector<std::string_view> names;
  for (const auto& [name, value] : headers) {
    if (!EqualIgnoringCase(name, "Connection")) {
      continue;
    }
    std::string_view rest = value;
    while (!rest.empty()) {
      const std::string_view token = rest.substr(0, rest.find(','));
      rest.remove_prefix(std::min(rest.size(), token.size() + 1));
      names.push_back(Trim(token));
    }
  }
  return names;
}

}  // namespace

bool EqualIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char one, unsigned char other) {
                      return std::tolower(one) == std::tolower(other);
                    });
}

HttpHeaders EndToEndHeaders(const HttpHeaders& headers,
                            std::initializer_list<std::string_view> others) {
  std::vector<std::string_view> dropped = NamedByConnection(headers);
  dropped.insert(dropped.end(), kHopByHop.begin(), kHopByHop.end());
  dropped.insert(dropped.end(), others.begin(), others.end());
  dropped.emplace_back("Content-Length");
  HttpHeaders kept;
  for (const auto& [name, value] : headers) {
    const bool drop = std::any_of(
        dropped.begin(), dropped.end(),
        [&name = name](std::string_view other) { return EqualIgnoringCase(name, other); });
    if (!drop) {
      kept.emplace_back(name, value);
    }
  }
  return kept;
}

}  // namespace cloverbank
