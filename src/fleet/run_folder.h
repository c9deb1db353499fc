#pragma once
/// @file
/// The folder of a running fleet: generated settings, data folders, logs, and the ids of the
/// processes that the fleet tool started.

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

  /// Creates the folder and its sub-folders.
  Status Create();
  std::filesystem::path SettingsFile(const std::string& machine) const;
  std::filesystem::path DataFolderOf(const std::string& machine) const;
  std::filesystem::path LogFile(const std::string& process) const;
  /// The emulator's log of the starts, refusals and ends of calls at replicas.
  std::filesystem::path WitnessFile() const;
  /// File of the deployment, including machines added while the fleet runs.
  std::filesystem::path FleetFile() const;

  /// Stores the process id of `process`; removes the stored one if `pid` is 0.
  Status SavePid(const std::string& process, int pid);
  /// @return the stored id if the process that it was stored for still runs; a later process with
  /// the same id does not count.
  std::optional<int> RunningPid(const std::string& process) const;
  /// @return the names of all processes with a stored id, sorted.
  std::vector<std::string> Processes() const;

 private:
  std::filesystem::path PidFile(const std::string& process) const;
  std::filesystem::path root_;
};

/// Writes the settings file of `machine` into `folder`.
Status WriteMachineSettings(const Deployment& deployment, const DeployedMachine& machine,
                            const RunFolder& folder);

}  // namespace cloverbank
