#include "fleet/fleet.h"

#include <fcntl.h>
#include <signal.h>  // NOLINT(modernize-deprecated-headers): kill(2) is POSIX.
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <thread>

#include "net/event_loop.h"

namespace cloverbank {
namespace {

constexpr std::uint16_t kClientPort = 7400;
constexpr Duration kCallDeadline = seconds(2);
constexpr auto kPollInterval = milliseconds(50);
constexpr std::string_view kEmulator = "emulator";

bool HasRole(const DeployedMachine& machine, std::string_view role) {
  return std::find(machine.roles.begin(), machine.roles.end(), role) != machine.roles.end();
}

Status SystemError(const std::string& operation) {
  return {StatusCode::kIoError, operation + ": " + std::strerror(errno)};
}

}  // namespace

Fleet::Fleet(Deployment deployment, RunFolder folder, std::string program_folder)
    : deployment_(std::move(deployment)),
      folder_(std::move(folder)),
      program_folder_(std::move(program_folder)) {}

Status Fleet::Spawn(const std::string& process, const std::vector<std::string>& arguments) {
  if (folder_.RunningPid(process)) {
    return Status::Ok();
  }
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));  // NOLINT: execv takes char*.
  }
  argv.push_back(nullptr);
  const std::string log = folder_.LogFile(process).string();
  const pid_t pid = fork();
  if (pid < 0) {
    return SystemError("fork");
  }
  if (pid == 0) {
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    const int input = open("/dev/null", O_RDONLY);
    dup2(input, STDIN_FILENO);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    setsid();
    execv(argv[0], argv.data());
    _exit(127);
  }
  return folder_.SavePid(process, pid);
}

Status Fleet::Start(const std::string& machine) {
  const DeployedMachine* description = deployment_.FindMachine(machine);
  if (description == nullptr) {
    return {StatusCode::kNotFound, "no machine is named " + machine};
  }
  if (Status status = WriteMachineSettings(deployment_, *description, folder_); !status.ok()) {
    return status;
  }
  return Spawn(machine, {program_folder_ + "/cloverbankd", "--config",
                         folder_.SettingsFile(machine).string(), "--allow-fault-injection"});
}

Status Fleet::StartAll() {
  if (Status status = folder_.Create(); !status.ok()) {
    return status;
  }
  if (Status status = SaveDeployment(); !status.ok()) {
    return status;
  }
  const Status status =
      Spawn(std::string(kEmulator),
            {program_folder_ + "/cloverbank-emulator", "--fleet", folder_.FleetFile().string(),
             "--witness", folder_.WitnessFile().string()});
  return status.ok() ? StartMachines() : status;
}

Status Fleet::StartMachines() {
  if (Status status = folder_.Create(); !status.ok()) {
    return status;
  }
  for (const DeployedMachine& machine : deployment_.machines) {
    if (Status status = Start(machine.name); !status.ok()) {
      return status;
    }
  }
  return Status::Ok();
}

Endpoint Fleet::ClientEndpoint(const DeployedMachine& machine) const {
  return {machine.address, kClientPort};
}

std::vector<Endpoint> Fleet::Gateways() const {
  std::vector<Endpoint> endpoints;
  for (const DeployedMachine& machine : deployment_.machines) {
    if (HasRole(machine, "gateway") && folder_.RunningPid(machine.name)) {
      endpoints.push_back(ClientEndpoint(machine));
    }
  }
  return endpoints;
}

std::string Fleet::ReadinessProblem(const DeployedMachine& machine) {
  if (!folder_.RunningPid(machine.name)) {
    return "not running";
  }
  const HttpOutcome outcome =
      http_.Call(ClientEndpoint(machine), MakeRequest("GET", "/ready"), kCallDeadline);
  if (outcome.kind != HttpOutcomeKind::kAnswered) {
    return outcome.reason;
  }
  return outcome.response.status == 200 ? "" : outcome.response.body;
}

