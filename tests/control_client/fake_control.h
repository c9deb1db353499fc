#pragma once
/// @file
/// A fake coordinator group for tests of nodes: three processes with shared state, one of them the
/// leader. Tests read and set the state directly.

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control_client/node_agent.h"
#include "proto/coordinator.pb.h"
#include "runtime/typed_peer.h"
#include "simulation/simulated_world.h"

namespace cloverbank {

inline constexpr std::uint32_t kFakeLeaseMs = 3000;

/// The state that the three fake coordinators share.
struct FakeControl {
  std::string leader = "c1";
  bool sends_leader_hints = true;  ///< Whether other members name the leader in kNotLeader.
  std::uint64_t next_node_id = 1;
  /// Node id to incarnation. A heartbeat of a node that is not listed is refused as fenced.
  std::map<std::uint64_t, std::uint64_t> live_incarnations;
  std::uint64_t configuration_version = 0;
  /// changes[i] leads from version i to version i + 1.
  std::vector<proto::ConfigurationChange> changes;
  bool skip_one_delta = false;  ///< The next delta starts one version above that of the node.
  std::vector<proto::Endpoint> members;
  proto::FleetUpdate fleet;

  std::vector<proto::RegisterServerRequest> registrations;
  std::vector<proto::HeartbeatRequest> heartbeats;
  std::vector<proto::SubmitTransactionRequest> transactions;
  std::vector<std::string> retired;  ///< Machines; "not " before a cancelled one.
  std::vector<proto::RetireServerRequest> retirements;  ///< All requests, refused ones included.
  /// If not 0, the revision that orders without a version need.
  std::uint64_t revision = 0;
  /// Result of every transaction except the inquiry described below.
  proto::TransactionResult transaction_result;
  /// The current label. If `next_label` is not 0, the next inquiry sets `label` to it, answers that
  /// the transaction may be sent, and resets `next_label` to 0.
  std::uint64_t label = 0;
  std::uint64_t next_label = 0;

  /// Makes a new configuration version that adds the route `name`.
  void AddRoute(const std::string& name) {
    proto::ConfigurationChange change;
    change.mutable_set_route()->set_name(name);
    changes.push_back(change);
    ++configuration_version;
  }
};

/// One fake coordinator process. Only the leader executes requests; others answer kNotLeader.
class FakeCoordinator {
 public:
  FakeCoordinator(Environment& environment, std::string name, FakeControl& control,
                  std::map<std::string, Endpoint> endpoints)
      : environment_(environment),
        name_(std::move(name)),
        control_(control),
        endpoints_(std::move(endpoints)) {
    Serve<proto::RegisterServerRequest, proto::RegisterServerResponse>(
        "coordinator.RegisterServer", [this](const auto& request) { return Register(request); });
    ServeOperators();
    ServePeer<proto::HeartbeatRequest, proto::HeartbeatResponse>(
        environment_, "coordinator.Heartbeat",
        [this](const proto::HeartbeatRequest& request, const std::string&,
               const HeartbeatReply& reply) { ApplyHeartbeat(request, reply); });
  }

 private:
  using HeartbeatReply = std::function<void(Result<proto::HeartbeatResponse>)>;

  template <typename Request, typename Response, typename Handler>
  void Serve(std::string_view method, Handler handler) {
    ServePeer<Request, Response>(environment_, method,
                                 [this, handler](const Request& request, const std::string&,
                                                 std::function<void(Result<Response>)> reply) {
                                   if (control_.leader == name_) {
                                     reply(handler(request));
                                   } else {
                                     reply(NotLeader());
                                   }
                                 });
  }

  void ServeOperators() {
    Serve<proto::SubmitTransactionRequest, proto::SubmitTransactionResponse>(
        "coordinator.SubmitTransaction", [this](const auto& request) {
          control_.transactions.push_back(request);
          if (request.transaction().any_version() &&
              request.guard().revision() != control_.revision) {
            return Result<proto::SubmitTransactionResponse>(StaleRevision());
          }
          proto::SubmitTransactionResponse response;
          if (request.transaction().inquiry() && control_.next_label != 0) {
            control_.label = std::exchange(control_.next_label, 0);
            response.mutable_result()->set_outcome(proto::TRANSACTION_OUTCOME_MAY_BE_SENT);
            return Result<proto::SubmitTransactionResponse>(response);
          }
          *response.mutable_result() = control_.transaction_result;
          return Result<proto::SubmitTransactionResponse>(response);
        });
    Serve<proto::GetConfigurationRequest, proto::GetConfigurationResponse>(
        "coordinator.GetConfiguration", [this](const auto& request) {
          proto::GetConfigurationResponse response;
          response.mutable_configuration()->set_label(control_.label);
          response.mutable_configuration()->mutable_document()->set_source(
              "document " + std::to_string(control_.label));
          response.set_in_force_version(6);
          for (std::uint32_t record = 0; record < request.history(); ++record) {
            response.add_history();
          }
          return Result<proto::GetConfigurationResponse>(response);
        });
    Serve<proto::GetFleetStatusRequest, proto::GetFleetStatusResponse>(
        "coordinator.GetFleetStatus", [](const auto&) {
          proto::GetFleetStatusResponse response;
          response.add_problems("a problem");
          return Result<proto::GetFleetStatusResponse>(response);
        });
    Serve<proto::RetireServerRequest, proto::RetireServerResponse>(
        "coordinator.RetireServer", [this](const auto& request) {
          control_.retirements.push_back(request);
          if (request.has_guard() && request.guard().revision() != control_.revision) {
            return Result<proto::RetireServerResponse>(StaleRevision());
          }
          control_.retired.push_back((request.cancel() ? "not " : "") + request.machine());
          proto::RetireServerResponse response;
          response.add_node_ids(8);
          return Result<proto::RetireServerResponse>(response);
        });
  }

