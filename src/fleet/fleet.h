#pragma once
/// @file
/// Brings a deployment up on this machine, one loopback address a machine, and puts faults on it.
/// The tool is the only program here that starts processes; it signals only those it started, by
/// id.

#include <string>
#include <vector>

#include "client/blocking_http.h"
#include "deployment/deployment.h"
#include "fleet/run_folder.h"

namespace cloverbank {

class Fleet {
 public:
  /// @param program_folder where cloverbankd and cloverbank-emulator are.
  Fleet(Deployment deployment, RunFolder folder, std::string program_folder);

  /// Starts the emulator and every machine.
  Status StartAll();
  /// Starts every machine, without an emulator.
  Status StartMachines();
  /// Waits until every machine that runs is ready. @return what is not, at the limit.
  Status WaitReady(Duration limit);
  /// Stops everything: SIGTERM, then SIGKILL for what is left after `grace`.
  void StopAll(Duration grace);

  Status Start(const std::string& machine);
  /// SIGKILL, and waits until the process is gone.
  Status Kill(const std::string& process);
  /// SIGTERM, and waits up to `grace`.
  Status Stop(const std::string& process, Duration grace);
  Status Freeze(const std::string& process);
  Status Wake(const std::string& process);
  /// Kills the machine and removes its data folder.
  Status Empty(const std::string& machine);
  /// Cuts the machine off from `others` (all other machines when empty), both ways.
  Status Cut(const std::string& machine, std::vector<std::string> others);
  /// Lets every machine reach every other again.
  Status HealAll();
  /// Adds a machine with the roles and zone of `like` at a new address and starts it.
  Status Add(const std::string& name, const std::string& like, const std::string& address);
  /// Puts a fault on a replica of the emulator (see its unknown-fault answer for the list).
  Status ReplicaFault(const std::string& replica, const std::string& fault);

  /// @return why the machine is not ready, or "" if it is.
  std::string ReadinessProblem(const DeployedMachine& machine);
  /// @return client endpoints of the machines that run a gateway and whose process is up.
  std::vector<Endpoint> Gateways() const;
  Endpoint ClientEndpoint(const DeployedMachine& machine) const;

  const Deployment& deployment() const { return deployment_; }
  RunFolder& folder() { return folder_; }
  BlockingHttp& http() { return http_; }

 private:
  Status Spawn(const std::string& process, const std::vector<std::string>& arguments);
  Status Signal(const std::string& process, int signal);
  bool WaitForExit(const std::string& process, Duration limit);
  Status SetBlocked(const DeployedMachine& machine, const std::vector<std::string>& addresses);
  Status SaveDeployment();

  Deployment deployment_;
  RunFolder folder_;
  std::string program_folder_;
  BlockingHttp http_;
};

}  // namespace cloverbank
