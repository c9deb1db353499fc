#include "base/logging.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>

namespace cloverbank {
namespace {

struct LoggingState {
  std::shared_ptr<spdlog::logger> logger = spdlog::stderr_logger_mt("cloverbank");
  LoggingOptions options;
};

LoggingState& GlobalState() {
  static LoggingState state;
  return state;
}

spdlog::level::level_enum ToSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

std::string Quote(std::string_view text) {
  std::string quoted = "\"";
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      quoted += '\\';
      quoted += character;
    } else if (byte < 0x20) {
      quoted += fmt::format("\\u{:04x}", byte);
    } else {
      quoted += character;
    }
  }
  return quoted + '"';
}

bool NeedsQuotes(std::string_view text) {
  return text.empty() || text.find_first_of(" \"=\n\t\\") != std::string_view::npos;
}

void AppendField(std::string& line, const LogField& field, bool json) {
  if (json) {
    line += fmt::format(",{}:{}", Quote(field.key), Quote(field.value));
  } else {
    line += fmt::format(" {}={}", field.key,
                        NeedsQuotes(field.value) ? Quote(field.value) : field.value);
  }
}

}  // namespace

void ConfigureLogging(const LoggingOptions& options) {
  GlobalState().options = options;
  GlobalState().logger->set_level(ToSpdlog(options.level));
  GlobalState().logger->flush_on(spdlog::level::info);
  GlobalState().logger->set_pattern(options.json
                                        ? "{\"time\":\"%Y-%m-%dT%H:%M:%S.%e\",\"level\":\"%l\",%v}"
                                        : "%Y-%m-%dT%H:%M:%S.%e %l %v");
}

void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  LoggingState& state = GlobalState();
  const auto spdlog_level = ToSpdlog(level);
  if (!state.logger->should_log(spdlog_level)) {
    return;
  }
  const bool json = state.options.json;
  std::string line = json ? "\"event\":" + Quote(event) : std::string(event);
  if (!state.options.node_name.empty()) {
    AppendField(line, LogField("node", state.options.node_name), json);
  }
  for (const LogField& field : fields) {
    AppendField(line, field, json);
  }
  state.logger->log(spdlog_level, "{}", line);
}

}  // namespace cloverbank