  Status StaleRevision() const {
    return {StatusCode::kStaleEpoch, "a newer order", std::to_string(control_.revision)};
  }

  Status NotLeader() const {
    const auto leader = endpoints_.find(control_.leader);
    const bool known = control_.sends_leader_hints && leader != endpoints_.end();
    return {StatusCode::kNotLeader, "this coordinator is not the leader",
            known ? leader->second.ToString() : ""};
  }

  Result<proto::RegisterServerResponse> Register(const proto::RegisterServerRequest& request) {
    control_.registrations.push_back(request);
    proto::RegisterServerResponse response;
    response.set_node_id(control_.next_node_id++);
    response.set_partition_count(12);
    control_.live_incarnations[response.node_id()] = request.server().incarnation();
    return response;
  }

  bool IsBehind(const proto::HeartbeatRequest& request) const {
    return request.configuration_version() != control_.configuration_version ||
           request.fleet_version() != control_.fleet.to_version();
  }

  void ApplyHeartbeat(const proto::HeartbeatRequest& request, const HeartbeatReply& reply) {
    if (control_.leader != name_) {
      reply(NotLeader());
      return;
    }
    control_.heartbeats.push_back(request);
    WaitForUpdate(request, environment_.Now() + milliseconds(request.hold_ms()), reply);
  }

  /// Answers `request` once there is an update or the time `until` has come, or with kFenced if the
  /// node is not registered.
  void WaitForUpdate(const proto::HeartbeatRequest& request, TimePoint until,
                     const HeartbeatReply& reply) {
    if (!control_.live_incarnations.contains(request.node_id())) {
      reply(Status(StatusCode::kFenced,
                   "node " + std::to_string(request.node_id()) + " is declared dead"));
    } else if (IsBehind(request) || environment_.Now() >= until) {
      reply(MakeResponse(request));
    } else {
      environment_.ScheduleAfter(
          milliseconds(5), [this, request, until, reply] { WaitForUpdate(request, until, reply); });
    }
  }

  proto::HeartbeatResponse MakeResponse(const proto::HeartbeatRequest& request) {
    proto::HeartbeatResponse response;
    response.set_lease_ms(kFakeLeaseMs);
    if (request.configuration_version() != control_.configuration_version) {
      *response.mutable_configuration() = MakeUpdate(request.configuration_version());
    }
    if (request.fleet_version() != control_.fleet.to_version()) {
      *response.mutable_fleet() = control_.fleet;
    }
    for (const proto::Endpoint& member : control_.members) {
      *response.add_coordinators() = member;
    }
    return response;
  }

  /// @return the full configuration if `known_version` is 0 or too high, else a delta.
  proto::ConfigurationUpdate MakeUpdate(std::uint64_t known_version) {
    proto::ConfigurationUpdate update;
    update.set_to_version(control_.configuration_version);
    if (known_version == 0 || known_version > control_.configuration_version) {
      proto::RoutingConfiguration& full = *update.mutable_full();
      full.set_version(control_.configuration_version);
      for (const proto::ConfigurationChange& change : control_.changes) {
        *full.add_routes() = change.set_route();
      }
      return update;
    }
    const std::uint64_t from = known_version + (control_.skip_one_delta ? 1 : 0);
    control_.skip_one_delta = false;
    update.set_from_version(from);
    for (std::uint64_t version = from; version < control_.configuration_version; ++version) {
      *update.add_changes() = control_.changes[version];
    }
    return update;
  }

  Environment& environment_;
  std::string name_;
  FakeControl& control_;
  std::map<std::string, Endpoint> endpoints_;
};

/// Adds the machines c1, c2 and c3 to `world` and starts a fake coordinator on each.
/// @return their endpoints, in this order.
inline std::vector<Endpoint> AddFakeCoordinators(SimulatedWorld& world, FakeControl& control) {
  std::map<std::string, Endpoint> endpoints;
  std::vector<Endpoint> list;
  for (const std::string name : {"c1", "c2", "c3"}) {
    list.push_back(world.AddMachine(name, "10.0.1." + name.substr(1)).endpoint());
    endpoints[name] = list.back();
  }
  for (const std::string name : {"c1", "c2", "c3"}) {
    world.machine(name).SetProgram(
        [&control, name, endpoints](Environment& environment, DataFolder&) {
          return std::make_shared<FakeCoordinator>(environment, name, control, endpoints);
        });
    world.machine(name).Start();
  }
  return list;
}

/// Starts the fake coordinators and a gateway on the machine "g", and waits until it has a lease.
/// @param Node has a member `agent`, a NodeAgent that it starts.
/// @param node set at each start of the machine.
template <typename Node>
void StartGateway(SimulatedWorld& world, FakeControl& control, Node** node) {
  NodeAgentOptions options;
  options.role = proto::ROLE_GATEWAY;
  options.coordinators = AddFakeCoordinators(world, control);
  SimulatedMachine& machine = world.AddMachine("g", "10.0.0.1");
  machine.SetProgram([node, options](Environment& environment, DataFolder&) {
    auto created = std::make_shared<Node>(environment, options);
    *node = created.get();
    return created;
  });
  machine.Start();
  world.RunUntil([node] { return (*node)->agent.HasValidLease(); }, seconds(5));
}

}  // namespace cloverbank
