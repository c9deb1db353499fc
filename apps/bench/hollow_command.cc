#include "bench/hollow_command.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>

#include "base/logging.h"
#include "bench/hollow_nodes.h"
#include "bench/linear_fit.h"
#include "bench/process_usage.h"
#include "fleet/fleet.h"

namespace cloverbank {
namespace {

constexpr std::uint16_t kPeerPort = 7401;
constexpr std::uint32_t kDesignNodes = 350;
constexpr std::uint32_t kDesignTenants = 22000;
constexpr std::uint32_t kTenantsPerTransaction = 500;
constexpr Duration kSettlingTimeout = seconds(60);
constexpr Duration kChangeTimeout = seconds(20);
constexpr double kMegabyte = 1024 * 1024;
constexpr double kKilobyte = 1024;
constexpr double kPercent = 100;

struct NodePoint {
  double nodes = 0;
  double leader_core_percent = 0;
  double leader_megabytes = 0;
  double node_core_percent = 0;
  double node_kilobytes_per_second = 0;
  double hollow_megabytes = 0;
  double in_force_p50_ms = 0;
  double in_force_worst_ms = 0;
};

struct TenantPoint {
  double tenants = 0;
  double leader_megabytes = 0;
  double configuration_kilobytes = 0;
  double in_force_p50_ms = 0;
};

Deployment ControlDeployment() {
  Deployment deployment;
  deployment.name = "hollow";
  deployment.platform_list = {"127.40.9.1", 9000};
  deployment.emulator_admin = {"127.40.9.1", 9001};
  for (int index = 1; index <= 3; ++index) {
    DeployedMachine machine;
    machine.name = "coordinator-" + std::to_string(index);
    machine.address = "127.40.0." + std::to_string(index);
    machine.zone = "a";
    machine.roles = {"coordinator"};
    deployment.machines.push_back(machine);
  }
  return deployment;
}

double Seconds(Duration time) { return std::chrono::duration<double>(time).count(); }

/// Measures a running coordinator group.
class HollowRun {
 public:
  HollowRun(Fleet& fleet, HollowNodes& nodes, const HollowArguments& arguments)
      : fleet_(fleet), nodes_(nodes), arguments_(arguments) {}

  bool MeasureNodes(std::uint32_t count, NodePoint* point);
  bool MeasureTenants(std::uint32_t count, TenantPoint* point);

 private:
  int LeaderPid() const;
  /// Submits one transaction and waits until every node has its version. @return the time that
  /// took; nothing, after printing the reason, if the transaction failed or a node lacks the
  /// version.
  std::optional<Duration> Submit(proto::ConfigurationTransaction transaction);
  std::vector<double> TimeChanges();
  proto::ConfigurationTransaction SmallChange();

