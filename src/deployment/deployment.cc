#include "deployment/deployment.h"

#include <toml++/toml.h>

#include <fstream>
#include <iterator>
#include <set>
#include <sstream>

#include "settings/settings_reader.h"

namespace cloverbank {
namespace {

/// Reads values from one table of the file. A function that finds an invalid value records a
/// problem and returns a default.
class TableReader {
 public:
  TableReader(const toml::table& table, std::string file, std::vector<std::string>* problems)
      : table_(table), file_(std::move(file)), problems_(problems) {}

  std::string Text(std::string_view key, bool required = true) {
    const auto text = table_[key].value<std::string>();
    if ((!text || text->empty()) && (required || table_.contains(key))) {
      AddProblem(key, "a non-empty text");
    }
    return text.value_or("");
  }
  std::uint32_t Number(std::string_view key, std::uint32_t fallback) {
    const auto number = table_[key].value<std::int64_t>();
    if (!table_.contains(key)) {
      return fallback;
    }
    if (!number || *number < 0 || *number > kMaximumNumber) {
      AddProblem(key, "a whole number from 0 to 2^31");
      return fallback;
    }
    return static_cast<std::uint32_t>(*number);
  }
  Endpoint Address(std::string_view key) {
    const auto endpoint = ParseEndpoint(table_[key].value_or(std::string()));
    if (!endpoint) {
      AddProblem(key, "an IP address and port, such as \"127.0.0.1:9000\"");
    }
    return endpoint.value_or(Endpoint{});
  }
  Duration Microseconds(std::string_view key, Duration fallback) {
    const auto count = std::chrono::duration_cast<std::chrono::microseconds>(fallback).count();
    return std::chrono::microseconds(Number(key, static_cast<std::uint32_t>(count)));
  }
  Duration Milliseconds(std::string_view key, Duration fallback) {
    const auto count = std::chrono::duration_cast<milliseconds>(fallback).count();
    return milliseconds(Number(key, static_cast<std::uint32_t>(count)));
  }
  /// @return false if the table has no such key.
  bool Boolean(std::string_view key) {
    const auto* boolean = table_[key].as_boolean();
    if (boolean == nullptr && table_.contains(key)) {
      AddProblem(key, "true or false");
    }
    return boolean != nullptr && boolean->get();
  }
  std::vector<std::string> Texts(std::string_view key) {
    std::vector<std::string> texts;
    if (const auto* array = table_[key].as_array()) {
      for (const toml::node& element : *array) {
        texts.push_back(element.value_or(std::string()));
      }
    }
    if (texts.empty()) {
      AddProblem(key, "a non-empty list of texts");
    }
    return texts;
  }
  void AddProblem(std::string_view key, std::string_view expected) {
    problems_->push_back(file_ + ":" + std::to_string(table_.source().begin.line) + ": " +
                         std::string(key) + ": expected " + std::string(expected));
  }