Status Fleet::WaitReady(Duration limit) {
  const TimePoint deadline = EventLoop::Now() + limit;
  while (true) {
    std::string problems;
    for (const DeployedMachine& machine : deployment_.machines) {
      if (!folder_.RunningPid(machine.name)) {
        continue;
      }
      const std::string problem = ReadinessProblem(machine);
      if (!problem.empty()) {
        problems += "\n  " + machine.name + ": " + problem;
        break;
      }
    }
    if (problems.empty()) {
      return Status::Ok();
    }
    if (EventLoop::Now() >= deadline) {
      return {StatusCode::kUnavailable, "not ready:" + problems};
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

Status Fleet::Signal(const std::string& process, int signal) {
  const auto pid = folder_.RunningPid(process);
  if (!pid) {
    return {StatusCode::kNotFound, process + " is not running"};
  }
  return kill(*pid, signal) == 0 ? Status::Ok() : SystemError("kill " + process);
}

bool Fleet::WaitForExit(const std::string& process, Duration limit) {
  const TimePoint deadline = EventLoop::Now() + limit;
  while (folder_.RunningPid(process)) {
    if (EventLoop::Now() >= deadline) {
      return false;
    }
    while (waitpid(-1, nullptr, WNOHANG) > 0) {
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

Status Fleet::Kill(const std::string& process) {
  if (Status status = Signal(process, SIGKILL); !status.ok()) {
    return status;
  }
  return WaitForExit(process, seconds(5))
             ? folder_.SavePid(process, 0)
             : Status(StatusCode::kInternal, process + " has not ended within 5 s after SIGKILL");
}

Status Fleet::Stop(const std::string& process, Duration grace) {
  if (Status status = Signal(process, SIGTERM); !status.ok()) {
    return status;
  }
  return WaitForExit(process, grace)
             ? folder_.SavePid(process, 0)
             : Status(StatusCode::kUnavailable,
                      process + " has not ended within the grace time after SIGTERM");
}

Status Fleet::Freeze(const std::string& process) { return Signal(process, SIGSTOP); }
Status Fleet::Wake(const std::string& process) { return Signal(process, SIGCONT); }

void Fleet::StopAll(Duration grace) {
  const std::vector<std::string> processes = folder_.Processes();
  for (const std::string& process : processes) {
    if (Signal(process, SIGCONT).ok()) {
      static_cast<void>(Signal(process, SIGTERM));
    }
  }
  const TimePoint deadline = EventLoop::Now() + grace;
  for (const std::string& process : processes) {
    if (!WaitForExit(process, std::max(Duration::zero(), deadline - EventLoop::Now()))) {
      static_cast<void>(Kill(process));
    }
    static_cast<void>(folder_.SavePid(process, 0));
  }
}

Status Fleet::Empty(const std::string& machine) {
  if (folder_.RunningPid(machine)) {
    if (Status status = Kill(machine); !status.ok()) {
      return status;
    }
  }
  std::error_code error;
  std::filesystem::remove_all(folder_.DataFolderOf(machine), error);
  return error ? Status(StatusCode::kIoError, error.message()) : Status::Ok();
}

Status Fleet::SetBlocked(const DeployedMachine& machine,
                         const std::vector<std::string>& addresses) {
  std::string list;
  for (const std::string& address : addresses) {
    list += (list.empty() ? "\"" : ",\"") + address + "\"";
  }
  const HttpOutcome outcome = http_.Call(
      ClientEndpoint(machine), MakeRequest("POST", "/admin/faults", "{\"blocked\":[" + list + "]}"),
      kCallDeadline);
  if (outcome.kind == HttpOutcomeKind::kAnswered && outcome.response.status < 300) {
    return Status::Ok();
  }
  return {StatusCode::kUnavailable, machine.name + ": " + outcome.reason + outcome.response.body};
}

Status Fleet::Cut(const std::string& machine, std::vector<std::string> others) {
  const DeployedMachine* found = deployment_.FindMachine(machine);
  if (found == nullptr) {
    return {StatusCode::kNotFound, "no machine is named " + machine};
  }
  std::vector<std::string> addresses;
  for (const DeployedMachine& other : deployment_.machines) {
    const bool chosen =
        others.empty() || std::find(others.begin(), others.end(), other.name) != others.end();
    if (chosen && other.name != machine) {
      addresses.push_back(other.address);
    }
  }
  return SetBlocked(*found, addresses);
}

Status Fleet::HealAll() {
  Status result;
  for (const DeployedMachine& machine : deployment_.machines) {
    if (folder_.RunningPid(machine.name)) {
      if (Status status = SetBlocked(machine, {}); !status.ok()) {
        result = status;
      }
    }
  }
  return result;
}

Status Fleet::Add(const std::string& name, const std::string& like, const std::string& address) {
  const DeployedMachine* original = deployment_.FindMachine(like);
  if (original == nullptr) {
    return {StatusCode::kNotFound, "no machine is named " + like};
  }
  if (deployment_.FindMachine(name) != nullptr) {
    return {StatusCode::kConflict, "a machine named " + name + " already exists"};
  }
  DeployedMachine added = *original;
  added.name = name;
  added.address = address;
  deployment_.machines.push_back(added);
  if (Status status = SaveDeployment(); !status.ok()) {
    return status;
  }
  return Start(name);
}

Status Fleet::ReplicaFault(const std::string& replica, const std::string& fault) {
  const HttpOutcome outcome =
      http_.Call(deployment_.emulator_admin,
                 MakeRequest("POST", "/admin/replicas/" + replica + "/" + fault), kCallDeadline);
  if (outcome.kind == HttpOutcomeKind::kAnswered && outcome.response.status < 300) {
    return Status::Ok();
  }
  return {StatusCode::kInvalidArgument, outcome.reason + outcome.response.body};
}

Status Fleet::SaveDeployment() {
  std::ofstream file(folder_.FleetFile());
  file << PrintDeployment(deployment_);
  file.close();
  return file ? Status::Ok()
              : Status(StatusCode::kIoError, "cannot write " + folder_.FleetFile().string());
}

}  // namespace cloverbank
