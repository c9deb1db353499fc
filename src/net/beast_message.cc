#include "net/beast_message.h"

#include <algorithm>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace cloverbank {
namespace {

namespace http = boost::beast::http;

bool IsSafeText(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char character) {
    return character == '\r' || character == '\n' || character == '\0';
  });
}

bool IsSafeName(std::string_view name) {
  return !name.empty() && name.find_first_of(": \t") == std::string_view::npos && IsSafeText(name);
}

bool IsSetByTransport(http::field field) {
  return field == http::field::connection || field == http::field::content_length ||
         field == http::field::transfer_encoding;
}

}  // namespace

HttpHeaders ToHttpHeaders(const http::fields& fields) {
  HttpHeaders headers;
  for (const auto& field : fields) {
    headers.emplace_back(field.name_string().to_string(), field.value().to_string());
  }
  return headers;
}

void AddHeaders(const HttpHeaders& headers, http::fields* fields) {
  for (const auto& [name, value] : headers) {
    const bool valid = IsSafeName(name) && IsSafeText(value);
    if (valid && !IsSetByTransport(http::string_to_field(name))) {
      fields->insert(name, value);
    }
  }
}

std::string SerializeResponseHead(const http::response_header<>& head) {
  http::fields::writer writer(head, head.version(), head.result_int());
  return boost::beast::buffers_to_string(writer.get());
}

}  // namespace cloverbank