 private:
  static constexpr std::int64_t kMaximumNumber = 1LL << 31U;
  const toml::table& table_;
  std::string file_;
  std::vector<std::string>* problems_;
};

DeployedMachine ReadMachine(TableReader reader) {
  DeployedMachine machine;
  machine.name = reader.Text("name");
  machine.address = reader.Text("address");
  if (!IsIpAddress(machine.address)) {
    reader.AddProblem("address", "an IP address");
  }
  machine.zone = reader.Text("zone");
  machine.roles = reader.Texts("roles");
  machine.spare_backup = reader.Boolean("spare_backup");
  return machine;
}

DeployedReplica ReadReplica(TableReader reader) {
  DeployedReplica replica;
  replica.id = reader.Text("id");
  replica.endpoint = reader.Address("endpoint");
  replica.zone = reader.Text("zone");
  replica.backend = reader.Text("backend");
  replica.capacity = reader.Number("capacity", replica.capacity);
  const std::string kind = reader.Text("kind");
  if (kind == "model") {
    replica.kind = proto::BACKEND_KIND_MODEL;
  } else if (kind == "service") {
    replica.kind = proto::BACKEND_KIND_SERVICE;
  } else {
    reader.AddProblem("kind", "\"model\" or \"service\"");
  }
  return replica;
}

BackendBehaviour ReadBehaviour(TableReader reader) {
  BackendBehaviour behaviour;
  behaviour.prefill_per_token =
      reader.Microseconds("prefill_us_per_token", behaviour.prefill_per_token);
  behaviour.decode_step = reader.Microseconds("decode_step_us", behaviour.decode_step);
  behaviour.decode_step_per_call =
      reader.Microseconds("decode_step_us_per_call", behaviour.decode_step_per_call);
  behaviour.load_time = reader.Milliseconds("load_time_ms", behaviour.load_time);
  behaviour.shared_prefix_tokens =
      reader.Number("shared_prefix_tokens", behaviour.shared_prefix_tokens);
  behaviour.prefix_cache_entries =
      reader.Number("prefix_cache_entries", behaviour.prefix_cache_entries);
  behaviour.kv_capacity_tokens = reader.Number("kv_capacity_tokens", behaviour.kv_capacity_tokens);
  behaviour.service_time = reader.Microseconds("service_us", behaviour.service_time);
  return behaviour;
}

void CheckUniqueness(const Deployment& deployment, const std::string& file,
                     std::vector<std::string>* problems) {
  std::set<std::string> names;
  std::set<std::string> addresses;
  for (const DeployedMachine& machine : deployment.machines) {
    if (!names.insert(machine.name).second) {
      problems->push_back(file + ": two machines are named " + machine.name);
    }
    if (!addresses.insert(machine.address).second) {
      problems->push_back(file + ": two machines have the address " + machine.address);
    }
  }
  for (const DeployedReplica& replica : deployment.replicas) {
    if (!names.insert(replica.id).second) {
      problems->push_back(file + ": the name " + replica.id + " of a replica is used twice");
    }
  }
}

void ReadTables(const toml::table& root, const std::string& file, Deployment* deployment,
                std::vector<std::string>* problems) {
  if (const auto* section = root["deployment"].as_table()) {
    TableReader reader(*section, file, problems);
    deployment->name = reader.Text("name");
    deployment->platform_list = reader.Address("platform_list");
    deployment->emulator_admin = reader.Address("emulator_admin");
    deployment->list_lag = reader.Milliseconds("list_lag_ms", deployment->list_lag);
  } else {
    problems->push_back(file + ": the section [deployment] is missing");
  }
  if (const auto* machines = root["machine"].as_array()) {
    for (const toml::node& node : *machines) {
      if (const auto* table = node.as_table()) {
        deployment->machines.push_back(ReadMachine({*table, file, problems}));
      }
    }
  }
  if (const auto* replicas = root["replica"].as_array()) {
    for (const toml::node& node : *replicas) {
      if (const auto* table = node.as_table()) {
        deployment->replicas.push_back(ReadReplica({*table, file, problems}));
      }
    }
  }
  if (const auto* behaviours = root["behaviour"].as_table()) {
    for (const auto& [name, node] : *behaviours) {
      if (const auto* table = node.as_table()) {
        deployment->behaviours[std::string(name.str())] = ReadBehaviour({*table, file, problems});
      }
    }
  }
}

}  // namespace

BackendBehaviour Deployment::BehaviourOf(const std::string& backend) const {
  const auto found = behaviours.find(backend);
  return found == behaviours.end() ? BackendBehaviour{} : found->second;
}

const DeployedMachine* Deployment::FindMachine(const std::string& machine_name) const {
  for (const DeployedMachine& machine : machines) {
    if (machine.name == machine_name) {
      return &machine;
    }
  }
  return nullptr;
}

Result<Deployment> ParseDeployment(std::string_view toml, const std::string& file_name) {
  toml::table root;
  try {
    root = toml::parse(toml, file_name);
  } catch (const toml::parse_error& error) {
    return Status(StatusCode::kInvalidArgument, file_name + ":" +
                                                    std::to_string(error.source().begin.line) +
                                                    ": " + std::string(error.description()));
  }
  Deployment deployment;
  std::vector<std::string> problems;
  ReadTables(root, file_name, &deployment, &problems);
  if (deployment.machines.empty()) {
    problems.push_back(file_name + ": expected at least one [[machine]]");
  }
  CheckUniqueness(deployment, file_name, &problems);
  if (problems.empty()) {
    return deployment;
  }
  std::string message;
  for (const std::string& problem : problems) {
    message += (message.empty() ? "" : "\n") + problem;
  }
  return Status(StatusCode::kInvalidArgument, message);
}

Result<Deployment> LoadDeployment(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return Status(StatusCode::kInvalidArgument, path + ": no readable file");
  }
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  return ParseDeployment(text, path);
}