  Fleet& fleet_;
  HollowNodes& nodes_;
  const HollowArguments& arguments_;
  std::uint64_t operations_ = 0;
  std::uint32_t tenants_ = 0;
};

int HollowRun::LeaderPid() const {
  const auto coordinators = nodes_.first().coordinators();
  for (const DeployedMachine& machine : fleet_.deployment().machines) {
    if (!coordinators.empty() && machine.address == coordinators.front().host) {
      return fleet_.folder().RunningPid(machine.name).value_or(0);
    }
  }
  return 0;
}

std::optional<Duration> HollowRun::Submit(proto::ConfigurationTransaction transaction) {
  transaction.set_operation_id("hollow-" + std::to_string(++operations_));
  transaction.set_expected_version(nodes_.first().configuration().version());
  proto::SubmitTransactionRequest request;
  *request.mutable_transaction() = std::move(transaction);
  const TimePoint begin = EventLoop::Now();
  bool answered = false;
  bool applied = false;
  std::uint64_t version = 0;
  std::string refusal;
  nodes_.first().CallLeader<proto::SubmitTransactionResponse>(
      "coordinator.SubmitTransaction", request, kChangeTimeout,
      [&](Result<proto::SubmitTransactionResponse> response) {
        answered = true;
        applied =
            response.ok() && response->result().outcome() == proto::TRANSACTION_OUTCOME_APPLIED;
        version = response.ok() ? response->result().version() : 0;
        refusal =
            response.ok() ? response->result().ShortDebugString() : response.status().ToString();
      });
  nodes_.RunUntil([&] { return answered; }, kChangeTimeout + seconds(1));
  if (!applied) {
    std::printf("the coordinators did not apply a change: %s\n", refusal.c_str());
    return std::nullopt;
  }
  // The acknowledgement doesn't wait for nodes whose lease expired; this measurement does.
  if (!nodes_.RunUntil([&] { return nodes_.CountAtVersion(version) == nodes_.size(); },
                       kSettlingTimeout)) {
    std::printf("only %zu of %zu nodes hold the changed configuration\n",
                nodes_.CountAtVersion(version), nodes_.size());
    return std::nullopt;
  }
  return EventLoop::Now() - begin;
}

proto::ConfigurationTransaction HollowRun::SmallChange() {
  proto::ConfigurationTransaction transaction;
  proto::Tenant* tenant = transaction.add_changes()->mutable_set_tenant();
  tenant->set_name("changing");
  tenant->set_batch_weight(static_cast<std::uint32_t>(operations_ % 100) + 1);
  return transaction;
}

std::vector<double> HollowRun::TimeChanges() {
  std::vector<double> times;
  for (std::uint32_t index = 0; index < arguments_.changes; ++index) {
    if (const auto time = Submit(SmallChange())) {
      times.push_back(Seconds(*time) * 1000);
    }
  }
  std::sort(times.begin(), times.end());
  return times;
}

bool HollowRun::MeasureNodes(std::uint32_t count, NodePoint* point) {
  nodes_.Grow(count);
  if (!nodes_.RunUntil([&] { return nodes_.LeasedCount() == count; }, kSettlingTimeout)) {
    std::printf("only %zu of %u nodes hold a lease\n", nodes_.LeasedCount(), count);
    return false;
  }
  nodes_.RunFor(seconds(2));
  const int leader = LeaderPid();
  const ProcessUsage leader_before = ReadProcessUsage(leader);
  const ProcessUsage own_before = ReadProcessUsage(0);
  const TrafficCount traffic_before = nodes_.traffic();
  const TimePoint begin = EventLoop::Now();
  nodes_.RunFor(seconds(arguments_.sample_seconds));
  const double time = Seconds(EventLoop::Now() - begin);
  const ProcessUsage leader_after = ReadProcessUsage(leader);
  const ProcessUsage own_after = ReadProcessUsage(0);
  const TrafficCount& traffic = nodes_.traffic();
  const double bytes =
      static_cast<double>(traffic.sent_bytes + traffic.received_bytes - traffic_before.sent_bytes -
                          traffic_before.received_bytes);
  point->nodes = count;
  point->leader_core_percent =
      Seconds(leader_after.processor - leader_before.processor) / time * kPercent;
  point->leader_megabytes = static_cast<double>(leader_after.resident_bytes) / kMegabyte;
  point->node_core_percent =
      Seconds(own_after.processor - own_before.processor) / time / count * kPercent;
  point->node_kilobytes_per_second = bytes / time / count / kKilobyte;
  point->hollow_megabytes = static_cast<double>(own_after.resident_bytes) / kMegabyte;
  const std::vector<double> times = TimeChanges();
  if (times.size() != arguments_.changes || nodes_.LeasedCount() != count) {
    std::printf("only %zu of %u changes came into force everywhere, or a node lost its lease\n",
                times.size(), arguments_.changes);
    return false;
  }
  point->in_force_p50_ms = times[times.size() / 2];
  point->in_force_worst_ms = times.back();
  return true;
}

bool HollowRun::MeasureTenants(std::uint32_t count, TenantPoint* point) {
  while (tenants_ < count) {
    proto::ConfigurationTransaction transaction;
    for (std::uint32_t added = 0; added < kTenantsPerTransaction && tenants_ < count; ++added) {
      proto::Tenant* tenant = transaction.add_changes()->mutable_set_tenant();
      tenant->set_name("tenant-" + std::to_string(tenants_++));
      tenant->set_calls_per_second(50);
      tenant->set_max_open_items(1'000'000);
      tenant->set_batch_weight(1);
    }
    if (!Submit(std::move(transaction))) {
      return false;
    }
  }
  const std::vector<double> times = TimeChanges();
  if (times.size() != arguments_.changes) {
    return false;
  }
  point->tenants = count;
  point->leader_megabytes =
      static_cast<double>(ReadProcessUsage(LeaderPid()).resident_bytes) / kMegabyte;
  point->configuration_kilobytes =
      static_cast<double>(nodes_.first().configuration().ByteSizeLong()) / kKilobyte;
  point->in_force_p50_ms = times[times.size() / 2];
  return true;
}

/// A measured quantity: its name in the table and the member of the point that holds it.
template <typename Point>
struct Quantity {
  const char* name;
  double Point::*value;
};

constexpr Quantity<NodePoint> kNodeQuantities[] = {
    {"leader, % of a core", &NodePoint::leader_core_percent},
    {"leader, MB resident", &NodePoint::leader_megabytes},
    {"a node, % of a core", &NodePoint::node_core_percent},
    {"a node, KB/s both ways", &NodePoint::node_kilobytes_per_second},
    {"all hollow nodes, MB resident", &NodePoint::hollow_megabytes},
    {"change in force everywhere, p50 ms", &NodePoint::in_force_p50_ms},
    {"change in force everywhere, slowest ms", &NodePoint::in_force_worst_ms}};
constexpr Quantity<TenantPoint> kTenantQuantities[] = {
    {"leader, MB resident", &TenantPoint::leader_megabytes},
    {"configuration, KB", &TenantPoint::configuration_kilobytes},
    {"change in force everywhere, p50 ms", &TenantPoint::in_force_p50_ms}};

std::string Number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, value < 1 ? "%.3f" : "%.1f", value);
  return text;
}

