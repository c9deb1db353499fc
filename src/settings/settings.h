#pragma once
/// @file
/// The checked settings of one process, read from a TOML file and overridden by flags. Every
/// mistake is reported with file, line, key, what was found and what is expected; all of them at
/// once.

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

/// See docs/CONFIGURATION.md for each key's unit, default and advice.
struct Settings {
  // [node]
  std::string machine;      ///< node.name
  std::string zone;         ///< node.zone
  RoleSettings roles;       ///< node.roles = ["coordinator", "gateway", "queue", "backup"]
  std::string data_folder;  ///< node.data_folder; needed by coordinator and backup.
  bool spare_backup =
      false;  ///< node.spare_backup: backup used only while store backups are short.
  /// node.zones = ["zone=region", ...]: the region of each zone, where the platform tells it.
  std::map<std::string, std::string> zone_regions;
  Duration stop_linger{};                    ///< node.stop_linger_ms
  Duration stop_grace = milliseconds(5000);  ///< node.stop_grace_ms
  // [front]: front interfaces of a platform's adapter; invalid endpoints are not served.
  Endpoint front_calls;
  Endpoint front_ready;
  Endpoint front_control;
  // [listen]
  Endpoint client;  ///< listen.address + listen.client_port (callers and operators)
  Endpoint peer;    ///< listen.address + listen.peer_port
  // [seeds]
  std::vector<Endpoint> seeds;  ///< seeds.addresses: peer endpoints of three coordinators.
  // [platform]
  Endpoint replica_list;  ///< platform.replica_list; needed by gateway.
  Duration poll_interval = milliseconds(500);
  bool platform_adapter = false;  ///< platform.adapter: speak in the platform's form.
  bool probe_replicas = true;     ///< platform.probe_replicas
  bool share_list = false;        ///< platform.share_list: one gateway of a zone reads the list.
  // [control]
  Duration election_timeout = milliseconds(400);
  Duration node_lease = seconds(3);
  Duration death_after = seconds(3);   ///< Silence after which a queue or backup node is dead.
  std::uint32_t partition_count = 12;  ///< Used only when the group is first formed.
  Duration arrival_quiet = milliseconds(700);  ///< control.arrival_quiet_ms
  Duration replace_unresponsive_after{};       ///< control.replace_silent_after_ms
  /// control.losses_borne: coordinators that may be lost at once, with their disks.
  std::uint32_t losses_borne = 0;
  bool form_group = true;            ///< Whether empty seeds may form a new group.
  Duration serve_without_control{};  ///< How long live calls are served after the lease.
  // [log]
  std::uint64_t segment_bytes = 4ULL << 20U;
  std::uint32_t replicas = 3;
  std::uint32_t minimum_replicas = 2;
  // [logging]
  LoggingOptions logging;
};

/// One mistake: "deploy/x.toml:12: listen.client_port: found "abc", expected a port from 1 to
/// 65535".
struct SettingsProblem {
  std::string file;
  std::uint32_t line = 0;
  std::string key;
  std::string found;
  std::string expected;
  std::string ToString() const;
};

/// A flag that overrides a key: "listen.address=127.0.0.1".
struct SettingsOverride {
  std::string key;
  std::string value;
};

/// @return the settings, or kInvalidArgument with every problem, one a line, also put in
/// `problems`.
Result<Settings> ParseSettings(std::string_view toml, const std::string& file_name,
                               const std::vector<SettingsOverride>& overrides,
                               std::vector<SettingsProblem>* problems);
/// Reads the file, then as `ParseSettings`.
Result<Settings> LoadSettings(const std::string& path,
                              const std::vector<SettingsOverride>& overrides,
                              std::vector<SettingsProblem>* problems);

}  // namespace cloverbank
