#pragma once
/// @file
/// Structured log lines: a short event name and key=value fields. This header hides spdlog, because
/// spdlog is slow to compile.

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace cloverbank {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// One `key=value` field of a log line. `key` must outlive the field; the value is copied.
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

/// How log lines are written. Set once at startup, before other threads run.
struct LoggingOptions {
  LogLevel level = LogLevel::kInfo;
  bool json = false;      ///< Write one JSON object per line instead of key=value.
  std::string node_name;  ///< Added to every line as field "node" unless empty.
};

/// Applies `options` to all later log lines. Not thread-safe: call it before other threads run.
void ConfigureLogging(const LoggingOptions& options);

/// Writes one line to standard error if `level` is enabled. Thread-safe.
/// @param event stable snake_case name of what happened.
void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

}  // namespace cloverbank
