#include "control_state/transaction_validator.h"

#include <algorithm>
#include <compare>
#include <map>
#include <optional>
#include <set>

namespace cloverbank {
namespace {

constexpr std::uint32_t kMaximumPercent = 100;

bool IsNameCharacter(char character) {
  const bool letter =
      (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
  const bool digit = character >= '0' && character <= '9';
  return letter || digit || character == '-' || character == '_' || character == '.' ||
         character == ':';
}

/// @return what is wrong with the name of an object, if anything.
std::optional<std::string> FindNameProblem(const std::string& name) {
  if (name.empty()) {
    return "the name is empty; give it one";
  }
  if (name.size() > kMaximumNameBytes) {
    return "the name is longer than " + std::to_string(kMaximumNameBytes) + " bytes; shorten it";
  }
  if (!std::all_of(name.begin(), name.end(), IsNameCharacter)) {
    return "the name may hold only letters, digits, '-', '_', '.' and ':'";
  }
  return std::nullopt;
}

/// The parts of a request that select an HTTP route.
struct HttpLocation {
  std::string host;
  std::string path_prefix;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the 0 in `a < b`.
  auto operator<=>(const HttpLocation&) const = default;
};

/// Validates the changes of one transaction and collects the problems.
class ChangeValidator {
 public:
  ChangeValidator(const ConfigurationObjects& current,
                  const proto::ConfigurationTransaction& transaction)
      : current_(current), transaction_(transaction) {}

  /// Call it once. @return all problems.
  std::vector<std::string> Run();

 private:
  void AddProblem(const ConfigurationObjectKey& key, const std::string& problem);
  /// Computes the zones, routes and back ends that the transaction would leave.
  void BuildResultingObjects();
  void ApplyToResultingObjects(const proto::ConfigurationChange& change);
  void CheckChange(int index, const proto::ConfigurationChange& change);
  /// Requires that no earlier change sets or removes the object of `key`.
  void CheckUnique(int index, const ConfigurationObjectKey& key);
  void CheckName(const ConfigurationObjectKey& key);
  void CheckObject(const proto::ConfigurationChange& change, const ConfigurationObjectKey& key);
  void CheckRoute(const proto::Route& route, const ConfigurationObjectKey& key);
  void CheckHttpRoute(const proto::Route& route, const ConfigurationObjectKey& key);
  void CheckRouteZones(const proto::Route& route, const ConfigurationObjectKey& key);
  /// Requires that no two HTTP routes have the same host and path prefix.
  void CheckHttpLocations();
  void CheckZone(const proto::Zone& zone, const ConfigurationObjectKey& key);
  void CheckBatch(const proto::BatchSettings& batch, const ConfigurationObjectKey& key);
  /// Requires that no resulting route names a removed zone.
  void CheckRemovedZones();
  /// Requires that an open zone remains if there is one now and routes remain.
  void CheckOpenZones();
  /// Requires that `objects` has the object to be removed.
  template <typename Map>
  void CheckRemoval(const Map& objects, const ConfigurationObjectKey& key);

  const ConfigurationObjects& current_;
  const proto::ConfigurationTransaction& transaction_;
  /// The objects as the transaction would leave them. Tenants are not needed: they refer to no
  /// other objects.
  std::map<std::string, proto::Zone> zones_;
  std::map<std::string, proto::Route> routes_;
  std::set<std::string> backends_;
  std::map<ConfigurationObjectKey, int> first_change_;  ///< Index of an object's first change.
  std::vector<std::string> problems_;
  std::size_t omitted_problems_ = 0;
};

std::vector<std::string> ChangeValidator::Run() {
  BuildResultingObjects();
  for (int index = 0; index < transaction_.changes_size(); ++index) {
    CheckChange(index, transaction_.changes(index));
  }
  CheckHttpLocations();
  CheckRemovedZones();
  CheckOpenZones();
  if (omitted_problems_ > 0) {
    problems_.push_back("and " + std::to_string(omitted_problems_) + " more problems");
  }
  return std::move(problems_);
}

void ChangeValidator::AddProblem(const ConfigurationObjectKey& key, const std::string& problem) {
  if (problems_.size() >= kMaximumProblems) {
    ++omitted_problems_;
    return;
  }
  problems_.push_back(key.ToString() + ": " + problem);
}

void ChangeValidator::BuildResultingObjects() {
  zones_ = current_.zones;
  if (!transaction_.replaces_traffic()) {
    routes_ = current_.routes;
    for (const auto& [name, backend] : current_.backends) {
      backends_.insert(name);
    }
  }
  for (const proto::ConfigurationChange& change : transaction_.changes()) {
    ApplyToResultingObjects(change);
  }
}

void ChangeValidator::ApplyToResultingObjects(const proto::ConfigurationChange& change) {
  switch (change.change_case()) {
    case proto::ConfigurationChange::kSetZone:
      zones_[change.set_zone().name()] = change.set_zone();
      return;
    case proto::ConfigurationChange::kEnsureZone:
      zones_.emplace(change.ensure_zone().name(), change.ensure_zone());
      return;
    case proto::ConfigurationChange::kRemoveZone:
      zones_.erase(change.remove_zone());
      return;
    case proto::ConfigurationChange::kSetRoute:
      routes_[change.set_route().name()] = change.set_route();
      return;
    case proto::ConfigurationChange::kRemoveRoute:
      routes_.erase(change.remove_route());
      return;
    case proto::ConfigurationChange::kSetBackend:
      backends_.insert(change.set_backend().name());
      return;
    case proto::ConfigurationChange::kRemoveBackend:
      backends_.erase(change.remove_backend());
      return;
    default:
      return;
  }
}

void ChangeValidator::CheckChange(int index, const proto::ConfigurationChange& change) {
  const ConfigurationObjectKey key = ObjectKeyFor(change);
  if (key.kind == ConfigurationObjectKind::kNone) {
    AddProblem(key,
               "change " + std::to_string(index + 1) + " sets and removes nothing; leave it out");
    return;
  }
  CheckUnique(index, key);
  CheckName(key);
  CheckObject(change, key);
}

void ChangeValidator::CheckUnique(int index, const ConfigurationObjectKey& key) {
  const auto [existing, inserted] = first_change_.emplace(key, index);
  if (!inserted) {
    AddProblem(key, "changed twice, by changes " + std::to_string(existing->second + 1) + " and " +
                        std::to_string(index + 1) + "; keep one");
  }
}

void ChangeValidator::CheckName(const ConfigurationObjectKey& key) {
  const bool has_name =
      key.kind != ConfigurationObjectKind::kBatch && key.kind != ConfigurationObjectKind::kDocument;
  if (const auto problem = FindNameProblem(key.name); has_name && problem.has_value()) {
    AddProblem(key, *problem);
  }
}

void ChangeValidator::CheckObject(const proto::ConfigurationChange& change,
                                  const ConfigurationObjectKey& key) {
  switch (change.change_case()) {
    case proto::ConfigurationChange::kSetRoute:
      return CheckRoute(change.set_route(), key);
    case proto::ConfigurationChange::kSetZone:
      return CheckZone(change.set_zone(), key);
    case proto::ConfigurationChange::kSetBatch:
      return CheckBatch(change.set_batch(), key);
    case proto::ConfigurationChange::kRemoveRoute:
      return CheckRemoval(current_.routes, key);
    case proto::ConfigurationChange::kRemoveZone:
      return CheckRemoval(current_.zones, key);
    case proto::ConfigurationChange::kRemoveTenant:
      return CheckRemoval(current_.tenants, key);
    case proto::ConfigurationChange::kEnsureZone:
      return CheckZone(change.ensure_zone(), key);
    case proto::ConfigurationChange::kRemoveBackend:
      return CheckRemoval(current_.backends, key);
    case proto::ConfigurationChange::kSetTenant:
    case proto::ConfigurationChange::kSetBackend:
    case proto::ConfigurationChange::kSetDocument:
    case proto::ConfigurationChange::CHANGE_NOT_SET:
      return;
  }
}

template <typename Map>
void ChangeValidator::CheckRemoval(const Map& objects, const ConfigurationObjectKey& key) {
  if (!key.name.empty() && !objects.contains(key.name)) {
    AddProblem(key, "can not be removed, there is none of this name");
  }
}

/// A request selects an HTTP route by host and path, and the back ends of the route must be objects
/// of the configuration.
void ChangeValidator::CheckHttpRoute(const proto::Route& route, const ConfigurationObjectKey& key) {
  if (route.host().empty() || route.path_prefix().empty()) {
    AddProblem(key, "host or path_prefix is empty; give both, so that requests find the route");
  }
  std::uint64_t weight_sum = 0;
  for (const proto::WeightedBackend& weighted_backend : route.split()) {
    weight_sum += weighted_backend.weight();
    if (!backends_.contains(weighted_backend.backend())) {
      AddProblem(key, "names the unknown backend \"" + weighted_backend.backend() + "\"");
    }
  }
  if (route.split_size() > 0 && weight_sum == 0) {
    AddProblem(key, "the weights of split sum to 0; give at least one back end a share");
  }
  if (route.split_size() == 0 && !backends_.contains(route.backend())) {
    AddProblem(key, "names the unknown backend \"" + route.backend() + "\"");
  }
}

void ChangeValidator::CheckHttpLocations() {
  std::map<HttpLocation, std::string> route_by_location;
  for (const auto& [name, route] : routes_) {
    if (route.backend_kind() != proto::BACKEND_KIND_HTTP) {
      continue;
    }
    const auto [existing, inserted] =
        route_by_location.emplace(HttpLocation{route.host(), route.path_prefix()}, name);
    if (!inserted) {
      AddProblem({ConfigurationObjectKind::kRoute, name},
                 "has the same host and path_prefix as route \"" + existing->second + "\"");
    }
  }
}

void ChangeValidator::CheckRoute(const proto::Route& route, const ConfigurationObjectKey& key) {
  const bool http = route.backend_kind() == proto::BACKEND_KIND_HTTP;
  if (!http && route.backend_kind() != proto::BACKEND_KIND_MODEL &&
      route.backend_kind() != proto::BACKEND_KIND_SERVICE) {
    AddProblem(key,
               "unknown backend_kind; use BACKEND_KIND_MODEL, BACKEND_KIND_SERVICE or "
               "BACKEND_KIND_HTTP");
  }
  if (http) {
    CheckHttpRoute(route, key);
  } else if (route.backend().empty()) {
    AddProblem(key, "backend is empty; name the model or service that serves it");
  } else if (route.backend().size() > kMaximumNameBytes) {
    AddProblem(
        key, "backend is longer than " + std::to_string(kMaximumNameBytes) + " bytes; shorten it");
  }
  if (!proto::Priority_IsValid(route.priority())) {
    AddProblem(key,
               "unknown priority; use PRIORITY_INTERACTIVE, PRIORITY_STANDARD or PRIORITY_BATCH");
  }
  if (route.deadline_ms() == 0) {
    AddProblem(key, "deadline_ms is 0; give the longest time a call may take, in milliseconds");
  } else if (route.deadline_ms() > kMaximumDeadlineMs) {
    AddProblem(key, "deadline_ms is over a day; at most " + std::to_string(kMaximumDeadlineMs));
  }
  CheckRouteZones(route, key);
}

void ChangeValidator::CheckRouteZones(const proto::Route& route,
                                      const ConfigurationObjectKey& key) {
  std::set<std::string> listed;
  for (const std::string& zone : route.zones()) {
    if (!listed.insert(zone).second) {
      AddProblem(key, "names zone \"" + zone + "\" twice; keep one");
    } else if (!zones_.contains(zone) && !current_.zones.contains(zone)) {
      // `CheckRemovedZones` reports a zone that this transaction removes; report it only once.
      AddProblem(key,
                 "names the unknown zone \"" + zone + "\"; set the zone in the same transaction");
    }
  }
}

void ChangeValidator::CheckZone(const proto::Zone& zone, const ConfigurationObjectKey& key) {
  if (zone.state() != proto::ZONE_STATE_OPEN && zone.state() != proto::ZONE_STATE_DRAINED) {
    AddProblem(key, "unknown state; use ZONE_STATE_OPEN or ZONE_STATE_DRAINED");
  }
}

void ChangeValidator::CheckBatch(const proto::BatchSettings& batch,
                                 const ConfigurationObjectKey& key) {
  if (batch.live_headroom_percent() > kMaximumPercent) {
    AddProblem(key, "live_headroom_percent is " + std::to_string(batch.live_headroom_percent()) +
                        "; use 1 to 100, or 0 for the default");
  }
}

void ChangeValidator::CheckRemovedZones() {
  for (const auto& [key, index] : first_change_) {
    const bool removed = key.kind == ConfigurationObjectKind::kZone &&
                         current_.zones.contains(key.name) && !zones_.contains(key.name);
    if (!removed) {
      continue;
    }
    for (const auto& [name, route] : routes_) {
      const auto& route_zones = route.zones();
      if (std::find(route_zones.begin(), route_zones.end(), key.name) != route_zones.end()) {
        AddProblem(key, "can not be removed while route \"" + name +
                            "\" names it; take it out of the route in the same transaction");
      }
    }
  }
}

void ChangeValidator::CheckOpenZones() {
  const auto is_open = [](const auto& entry) {
    return entry.second.state() == proto::ZONE_STATE_OPEN;
  };
  const bool had_open_zone = std::any_of(current_.zones.begin(), current_.zones.end(), is_open);
  const bool has_open_zone = std::any_of(zones_.begin(), zones_.end(), is_open);
  if (had_open_zone && !has_open_zone && !routes_.empty()) {
    const auto open_zone = std::find_if(current_.zones.begin(), current_.zones.end(), is_open);
    AddProblem(
        {ConfigurationObjectKind::kZone, open_zone->first},
        "no open zone would be left to serve the routes; open another in the same transaction");
  }
}

}  // namespace

std::vector<std::string> CheckOperationId(const proto::ConfigurationTransaction& transaction) {
  std::vector<std::string> problems;
  if (transaction.operation_id().empty()) {
    problems.emplace_back(
        "operation_id is empty; choose one, so that a resent transaction gets its first answer");
  }
  if (transaction.operation_id().size() > kMaximumNameBytes) {
    problems.push_back("operation_id is longer than " + std::to_string(kMaximumNameBytes) +
                       " bytes; shorten it");
  }
  return problems;
}

std::vector<std::string> CheckEnvelope(const proto::ConfigurationTransaction& transaction) {
  std::vector<std::string> problems;
  if (transaction.author().size() > kMaximumCommentBytes ||
      transaction.comment().size() > kMaximumCommentBytes) {
    problems.push_back("author or comment is longer than " + std::to_string(kMaximumCommentBytes) +
                       " bytes; shorten it");
  }
  const bool requires_version = transaction.label() == 0 && !transaction.any_version();
  if (requires_version && transaction.expected_version() == 0) {
    problems.emplace_back(
        "expected_version is missing; name the configuration version the changes were made "
        "against");
  }
  if (transaction.changes().empty()) {
    problems.emplace_back("changes is empty; give at least one change");
  }
  if (transaction.changes_size() > kMaximumChanges) {
    problems.push_back("more than " + std::to_string(kMaximumChanges) +
                       " changes; split the transaction");
  }
  return problems;
}

std::vector<std::string> CheckChanges(const ConfigurationObjects& current,
                                      const proto::ConfigurationTransaction& transaction) {
  return ChangeValidator(current, transaction).Run();
}

}  // namespace cloverbank
