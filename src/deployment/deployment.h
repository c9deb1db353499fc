#pragma once
/// @file
/// Description of a deployment: its machines, its replicas and the timing of its emulated models.
/// The fleet tool, the emulator and the benchmark read it from one TOML file,
/// deploy/<name>/fleet.toml.

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
  std::string address;  ///< IP address that no other machine uses.
  std::string zone;
  std::vector<std::string> roles;
  bool spare_backup = false;
};

/// A replica of a model or of a plain service.
struct DeployedReplica {
  std::string id;
  Endpoint endpoint;
  std::string zone;
  proto::BackendKind kind = proto::BACKEND_KIND_UNSPECIFIED;
  std::string backend;
  std::uint32_t capacity = 1;  ///< Number of calls it runs concurrently.
};

/// Timing and cache sizes of the emulated replicas of one model or service.
struct BackendBehaviour {
  /// Time to prefill one prompt token.
  Duration prefill_per_token = std::chrono::microseconds(50);
  Duration decode_step = milliseconds(10);  ///< Time to decode one token of each running call.
  /// Added to each decode step per running call.
  Duration decode_step_per_call = std::chrono::microseconds(200);
  Duration load_time = seconds(2);           ///< From start until it accepts calls.
  std::uint32_t shared_prefix_tokens = 400;  ///< Not prefilled if the prefix is cached.
  std::uint32_t prefix_cache_entries = 16;   ///< Maximum number of cached prefixes.
  std::uint32_t kv_capacity_tokens = 65536;  ///< For running calls and prefixes.
  Duration service_time = milliseconds(4);   ///< Time of one call of a plain service.
};

struct Deployment {
  std::string name;
  Endpoint platform_list;                 ///< Serves GET /replicas.
  Endpoint emulator_admin;                ///< Sets faults of replicas and reports counts of starts.
  Duration list_lag = milliseconds(500);  ///< Delay until the platform's list shows a change.
  std::vector<DeployedMachine> machines;
  std::vector<DeployedReplica> replicas;
  std::map<std::string, BackendBehaviour> behaviours;  ///< By model or service name.

  /// @return the behaviour of `backend`, or the defaults if the file names none.
  BackendBehaviour BehaviourOf(const std::string& backend) const;
  /// @return the machine of that name, or nullptr.
  const DeployedMachine* FindMachine(const std::string& machine_name) const;
};

/// Parses the text of a fleet.toml.
/// @param file_name only for error texts.
/// @return kInvalidArgument with every problem, one per line, each with the file and, if
/// known, the line of its table.
Result<Deployment> ParseDeployment(std::string_view toml, const std::string& file_name);
/// Reads the file at `path` and parses it as `ParseDeployment` does.
Result<Deployment> LoadDeployment(const std::string& path);
/// Replaces the first two numbers of every IPv4 address by `network` (such as "127.20"), so that
/// the same deployment can run several times on one machine. Other addresses stay as they are.
void MoveToNetwork(const std::string& network, Deployment* deployment);
/// @return the text of a fleet.toml that parses to the same deployment.
std::string PrintDeployment(const Deployment& deployment);

}  // namespace cloverbank
