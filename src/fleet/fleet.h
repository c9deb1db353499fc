#pragma once
/// @file
/// Runs a deployment on this machine, with one loopback address per deployed machine, and injects
/// faults into it. The fleet tool is the only program of this project that starts processes. It
/// signals only processes that it started, by their ids.

#include <string>
#include <vector>

#include "client/blocking_http.h"
#include "deployment/deployment.h"
#include "fleet/run_folder.h"

namespace cloverbank {

class Fleet {
 public:
  /// @param program_folder folder of the programs cloverbankd and cloverbank-emulator.
  Fleet(Deployment deployment, RunFolder folder, std::string program_folder);

  /// Starts the emulator and every machine.
  Status StartAll();
  /// Starts every machine, without an emulator.
  Status StartMachines();
  /// Waits until every running machine is ready.
  /// @return kUnavailable with a machine that is not ready and the reason, once `limit` has passed.
  Status WaitReady(Duration limit);
  /// Stops all processes: SIGTERM, then SIGKILL for those that still run after `grace`.
  void StopAll(Duration grace);

  /// Writes the settings file of the machine and starts its process unless it runs already.
  Status Start(const std::string& machine);
  /// Sends SIGKILL and waits until the process has ended.
  Status Kill(const std::string& process);
  /// Sends SIGTERM and waits up to `grace` until the process has ended; kUnavailable if it has not.
  Status Stop(const std::string& process, Duration grace);
  /// Sends SIGSTOP.
  Status Freeze(const std::string& process);
  /// Sends SIGCONT.
  Status Wake(const std::string& process);
  /// Kills the process of the machine, if it runs, and removes its data folder.
  Status Empty(const std::string& machine);
  /// Blocks the traffic between the machine and `others` in both directions; an empty list means
  /// all other machines.
  Status Cut(const std::string& machine, std::vector<std::string> others);
  /// Removes the blocks of all running machines.
  /// @return the last error, if there is any.
  Status HealAll();
  /// Adds a machine with the roles and zone of `like` at a new address and starts it.
  Status Add(const std::string& name, const std::string& like, const std::string& address);
  /// Injects a fault into an emulated replica. The emulator's answer to an unknown fault lists the
  /// valid ones.
  Status ReplicaFault(const std::string& replica, const std::string& fault);

  /// @return why the machine is not ready, or "" if it is.
  std::string ReadinessProblem(const DeployedMachine& machine);
  /// @return the client endpoints of the running machines that have the role gateway.
  std::vector<Endpoint> Gateways() const;
  Endpoint ClientEndpoint(const DeployedMachine& machine) const;

  const Deployment& deployment() const { return deployment_; }
  RunFolder& folder() { return folder_; }
  BlockingHttp& http() { return http_; }

 private:
  /// Starts a program unless `process` runs already. Its output goes to the log file of `process`.
  Status Spawn(const std::string& process, const std::vector<std::string>& arguments);
  Status Signal(const std::string& process, int signal);
  /// @return whether the process has ended within `limit`.
  bool WaitForExit(const std::string& process, Duration limit);
  /// Makes the machine block all traffic with exactly these addresses.
  Status SetBlocked(const DeployedMachine& machine, const std::vector<std::string>& addresses);
  Status SaveDeployment();

  Deployment deployment_;
  RunFolder folder_;
  std::string program_folder_;
  BlockingHttp http_;
};

}  // namespace cloverbank
