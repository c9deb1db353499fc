#pragma once
/// @file
/// Where a running fleet keeps its files: generated settings, data folders, logs, and the ids of
/// the processes that the tool started.

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "base/status.h"
#include "deployment/deployment.h"

namespace cloverbank {

class RunFolder {
 public:
  explicit RunFolder(const std::filesystem::path& root);

  Status Create();
  std::filesystem::path SettingsFile(const std::string& machine) const;
  std::filesystem::path DataFolderOf(const std::string& machine) const;
  std::filesystem::path LogFile(const std::string& process) const;
  std::filesystem::path WitnessFile() const;
  /// The deployment with the machines that were added while it runs.
  std::filesystem::path FleetFile() const;

  /// Remembers the process id of `process`; nothing if `pid` is 0.
  Status SavePid(const std::string& process, int pid);
  /// @return the remembered id if that process still runs the program it was started as.
  std::optional<int> RunningPid(const std::string& process) const;
  /// @return names of all processes ever started and not forgotten.
  std::vector<std::string> Processes() const;

 private:
  std::filesystem::path PidFile(const std::string& process) const;
  std::filesystem::path root_;
};

/// Writes the settings file of `machine`.
Status WriteMachineSettings(const Deployment& deployment, const DeployedMachine& machine,
                            const RunFolder& folder);

}  // namespace cloverbank
