#include "fleet/run_folder.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace cloverbank {
namespace {

constexpr int kClientPort = 7400;
constexpr int kPeerPort = 7401;

/// @return the start time of a process in clock ticks (field 22 of /proc/<pid>/stat), which
/// distinguishes it from a later process with the same id; empty if there is no such process or it
/// has ended and was not waited for (a zombie).
std::string StartTimeOf(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string line;
  std::getline(file, line);
  const auto after_name = line.rfind(')');
  if (after_name == std::string::npos) {
    return {};
  }
  constexpr int kFieldsUntilStartTime = 20;  // The name before them is field 2.
  constexpr char kZombie = 'Z';
  std::istringstream fields(line.substr(after_name + 1));
  std::string field;
  for (int index = 0; index < kFieldsUntilStartTime && fields >> field; ++index) {
    if (index == 0 && field[0] == kZombie) {
      return {};
    }
  }
  return field;
}

std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

std::string QuotedList(const std::vector<std::string>& texts) {
  std::string list;
  for (const std::string& text : texts) {
    list += (list.empty() ? "" : ", ") + Quoted(text);
  }
  return "[" + list + "]";
}

/// @return the peer endpoints of the first three coordinators.
std::vector<std::string> SeedsOf(const Deployment& deployment) {
  std::vector<std::string> seeds;
  for (const DeployedMachine& machine : deployment.machines) {
    const bool coordinator =
        std::find(machine.roles.begin(), machine.roles.end(), "coordinator") != machine.roles.end();
    if (coordinator && seeds.size() < 3) {
      seeds.push_back(machine.address + ":" + std::to_string(kPeerPort));
    }
  }
  return seeds;
}

}  // namespace

RunFolder::RunFolder(const std::filesystem::path& root) : root_(std::filesystem::absolute(root)) {}

Status RunFolder::Create() {
  std::error_code error;
  for (const char* folder : {"settings", "data", "logs", "pids"}) {
    std::filesystem::create_directories(root_ / folder, error);
    if (error) {
      return {StatusCode::kIoError,
              "cannot create " + (root_ / folder).string() + ": " + error.message()};
    }
  }
  return Status::Ok();
}

std::filesystem::path RunFolder::SettingsFile(const std::string& machine) const {
  return root_ / "settings" / (machine + ".toml");
}
std::filesystem::path RunFolder::DataFolderOf(const std::string& machine) const {
  return root_ / "data" / machine;
}
std::filesystem::path RunFolder::LogFile(const std::string& process) const {
  return root_ / "logs" / (process + ".log");
}
std::filesystem::path RunFolder::WitnessFile() const { return root_ / "witness.jsonl"; }
std::filesystem::path RunFolder::FleetFile() const { return root_ / "fleet.toml"; }
std::filesystem::path RunFolder::PidFile(const std::string& process) const {
  return root_ / "pids" / process;
}

Status RunFolder::SavePid(const std::string& process, int pid) {
  std::error_code error;
  if (pid == 0) {
    std::filesystem::remove(PidFile(process), error);
    return Status::Ok();
  }
  std::ofstream file(PidFile(process));
  file << pid << ' ' << StartTimeOf(pid) << '\n';
  file.close();
  return file ? Status::Ok()
              : Status(StatusCode::kIoError, "cannot write " + PidFile(process).string());
}

std::optional<int> RunFolder::RunningPid(const std::string& process) const {
  std::ifstream file(PidFile(process));
  int pid = 0;
  std::string start_time;
  if (!(file >> pid >> start_time) || StartTimeOf(pid) != start_time) {
    return std::nullopt;
  }
  return pid;
}

std::vector<std::string> RunFolder::Processes() const {
  std::vector<std::string> names;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(root_ / "pids", error)) {
    names.push_back(entry.path().filename().string());
  }
  std::sort(names.begin(), names.end());
  return names;
}

Status WriteMachineSettings(const Deployment& deployment, const DeployedMachine& machine,
                            const RunFolder& folder) {
  std::ofstream file(folder.SettingsFile(machine.name));
  file << "[node]\n"
       << "name = " << Quoted(machine.name) << "\n"
       << "zone = " << Quoted(machine.zone) << "\n"
       << "roles = " << QuotedList(machine.roles) << "\n"
       << "data_folder = " << Quoted(folder.DataFolderOf(machine.name).string()) << "\n"
       << "spare_backup = " << (machine.spare_backup ? "true" : "false") << "\n\n"
       << "[listen]\n"
       << "address = " << Quoted(machine.address) << "\n"
       << "client_port = " << kClientPort << "\n"
       << "peer_port = " << kPeerPort << "\n\n"
       << "[seeds]\n"
       << "addresses = " << QuotedList(SeedsOf(deployment)) << "\n\n"
       << "[platform]\n"
       << "replica_list = " << Quoted(deployment.platform_list.ToString()) << "\n";
  file.close();
  return file ? Status::Ok()
              : Status(StatusCode::kIoError,
                       "cannot write " + folder.SettingsFile(machine.name).string());
}

}  // namespace cloverbank