void MoveToNetwork(const std::string& network, Deployment* deployment) {
  const auto move = [&network](std::string* address) {
    const auto first_dot = address->find('.');
    const auto second_dot = address->find('.', first_dot + 1);
    if (first_dot != std::string::npos && second_dot != std::string::npos) {
      *address = network + address->substr(second_dot);
    }
  };
  move(&deployment->platform_list.host);
  move(&deployment->emulator_admin.host);
  for (DeployedMachine& machine : deployment->machines) {
    move(&machine.address);
  }
  for (DeployedReplica& replica : deployment->replicas) {
    move(&replica.endpoint.host);
  }
}

namespace {

std::int64_t ToMicroseconds(Duration time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

std::int64_t ToMilliseconds(Duration time) {
  return std::chrono::duration_cast<milliseconds>(time).count();
}

toml::table ToToml(const DeployedMachine& machine) {
  toml::array roles;
  for (const std::string& role : machine.roles) {
    roles.push_back(role);
  }
  return toml::table{{"name", machine.name},
                     {"address", machine.address},
                     {"zone", machine.zone},
                     {"roles", std::move(roles)},
                     {"spare_backup", machine.spare_backup}};
}

toml::table ToToml(const DeployedReplica& replica) {
  const bool is_model = replica.kind == proto::BACKEND_KIND_MODEL;
  return toml::table{
      {"id", replica.id},           {"endpoint", replica.endpoint.ToString()},
      {"zone", replica.zone},       {"kind", is_model ? "model" : "service"},
      {"backend", replica.backend}, {"capacity", static_cast<std::int64_t>(replica.capacity)}};
}

toml::table ToToml(const BackendBehaviour& behaviour) {
  return toml::table{{"prefill_us_per_token", ToMicroseconds(behaviour.prefill_per_token)},
                     {"decode_step_us", ToMicroseconds(behaviour.decode_step)},
                     {"decode_step_us_per_call", ToMicroseconds(behaviour.decode_step_per_call)},
                     {"load_time_ms", ToMilliseconds(behaviour.load_time)},
                     {"shared_prefix_tokens", std::int64_t{behaviour.shared_prefix_tokens}},
                     {"prefix_cache_entries", std::int64_t{behaviour.prefix_cache_entries}},
                     {"kv_capacity_tokens", std::int64_t{behaviour.kv_capacity_tokens}},
                     {"service_us", ToMicroseconds(behaviour.service_time)}};
}

template <typename Entries>
toml::array ToTomlArray(const Entries& entries) {
  toml::array array;
  for (const auto& entry : entries) {
    array.push_back(ToToml(entry));
  }
  return array;
}

}  // namespace

std::string PrintDeployment(const Deployment& deployment) {
  toml::table root;
  root.insert("deployment", toml::table{{"name", deployment.name},
                                        {"platform_list", deployment.platform_list.ToString()},
                                        {"emulator_admin", deployment.emulator_admin.ToString()},
                                        {"list_lag_ms", ToMilliseconds(deployment.list_lag)}});
  root.insert("machine", ToTomlArray(deployment.machines));
  root.insert("replica", ToTomlArray(deployment.replicas));
  toml::table behaviours;
  for (const auto& [name, behaviour] : deployment.behaviours) {
    behaviours.insert(name, ToToml(behaviour));
  }
  root.insert("behaviour", std::move(behaviours));
  std::ostringstream text;
  text << root << "\n";
  return text.str();
}

}  // namespace cloverbank
