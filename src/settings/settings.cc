#include "settings/settings.h"

#include <fstream>
#include <iterator>

#include "settings/settings_reader.h"

namespace cloverbank {
namespace {

constexpr NumberBounds kPortBounds{1, 65535};
// Bounds of durations are in milliseconds.
constexpr NumberBounds kPollIntervalBounds{50, 3000};
constexpr NumberBounds kElectionTimeoutBounds{50, 10000};
constexpr NumberBounds kLeaseBounds{500, 10000};
constexpr NumberBounds kPartitionBounds{1, 4096};
constexpr NumberBounds kSegmentBounds{64 << 10, 64 << 20};
constexpr NumberBounds kReplicaCountBounds{1, 7};
constexpr NumberBounds kLossesBorneBounds{0, 20};
constexpr NumberBounds kReplaceSilentAfterBounds{0, 3'600'000};
constexpr NumberBounds kArrivalQuietBounds{50, 10000};
constexpr NumberBounds kStopDurationBounds{0, 60000};
constexpr NumberBounds kServeWithoutControlBounds{0, 3'600'000};
constexpr std::uint16_t kDefaultClientPort = 7400;
constexpr std::uint16_t kDefaultPeerPort = 7401;
constexpr std::string_view kEndpointExpected = "an IP address and port, such as \"127.0.0.1:7401\"";

void ReadDuration(SettingsReader& reader, std::string_view key, NumberBounds bounds,
                  Duration* value) {
  if (const auto number = reader.Number(key, bounds)) {
    *value = milliseconds(*number);
  }
}

void ReadRoles(SettingsReader& reader, RoleSettings* roles) {
  constexpr std::string_view kExpected =
      "a list of \"coordinator\", \"gateway\", \"queue\", \"backup\"";
  reader.RequireKey("node.roles", kExpected);
  const auto names = reader.TextList("node.roles", kExpected);
  if (!names) {
    return;
  }
  if (names->empty()) {
    reader.Reject("node.roles", "an empty list", kExpected);
  }
  for (const std::string& name : *names) {
    if (name == "coordinator") {
      roles->coordinator = true;
    } else if (name == "gateway") {
      roles->gateway = true;
    } else if (name == "queue") {
      roles->queue = true;
    } else if (name == "backup") {
      roles->backup = true;
    } else {
      reader.Reject("node.roles", '"' + name + '"', kExpected);
    }
  }
}

/// Reads the "zone=region" pairs of node.zones.
void ReadZones(SettingsReader& reader, Settings* settings) {
  constexpr std::string_view kExpected = "a list of \"zone=region\"";
  for (const std::string& pair :
       reader.TextList("node.zones", kExpected).value_or(std::vector<std::string>())) {
    const std::size_t equals = pair.find('=');
    if (equals == std::string::npos || equals == 0) {
      reader.Reject("node.zones", '"' + pair + '"', kExpected);
      continue;
    }
    settings->zone_regions[pair.substr(0, equals)] = pair.substr(equals + 1);
  }
}

void ReadOptionalEndpoint(SettingsReader& reader, std::string_view key, Endpoint* endpoint) {
  const auto text = reader.Text(key, kEndpointExpected);
  if (!text) {
    return;
  }
  if (const auto parsed = ParseEndpoint(*text)) {
    *endpoint = *parsed;
  } else {
    reader.Reject(key, '"' + *text + '"', kEndpointExpected);
  }
}

void ReadFront(SettingsReader& reader, Settings* settings) {
  ReadOptionalEndpoint(reader, "front.calls", &settings->front_calls);
  ReadOptionalEndpoint(reader, "front.ready", &settings->front_ready);
  ReadOptionalEndpoint(reader, "front.control", &settings->front_control);
}

void ReadNode(SettingsReader& reader, Settings* settings) {
  constexpr std::string_view kNameExpected = "this machine's name";
  constexpr std::string_view kZoneExpected = "the name of this machine's zone";
  constexpr std::string_view kFolderExpected =
      "the path of the folder for this process's files (required for coordinators and backups)";
  reader.RequireKey("node.name", kNameExpected);
  reader.RequireKey("node.zone", kZoneExpected);
  settings->machine = reader.Text("node.name", kNameExpected).value_or("");
  settings->zone = reader.Text("node.zone", kZoneExpected).value_or("");
  ReadRoles(reader, &settings->roles);
  settings->data_folder = reader.Text("node.data_folder", kFolderExpected).value_or("");
  settings->spare_backup = reader.Boolean("node.spare_backup").value_or(false);
  ReadZones(reader, settings);
  ReadDuration(reader, "node.stop_linger_ms", kStopDurationBounds, &settings->stop_linger);
  ReadDuration(reader, "node.stop_admit_ms", kStopDurationBounds, &settings->stop_admit);
  ReadDuration(reader, "node.stop_grace_ms", kStopDurationBounds, &settings->stop_grace);
  if (settings->roles.coordinator || settings->roles.backup) {
    reader.RequireKey("node.data_folder", kFolderExpected);
  }
  if (settings->spare_backup && !settings->roles.backup) {
    reader.Reject("node.spare_backup", "true", "the role \"backup\" in node.roles, or false");
  }
}

void ReadListen(SettingsReader& reader, Settings* settings) {
  constexpr std::string_view kExpected = "an IP address, such as \"127.0.0.1\"";
  reader.RequireKey("listen.address", kExpected);
  const std::string address = reader.Text("listen.address", kExpected).value_or("");
  if (!address.empty() && !IsIpAddress(address)) {
    reader.Reject("listen.address", '"' + address + '"', kExpected);
  }
  const auto client = reader.Number("listen.client_port", kPortBounds);
  const auto peer = reader.Number("listen.peer_port", kPortBounds);
  settings->client = {address, static_cast<std::uint16_t>(client.value_or(kDefaultClientPort))};
  settings->peer = {address, static_cast<std::uint16_t>(peer.value_or(kDefaultPeerPort))};
  if (settings->client == settings->peer) {
    reader.Reject("listen.peer_port", std::to_string(settings->peer.port),
                  "a port other than listen.client_port");
  }
}

void ReadSeeds(SettingsReader& reader, Settings* settings) {
  constexpr std::string_view kExpected =
      "a list of three \"ip:port\" peer endpoints of coordinators";
  reader.RequireKey("seeds.addresses", kExpected);
  const auto port = reader.Number("seeds.port", kPortBounds);
  const auto addresses = reader.TextList("seeds.addresses", kExpected);
  if (!addresses) {
    return;
  }
  if (addresses->empty()) {
    reader.Reject("seeds.addresses", "an empty list", kExpected);
  }
  for (const std::string& address : *addresses) {
    if (auto endpoint = ParseEndpoint(address)) {
      endpoint->port = static_cast<std::uint16_t>(port.value_or(endpoint->port));
      settings->seeds.push_back(*endpoint);
    } else {
      reader.Reject("seeds.addresses", '"' + address + '"', kEndpointExpected);
    }
  }
}

void ReadPlatform(SettingsReader& reader, Settings* settings) {
  if (settings->roles.gateway) {
    reader.RequireKey("platform.replica_list", kEndpointExpected);
  }
  if (const auto text = reader.Text("platform.replica_list", kEndpointExpected)) {
    if (const auto endpoint = ParseEndpoint(*text)) {
      settings->replica_list = *endpoint;
    } else {
      reader.Reject("platform.replica_list", '"' + *text + '"', kEndpointExpected);
    }
  }
  ReadDuration(reader, "platform.poll_interval_ms", kPollIntervalBounds, &settings->poll_interval);
  settings->platform_adapter = reader.Boolean("platform.adapter").value_or(false);
  settings->probe_replicas = reader.Boolean("platform.probe_replicas").value_or(true);
  settings->share_list = reader.Boolean("platform.share_list").value_or(false);
}

void ReadControl(SettingsReader& reader, Settings* settings) {
  ReadDuration(reader, "control.election_timeout_ms", kElectionTimeoutBounds,
               &settings->election_timeout);
  ReadDuration(reader, "control.node_lease_ms", kLeaseBounds, &settings->node_lease);
  ReadDuration(reader, "control.death_after_ms", kLeaseBounds, &settings->death_after);
  if (settings->death_after < settings->node_lease) {
    reader.Reject("control.death_after_ms", "less than control.node_lease_ms",
                  "at least control.node_lease_ms, so that a dead node's lease has expired");
  }
  ReadDuration(reader, "control.arrival_quiet_ms", kArrivalQuietBounds, &settings->arrival_quiet);
  ReadDuration(reader, "control.replace_silent_after_ms", kReplaceSilentAfterBounds,
               &settings->replace_unresponsive_after);
  if (const auto losses = reader.Number("control.losses_borne", kLossesBorneBounds)) {
    settings->losses_borne = static_cast<std::uint32_t>(*losses);
  }
  settings->form_group = reader.Boolean("control.form_group").value_or(true);
  ReadDuration(reader, "control.serve_without_control_ms", kServeWithoutControlBounds,
               &settings->serve_without_control);
  if (const auto count = reader.Number("control.partition_count", kPartitionBounds)) {
    settings->partition_count = static_cast<std::uint32_t>(*count);
  }
}

void ReadLog(SettingsReader& reader, Settings* settings) {
  if (const auto bytes = reader.Number("log.segment_bytes", kSegmentBounds)) {
    settings->segment_bytes = static_cast<std::uint64_t>(*bytes);
  }
  if (const auto replicas = reader.Number("log.copies", kReplicaCountBounds)) {
    settings->replicas = static_cast<std::uint32_t>(*replicas);
  }
  if (const auto replicas = reader.Number("log.minimum_copies", kReplicaCountBounds)) {
    settings->minimum_replicas = static_cast<std::uint32_t>(*replicas);
  }
  if (settings->minimum_replicas > settings->replicas) {
    reader.Reject("log.minimum_copies", std::to_string(settings->minimum_replicas),
                  "at most log.copies (" + std::to_string(settings->replicas) + ")");
  }
}

void ReadLogging(SettingsReader& reader, Settings* settings) {
  constexpr std::string_view kLevels = "\"debug\", \"info\", \"warning\" or \"error\"";
  const std::string level = reader.Text("logging.level", kLevels).value_or("info");
  if (level == "debug") {
    settings->logging.level = LogLevel::kDebug;
  } else if (level == "info") {
    settings->logging.level = LogLevel::kInfo;
  } else if (level == "warning") {
    settings->logging.level = LogLevel::kWarning;
  } else if (level == "error") {
    settings->logging.level = LogLevel::kError;
  } else {
    reader.Reject("logging.level", '"' + level + '"', kLevels);
  }
  constexpr std::string_view kFormats = "\"text\" or \"json\"";
  const std::string format = reader.Text("logging.format", kFormats).value_or("text");
  if (format != "text" && format != "json") {
    reader.Reject("logging.format", '"' + format + '"', kFormats);
  }
  settings->logging.json = format == "json";
  settings->logging.node_name = settings->machine;
}

}  // namespace

std::string SettingsProblem::ToString() const {
  std::string text = file;
  if (line != 0) {
    text += ":" + std::to_string(line);
  }
  if (!key.empty()) {
    text += ": " + key;
  }
  return text + ": found " + found + ", expected " + expected;
}

Result<Settings> ParseSettings(std::string_view toml, const std::string& file_name,
                               const std::vector<SettingsOverride>& overrides,
                               std::vector<SettingsProblem>* problems) {
  SettingsReader reader(toml, file_name);
  Settings settings;
  if (reader.problems().empty()) {
    for (const SettingsOverride& change : overrides) {
      reader.Override(change);
    }
    ReadNode(reader, &settings);
    ReadListen(reader, &settings);
    ReadFront(reader, &settings);
    ReadSeeds(reader, &settings);
    ReadPlatform(reader, &settings);
    ReadControl(reader, &settings);
    ReadLog(reader, &settings);
    ReadLogging(reader, &settings);
    reader.RejectUnknownKeys();
  }
  if (reader.problems().empty()) {
    return settings;
  }
  std::string message;
  for (const SettingsProblem& problem : reader.problems()) {
    message += (message.empty() ? "" : "\n") + problem.ToString();
  }
  if (problems != nullptr) {
    *problems = reader.problems();
  }
  return Status(StatusCode::kInvalidArgument, message);
}

Result<Settings> LoadSettings(const std::string& path,
                              const std::vector<SettingsOverride>& overrides,
                              std::vector<SettingsProblem>* problems) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    const SettingsProblem problem{path, 0, "", "no readable file", "a TOML settings file"};
    if (problems != nullptr) {
      problems->push_back(problem);
    }
    return Status(StatusCode::kInvalidArgument, problem.ToString());
  }
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  return ParseSettings(text, path, overrides, problems);
}

}  // namespace cloverbank
