#pragma once
/// @file
/// Description of a deployment: its machines, its replicas and how its models behave. One TOML file
/// (deploy/<name>/fleet.toml) is read by the fleet tool, the emulator and the bench.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/status.h"
#include "base/time.h"
#include "proto/configuration.pb.h"

namespace cloverbank {

/// A machine that runs one `cloverbankd`.
struct DeployedMachine {
  std::string name;
  std::string address;  ///< IP number, its own.
  std::string zone;
  std::vector<std::string> roles;
  bool spare_backup = false;
};

/// A model replica or a replica of a plain service.
struct DeployedReplica {
  std::string id;
  Endpoint endpoint;
  std::string zone;
  proto::BackendKind kind = proto::BACKEND_KIND_UNSPECIFIED;
  std::string backend;
  std::uint32_t capacity = 1;  ///< Calls it runs at once.
};

/// How the emulated replicas of one model or service spend time.
struct BackendBehaviour {
  Duration prefill_per_token = std::chrono::microseconds(50);
  Duration decode_step = milliseconds(10);  ///< One token of every running call.
  Duration decode_step_per_call = std::chrono::microseconds(200);  ///< Added for each running call.
  Duration load_time = seconds(2);                                 ///< From start until it answers.
  std::uint32_t shared_prefix_tokens = 400;  ///< Saved when the prefix is cached.
  std::uint32_t prefix_cache_entries = 16;   ///< Prefixes that fit beside running calls.
  std::uint32_t kv_capacity_tokens = 65536;  ///< Tokens of running calls and prefixes.
  Duration service_time = milliseconds(4);   ///< Plain services: one call.
};

struct Deployment {
  std::string name;
  Endpoint platform_list;                 ///< GET /replicas
  Endpoint emulator_admin;                ///< Faults of replicas, counts of starts.
  Duration list_lag = milliseconds(500);  ///< How late the platform's list shows a change.
  std::vector<DeployedMachine> machines;
  std::vector<DeployedReplica> replicas;
  std::map<std::string, BackendBehaviour> behaviours;  ///< By model or service name.

  /// @return the behaviour of `backend`, or the defaults if the file names none.
  BackendBehaviour BehaviourOf(const std::string& backend) const;
  /// @return the machine of that name, or nullptr.
  const DeployedMachine* FindMachine(const std::string& machine_name) const;
};

/// Reads fleet.toml. @return kInvalidArgument with every problem, one a line, each with its place.
Result<Deployment> ParseDeployment(std::string_view toml, const std::string& file_name);
Result<Deployment> LoadDeployment(const std::string& path);
/// Replaces the first two numbers of every IP number ("127.20") by those of `network`, so that the
/// same deployment can run several times on one machine.
void MoveToNetwork(const std::string& network, Deployment* deployment);
/// @return `deployment` as a fleet.toml that reads back the same.
std::string PrintDeployment(const Deployment& deployment);

}  // namespace cloverbank
