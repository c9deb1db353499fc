#include "net/url.h"

#include <cctype>

namespace cloverbank {
namespace {

constexpr std::string_view kHexDigits = "0123456789ABCDEF";
constexpr std::string_view kUnreservedPunctuation = "-._~";

std::optional<unsigned> HexValue(char digit) {
  const int upper = std::toupper(static_cast<unsigned char>(digit));
  const std::size_t value = kHexDigits.find(static_cast<char>(upper));
  if (value == std::string_view::npos) {
    return std::nullopt;
  }
  return static_cast<unsigned>(value);
}

/// @return the decoded text; std::nullopt if a "%" is not followed by two hexadecimal digits.
/// @param plus_is_space whether "+" stands for a space, as in queries.
std::optional<std::string> PercentDecode(std::string_view text, bool plus_is_space) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t index = 0; index < text.size(); ++index) {
    if (text[index] == '+' && plus_is_space) {
      decoded += ' ';
      continue;
    }
    if (text[index] != '%') {
      decoded += text[index];
      continue;
    }
    if (index + 2 >= text.size()) {
      return std::nullopt;
    }
    const auto high = HexValue(text[index + 1]);
    const auto low = HexValue(text[index + 2]);
    if (!high || !low) {
      return std::nullopt;
    }
    decoded += static_cast<char>((*high << 4U) | *low);
    index += 2;
  }
  return decoded;
}

void AppendPercentEncoded(std::string_view text, std::string_view also_allowed,
                          std::string* encoded) {
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    const bool unescaped = (byte < 0x80 && std::isalnum(byte) != 0) ||
                           kUnreservedPunctuation.find(character) != std::string_view::npos ||
                           also_allowed.find(character) != std::string_view::npos;
    if (unescaped) {
      *encoded += character;
      continue;
    }
    *encoded += '%';
    *encoded += kHexDigits[byte >> 4U];
    *encoded += kHexDigits[byte & 0x0FU];
  }
}

bool ParseQuery(std::string_view query, HttpHeaders* parameters) {
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    if (pair.empty()) {
      continue;
    }
    const std::size_t equals = pair.find('=');
    auto key = PercentDecode(pair.substr(0, equals), true);
    auto value = equals == std::string_view::npos ? std::optional<std::string>("")
                                                  : PercentDecode(pair.substr(equals + 1), true);
    if (!key || !value) {
      return false;
    }
    parameters->emplace_back(std::move(*key), std::move(*value));
  }
  return true;
}

}  // namespace

std::optional<RequestTarget> ParseRequestTarget(std::string_view target) {
  if (target.empty() || target.front() != '/') {
    return std::nullopt;
  }
  const std::size_t query_start = target.find('?');
  auto path = PercentDecode(target.substr(0, query_start), false);
  if (!path) {
    return std::nullopt;
  }
  RequestTarget parsed;
  parsed.path = std::move(*path);
  if (query_start != std::string_view::npos &&
      !ParseQuery(target.substr(query_start + 1), &parsed.query)) {
    return std::nullopt;
  }
  return parsed;
}

std::string FormatRequestTarget(std::string_view path, const HttpHeaders& query) {
  std::string target;
  AppendPercentEncoded(path, "/", &target);
  char separator = '?';
  for (const auto& [key, value] : query) {
    target += separator;
    AppendPercentEncoded(key, "", &target);
    target += '=';
    AppendPercentEncoded(value, "", &target);
    separator = '&';
  }
  return target;
}

}  // namespace cloverbank