template <typename Point, std::size_t kCount>
std::string Table(const char* size_name, const std::vector<Point>& points, double Point::*size,
                  const Quantity<Point> (&quantities)[kCount], std::uint32_t design_size) {
  std::string text = std::string("| ") + size_name;
  for (const Point& point : points) {
    text += " | " + std::to_string(static_cast<int>(point.*size));
  }
  text += " | slope for each 100 | worst residual | line at " + std::to_string(design_size) +
          " |\n|---";
  for (std::size_t column = 0; column < points.size() + 3; ++column) {
    text += "|---";
  }
  text += "|\n";
  for (const Quantity<Point>& quantity : quantities) {
    std::vector<std::pair<double, double>> fitted;
    text += std::string("| ") + quantity.name;
    for (const Point& point : points) {
      text += " | " + Number(point.*quantity.value);
      fitted.emplace_back(point.*size, point.*quantity.value);
    }
    const LinearFit fit = FitLine(fitted);
    text += " | " + Number(fit.slope * 100) + " | " + Number(fit.worst_residual * kPercent) +
            " % | " + Number(fit.At(design_size)) + " |\n";
  }
  return text;
}

}  // namespace

int RunHollow(const HollowArguments& arguments) {
  LoggingOptions logging;
  logging.level = LogLevel::kError;
  ConfigureLogging(logging);
  const RunFolder folder(arguments.run_folder);
  Fleet({}, folder, {}).StopAll(seconds(5));
  std::error_code ignored;
  std::filesystem::remove_all(arguments.run_folder, ignored);
  const std::string programs = std::filesystem::canonical("/proc/self/exe").parent_path().string();
  Fleet fleet(ControlDeployment(), folder, programs);
  if (Status status = fleet.StartMachines(); !status.ok()) {
    std::fprintf(stderr, "cloverbank-bench: %s\n", status.ToString().c_str());
    return 1;
  }
  std::vector<Endpoint> coordinators;
  for (const DeployedMachine& machine : fleet.deployment().machines) {
    coordinators.push_back({machine.address, kPeerPort});
  }
  HollowNodes nodes(coordinators, arguments.node_counts.back());
  HollowRun run(fleet, nodes, arguments);
  std::vector<NodePoint> node_points;
  std::vector<TenantPoint> tenant_points;
  bool complete = true;
  for (const std::uint32_t count : arguments.node_counts) {
    node_points.emplace_back();
    complete = complete && run.MeasureNodes(count, &node_points.back());
  }
  for (const std::uint32_t count : arguments.tenant_counts) {
    tenant_points.emplace_back();
    complete = complete && run.MeasureTenants(count, &tenant_points.back());
  }
  fleet.StopAll(seconds(5));
  if (!complete) {
    std::fprintf(stderr, "cloverbank-bench: the run did not complete; no table was written\n");
    return 1;
  }
  const std::string tables =
      Table("nodes", node_points, &NodePoint::nodes, kNodeQuantities, kDesignNodes) + "\n" +
      Table("tenants", tenant_points, &TenantPoint::tenants, kTenantQuantities, kDesignTenants);
  std::printf("%s", tables.c_str());
  if (!arguments.tables.empty()) {
    std::ofstream(arguments.tables) << tables;
  }
  return 0;
}

}  // namespace cloverbank
