#include "net/http_headers.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <string>
#include <vector>

#include "base/ascii.h"

namespace cloverbank {
namespace {

constexpr std::array<std::string_view, 10> kHopByHopHeaders = {"Connection",
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

/// @return the header names that the "Connection" headers list.
std::vector<std::string_view> NamesInConnectionHeaders(const HttpHeaders& headers) {
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

HttpHeaders EndToEndHeaders(const HttpHeaders& headers,
                            std::initializer_list<std::string_view> additional_names) {
  std::vector<std::string_view> excluded = NamesInConnectionHeaders(headers);
  excluded.insert(excluded.end(), kHopByHopHeaders.begin(), kHopByHopHeaders.end());
  excluded.insert(excluded.end(), additional_names.begin(), additional_names.end());
  excluded.emplace_back("Content-Length");
  HttpHeaders end_to_end;
  for (const auto& [name, value] : headers) {
    const bool is_excluded = std::any_of(excluded.begin(), excluded.end(),
                                         [&name = name](std::string_view excluded_name) {
                                           return EqualIgnoringCase(name, excluded_name);
                                         });
    if (!is_excluded) {
      end_to_end.emplace_back(name, value);
    }
  }
  return end_to_end;
}

}  // namespace cloverbank
