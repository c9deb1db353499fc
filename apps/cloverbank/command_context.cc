#include "cloverbank/command_context.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>

#include "json/json.h"
#include "settings/settings_reader.h"

namespace cloverbank {
namespace {

constexpr Duration kRetryTime = seconds(20);

}  // namespace

int CommandContext::Resolve() {
  if (gateway_texts.empty()) {
    std::fprintf(stderr,
                 "cloverbank: no gateway given; use --gateway IP:PORT or set CLOVERBANK_GATEWAY\n");
    return kExitUsage;
  }
  for (const std::string& text : gateway_texts) {
    const auto endpoint = ParseEndpoint(text);
    if (!endpoint) {
      std::fprintf(stderr, "cloverbank: --gateway: found \"%s\", expected IP:PORT\n", text.c_str());
      return kExitUsage;
    }
    gateways.push_back(*endpoint);
  }
  output = output_text == "json" ? OutputForm::kJson : OutputForm::kTable;
  return kExitOk;
}

ApiClient CommandContext::MakeClient() const { return {gateways, kRetryTime}; }

int PrintError(const ApiError& error) {
  std::fprintf(stderr, "cloverbank: %s: %s\n", error.error.code().c_str(),
               error.error.message().c_str());
  for (const std::string& problem : error.error.problems()) {
    std::fprintf(stderr, "  - %s\n", problem.c_str());
  }
  if (error.error.retry_after_ms() != 0) {
    std::fprintf(stderr, "  try again in %u ms\n", error.error.retry_after_ms());
  }
  if (error.http_status == 409) {
    return kExitConflict;
  }
  if (error.error.executed() == proto::EXECUTED_UNKNOWN) {
    return kExitUnknown;
  }
  const bool unavailable =
      error.http_status == 0 || error.http_status == 429 || error.http_status >= 500;
  return unavailable ? kExitUnavailable : kExitFailure;
}

void PrintJson(const google::protobuf::Message& message) {
  std::printf("%s\n", ToReadableJson(message).c_str());
}

Result<std::string> ReadFileContent(const std::string& path) {
  if (path == "-") {
    return std::string{std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>()};
  }
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return Status(StatusCode::kInvalidArgument, "cannot read " + path);
  }
  return std::string{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::string RandomId(const std::string& prefix) {
  std::random_device device;
  constexpr std::uint64_t kHalfBits = 32;
  const std::uint64_t number = (std::uint64_t{device()} << kHalfBits) | device();
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return prefix + "-" + text;
}

}  // namespace cloverbank
