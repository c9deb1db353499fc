#pragma once
/// @file
/// Structured log lines: a short event name and typed key=value fields. spdlog is kept behind this
/// header, because it is slow to compile.

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace cloverbank {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// One `key=value` of a log line.
struct LogField {
  LogField(std::string_view name, std::string_view text) : key(name), value(text) {}
  LogField(std::string_view name, const std::string& text) : key(name), value(text) {}
  LogField(std::string_view name, const char* text) : key(name), value(text) {}
  template <typename Number>
  requires std::is_arithmetic_v<Number> LogField(std::string_view name, Number number)
      : key(name), value(std::to_string(number)) {}

  std::string_view key;
  std::string value;
};

/// How log lines are written. Set once at start, before other threads run.
struct LoggingOptions {
  LogLevel level = LogLevel::kInfo;
  bool json = false;      ///< One JSON object a line instead of key=value.
  std::string node_name;  ///< Added to every line when not empty.
};

void ConfigureLogging(const LoggingOptions& options);

/// Writes one line to standard error. Thread-safe. `event` is a stable snake_case name.
void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

}  // namespace cloverbank
