// cloverbankd: the daemon of the serving tier; its settings name the roles that it runs.
#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "base/logging.h"
#include "cloverbankd/daemon.h"
#include "net/event_loop.h"
#include "settings/settings.h"

namespace cloverbank {
namespace {

constexpr int kExitStartFailed = 1;
constexpr std::uint32_t kMsPerSecond = 1000;
constexpr int kExitInvalidSettings = 2;

struct CommandLine {
  std::string settings_path;
  std::vector<std::string> overrides;
  bool check_only = false;
  DaemonOptions daemon;
};

/// @return the exit code if the process must end now (help, invalid flags); otherwise nothing.
std::optional<int> ParseCommandLine(int argc, char** argv, CommandLine* line) {
  CLI::App app{"cloverbankd: gateway, queue, backup and coordinator roles of a cloverbank fleet"};
  std::optional<std::uint32_t> grace_seconds;
  app.add_option("--config", line->settings_path, "Settings file (TOML)")
      ->envname("CLOVERBANK_CONFIG")
      ->required();
  app.add_option("--set", line->overrides, "Override one setting: section.key=value");
  app.add_flag("--check-only", line->check_only, "Check the settings and exit");
  app.add_flag("--allow-fault-injection", line->daemon.allow_fault_injection,
               "Serve /admin/faults on the client port; for test fleets only");
  app.add_option("--stop-grace-seconds", grace_seconds,
                 "Seconds a graceful stop waits for calls in flight; overrides node.stop_grace_ms");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kExitInvalidSettings;
  }
  if (grace_seconds) {
    line->overrides.push_back("node.stop_grace_ms=" +
                              std::to_string(*grace_seconds * kMsPerSecond));
  }
  line->daemon.settings_path = line->settings_path;
  return std::nullopt;
}

std::vector<SettingsOverride> SplitOverrides(const std::vector<std::string>& texts) {
  std::vector<SettingsOverride> overrides;
  for (const std::string& text : texts) {
    const std::size_t equals = text.find('=');
    const bool has_value = equals != std::string::npos;
    overrides.push_back({text.substr(0, equals), has_value ? text.substr(equals + 1) : ""});
  }
  return overrides;
}

int RunDaemon(const CommandLine& line) {
  Result<Settings> settings =
      LoadSettings(line.settings_path, SplitOverrides(line.overrides), nullptr);
  if (!settings.ok()) {
    std::cerr << settings.status().message() << '\n';
    return kExitInvalidSettings;
  }
  if (line.check_only) {
    std::cout << line.settings_path << ": the settings are valid\n";
    return 0;
  }
  LoggingOptions logging = settings->logging;
  logging.node_name = settings->machine;
  ConfigureLogging(logging);
  Daemon daemon(std::move(*settings), line.daemon);
  const Status started = daemon.Start();
  if (!started.ok()) {
    Log(LogLevel::kError, "start_failed", {{"status", started.ToString()}});
    return kExitStartFailed;
  }
  return daemon.Run();
}

}  // namespace
}  // namespace cloverbank

int main(int argc, char** argv) {
  cloverbank::EventLoop::HoldReloadSignal();
  try {
    cloverbank::CommandLine line;
    if (const auto exit_code = cloverbank::ParseCommandLine(argc, argv, &line)) {
      return *exit_code;
    }
    return cloverbank::RunDaemon(line);
  } catch (const std::exception& error) {
    std::cerr << "cloverbankd: " << error.what() << '\n';
    return cloverbank::kExitStartFailed;
  }
}
