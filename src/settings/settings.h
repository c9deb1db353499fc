#pragma once
/// @file
/// The validated settings of one process, read from a TOML file and overridden by flags. Validation
/// doesn't stop at the first error: it reports all of them, each with the file, line and key, the
/// value found and the value expected.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/logging.h"
#include "base/status.h"
#include "base/time.h"

namespace cloverbank {

struct RoleSettings {
  bool coordinator = false;
  bool gateway = false;
  bool queue = false;
  bool backup = false;
};

/// docs/CONFIGURATION.md gives the unit, the default and advice for each key.
struct Settings {
  // [node]
  std::string machine;      ///< node.name
  std::string zone;         ///< node.zone
  RoleSettings roles;       ///< node.roles = ["coordinator", "gateway", "queue", "backup"]
  std::string data_folder;  ///< node.data_folder; required by coordinator and backup.
  /// node.spare_backup: this backup is used only while there are too few store backups.
  bool spare_backup = false;
  /// node.zones = ["zone=region", ...]: the region of each zone, if the platform provides it.
  std::map<std::string, std::string> zone_regions;
  Duration stop_linger{};  ///< node.stop_linger_ms
  /// node.stop_admit_ms: from then on a stopping process takes only calls that end before it does.
  Duration stop_admit{};
  Duration stop_grace = milliseconds(5000);  ///< node.stop_grace_ms
  // [front]: interfaces of the platform adapter. An endpoint that is not set is not served.
  Endpoint front_calls;
  Endpoint front_ready;
  Endpoint front_control;
  // [listen]
  Endpoint client;  ///< listen.address + listen.client_port (callers and operators)
  Endpoint peer;    ///< listen.address + listen.peer_port
  // [seeds]
  std::vector<Endpoint> seeds;  ///< seeds.addresses: peer endpoints of three coordinators.
  // [platform]
  Endpoint replica_list;  ///< platform.replica_list; required by gateway.
  Duration poll_interval = milliseconds(500);
  bool platform_adapter = false;  ///< platform.adapter: use the platform's own protocol.
  bool probe_replicas = true;     ///< platform.probe_replicas
  bool share_list = false;        ///< platform.share_list: one gateway per zone reads the list.
  // [control]
  Duration election_timeout = milliseconds(400);
  Duration node_lease = seconds(3);
  /// control.death_after_ms: time without a heartbeat after which a queue node or backup is
  /// declared dead.
  Duration death_after = seconds(3);
  /// Used only when the coordinator group is first formed.
  std::uint32_t partition_count = 12;
  Duration arrival_quiet = milliseconds(700);  ///< control.arrival_quiet_ms
  Duration replace_unresponsive_after{};       ///< control.replace_silent_after_ms
  /// control.losses_borne: number of coordinators that may be lost at once, including their disks.
  std::uint32_t losses_borne = 0;
  bool form_group = true;  ///< Whether seeds that are all empty may form a new group.
  /// How long a gateway serves live calls after its lease has expired.
  Duration serve_without_control{};
  // [log]
  std::uint64_t segment_bytes = 4ULL << 20U;
  std::uint32_t replicas = 3;
  std::uint32_t minimum_replicas = 2;
  // [logging]
  LoggingOptions logging;
};

/// One error in the settings, printed as: deploy/x.toml:12: listen.client_port: found "abc",
/// expected a whole number from 1 to 65535.
struct SettingsProblem {
  std::string file;        ///< "--set" if the value comes from a flag.
  std::uint32_t line = 0;  ///< 0 if there is no line to name.
  std::string key;
  std::string found;
  std::string expected;
  std::string ToString() const;
};

/// A flag that overrides a key, such as --set listen.address=127.0.0.1.
struct SettingsOverride {
  std::string key;
  std::string value;
};

/// @param toml text of the settings file.
/// @param file_name only for error texts.
/// @param problems receives every problem; may be nullptr.
/// @return the settings, or kInvalidArgument with every problem, one per line.
Result<Settings> ParseSettings(std::string_view toml, const std::string& file_name,
                               const std::vector<SettingsOverride>& overrides,
                               std::vector<SettingsProblem>* problems);
/// Reads the file at `path` and parses it as `ParseSettings` does.
Result<Settings> LoadSettings(const std::string& path,
                              const std::vector<SettingsOverride>& overrides,
                              std::vector<SettingsProblem>* problems);

}  // namespace cloverbank
