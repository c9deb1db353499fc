/// @file
/// cloverbank-fleet: runs a whole deployment on this machine and injects faults into it.

#include <CLI/CLI.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "fleet/demo.h"
#include "fleet/fleet.h"

namespace cloverbank {
namespace {

constexpr Duration kStopGrace = seconds(10);
constexpr Duration kReadyLimit = seconds(60);

struct Arguments {
  std::string deployment = "deploy/kuusela";
  std::string run_folder;
  std::string network;
  std::string name;
  std::string like;
  std::string address;
  std::string fault;
  std::vector<std::string> others;
  bool with_failures = false;
  bool without_time_limits = false;
};

int Finish(const Status& status) {
  if (!status.ok()) {
    std::fprintf(stderr, "cloverbank-fleet: %s\n", status.message().c_str());
    return 1;
  }
  return 0;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

/// Loads the running fleet's description if the run folder has one and `fresh` is false; otherwise
/// the deployment's fleet.toml, moved to `arguments.network` if one is given.
Result<Deployment> OpenDeployment(const Arguments& arguments, const RunFolder& folder, bool fresh) {
  if (!fresh && std::filesystem::exists(folder.FleetFile())) {
    return LoadDeployment(folder.FleetFile().string());
  }
  auto deployment = LoadDeployment(arguments.deployment + "/fleet.toml");
  if (deployment.ok() && !arguments.network.empty()) {
    MoveToNetwork(arguments.network, &*deployment);
  }
  return deployment;
}

int RunDemo(Fleet& fleet, const Arguments& arguments) {
  Demo demo(fleet, ReadFile(arguments.deployment + "/configuration.json"),
            !arguments.without_time_limits);
  const bool passed = demo.Run(arguments.with_failures);
  fleet.StopAll(kStopGrace);
  return passed ? 0 : 1;
}

int RunUp(Fleet& fleet, const Arguments& arguments) {
  Status status = fleet.StartAll();
  if (status.ok()) {
    status = fleet.WaitReady(kReadyLimit);
  }
  if (!status.ok()) {
    return Finish(status);
  }
  ApiClient client(fleet.Gateways(), seconds(20));
  ApiError error;
  const bool applied = client.Call("POST", "/v1/config/transactions",
                                   ReadFile(arguments.deployment + "/configuration.json"),
                                   Repeat::kSafe, nullptr, &error);
  if (!applied && error.http_status != 409) {
    std::fprintf(stderr, "cloverbank-fleet: first configuration: %s\n",
                 error.error.message().c_str());
    return 1;
  }
  std::printf("the fleet is up; gateways:");
  for (const Endpoint& gateway : fleet.Gateways()) {
    std::printf(" %s", gateway.ToString().c_str());
  }
  std::printf("\n");
  return 0;
}

int RunStatus(Fleet& fleet) {
  for (const DeployedMachine& machine : fleet.deployment().machines) {
    const std::string problem = fleet.ReadinessProblem(machine);
    std::printf("%-16s %-14s zone %-4s %s\n", machine.name.c_str(), machine.address.c_str(),
                machine.zone.c_str(), problem.empty() ? "ready" : problem.c_str());
  }
  return 0;
}

int RunCommand(const std::string& command, Fleet& fleet, const Arguments& arguments) {
  if (command == "up") {
    return RunUp(fleet, arguments);
  }
  if (command == "demo") {
    return RunDemo(fleet, arguments);
  }
  if (command == "status") {
    return RunStatus(fleet);
  }
  if (command == "down") {
    fleet.StopAll(kStopGrace);
    return 0;
  }
  if (command == "kill") {
    return Finish(fleet.Kill(arguments.name));
  }
  if (command == "stop") {
    return Finish(fleet.Stop(arguments.name, kStopGrace));
  }
  if (command == "start") {
    return Finish(fleet.Start(arguments.name));
  }
  if (command == "freeze") {
    return Finish(fleet.Freeze(arguments.name));
  }
  if (command == "wake") {
    return Finish(fleet.Wake(arguments.name));
  }
  if (command == "empty") {
    return Finish(fleet.Empty(arguments.name));
  }
  if (command == "cut") {
    return Finish(fleet.Cut(arguments.name, arguments.others));
  }
  if (command == "heal") {
    return Finish(fleet.HealAll());
  }
  if (command == "add") {
    return Finish(fleet.Add(arguments.name, arguments.like, arguments.address));
  }
  return Finish(fleet.ReplicaFault(arguments.name, arguments.fault));
}

void AddCommands(CLI::App& app, Arguments* arguments) {
  app.require_subcommand(1);
  app.fallthrough();
  app.add_option("--deployment", arguments->deployment, "Folder with fleet.toml")
      ->capture_default_str();
  app.add_option("--run-folder", arguments->run_folder,
                 "Folder for settings, data and logs [run/<deployment>]");
  app.add_option("--network", arguments->network,
                 "First two parts of the IP addresses to use instead, e.g. 127.50");
  app.add_subcommand("up", "Start the whole deployment and apply its first configuration");
  app.add_subcommand("down", "Stop all processes of the fleet");
  app.add_subcommand("status", "Show which machines are ready, and why others are not");
  auto* demo = app.add_subcommand(
      "demo", "Start a fresh fleet, make live calls, a batch and a change, then stop it");
  demo->add_flag("--with-failures", arguments->with_failures,
                 "Also kill the leading coordinator and the owner of a half-done batch");
  demo->add_flag("--without-time-limits", arguments->without_time_limits,
                 "Print how long service was unavailable, but don't check it (for busy machines)");
  const std::pair<const char*, const char*> machine_commands[] = {
      {"kill", "SIGKILL a machine's process"},
      {"stop", "SIGTERM a machine's process and wait"},
      {"start", "Start a machine's process"},
      {"freeze", "SIGSTOP a machine's process"},
      {"wake", "SIGCONT a machine's process"},
      {"empty", "Kill a machine's process and remove its data folder"},
      {"cut", "Disconnect a machine from the others, in both directions"},
      {"add", "Add a machine like another and start it"},
      {"replica", "Inject a fault into an emulated replica"}};
  for (const auto& [name, description] : machine_commands) {
    auto* command = app.add_subcommand(name, description);
    command->add_option("name", arguments->name, "Name of the machine or replica")->required();
    if (std::string_view(name) == "cut") {
      command->add_option("--from", arguments->others, "Disconnect it only from these machines");
    } else if (std::string_view(name) == "add") {
      command->add_option("--like", arguments->like, "Machine to copy roles and zone from")
          ->required();
      command->add_option("--address", arguments->address, "IP address of the new machine")
          ->required();
    } else if (std::string_view(name) == "replica") {
      command->add_option("fault", arguments->fault, "crash, return, dark, drain, ready, slow ...")
          ->required();
    }
  }
  app.add_subcommand("heal", "Connect all machines with each other again");
}

int Main(int argc, char** argv) {
  CLI::App app{"Runs a whole cloverbank deployment on loopback addresses of this machine."};
  Arguments arguments;
  AddCommands(app, &arguments);
  CLI11_PARSE(app, argc, argv);
  const std::string command = app.get_subcommands().front()->get_name();
  const bool fresh = command == "demo";
  if (arguments.run_folder.empty()) {
    const std::filesystem::path deployment(arguments.deployment);
    arguments.run_folder = "run/" + deployment.filename().string() + (fresh ? "-demo" : "");
  }
  const RunFolder folder(arguments.run_folder);
  if (fresh) {
    std::error_code ignored;
    Fleet({}, folder, {}).StopAll(kStopGrace);  // Stops processes of an earlier run.
    std::filesystem::remove_all(arguments.run_folder, ignored);
  }
  auto deployment = OpenDeployment(arguments, folder, fresh);
  if (!deployment.ok()) {
    return Finish(deployment.status());
  }
  const std::string programs = std::filesystem::canonical("/proc/self/exe").parent_path().string();
  Fleet fleet(std::move(deployment).value(), folder, programs);
  return RunCommand(command, fleet, arguments);
}

}  // namespace
}  // namespace cloverbank

int main(int argc, char** argv) { return cloverbank::Main(argc, argv); }
