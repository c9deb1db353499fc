/// @file
/// The commands status and store retire.

#include <cstdio>
#include <memory>

#include "cloverbank/commands.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {
namespace {

void PrintFleet(const proto::GetFleetStatusResponse& status) {
  std::printf("configuration version %llu, in force %llu\n",
              static_cast<unsigned long long>(status.configuration_version()),
              static_cast<unsigned long long>(status.in_force_version()));
  for (const proto::CoordinatorMember& member : status.coordinators()) {
    std::printf("coordinator %s:%u%s%s\n", member.endpoint().host().c_str(),
                member.endpoint().port(), member.leader() ? " leader" : "",
                member.learner() ? " learner" : "");
  }
  for (const proto::Server& server : status.servers()) {
    if (server.state() == proto::SERVER_STATE_DEAD) {
      continue;
    }
    int partitions = 0;
    for (const proto::Partition& partition : status.partitions()) {
      partitions += partition.owner() == server.node_id() ? 1 : 0;
    }
    std::printf("%-16s node %-5llu %-8s zone %-4s %s%s", server.machine().c_str(),
                static_cast<unsigned long long>(server.node_id()),
                proto::Role_Name(server.role()).substr(sizeof("ROLE")).c_str(),
                server.zone().c_str(),
                server.state() == proto::SERVER_STATE_RETIRING ? "retiring" : "up",
                server.spare() ? " spare" : "");
    std::printf(partitions > 0 ? " %d partitions\n" : "\n", partitions);
  }
  for (const proto::Recovery& recovery : status.recoveries()) {
    std::printf(
        "recovery of node %llu: %s %s\n", static_cast<unsigned long long>(recovery.dead_node_id()),
        proto::RecoveryPhase_Name(recovery.phase()).c_str(), recovery.waiting_for().c_str());
  }
  for (const std::string& problem : status.problems()) {
    std::printf("! %s\n", problem.c_str());
  }
}

int ShowFleet(CommandContext& context) {
  ApiClient client = context.MakeClient();
  proto::GetFleetStatusResponse status;
  ApiError error;
  if (!client.Call("GET", "/v1/status", {}, Repeat::kSafe, &status, &error)) {
    return PrintError(error);
  }
  if (context.output == OutputForm::kJson) {
    PrintJson(status);
  } else {
    PrintFleet(status);
  }
  return kExitOk;
}

int Retire(CommandContext& context, const std::string& machine) {
  ApiClient client = context.MakeClient();
  proto::RetireServerResponse response;
  ApiError error;
  if (!client.Call("POST", "/v1/stores/" + machine + "/retire", {}, Repeat::kSafe, &response,
                   &error)) {
    return PrintError(error);
  }
  std::printf("%s accepts no new work and is being emptied; see cloverbank status\n",
              machine.c_str());
  return kExitOk;
}

}  // namespace

void AddFleetCommands(CLI::App& app, CommandContext& context, int& exit_code) {
  app.add_subcommand("status", "Show the whole fleet: what is up, what is degraded, what to do")
      ->callback([&] { exit_code = ShowFleet(context); });
  auto* store = app.add_subcommand("store", "Manage store machines");
  store->require_subcommand(1);
  auto machine = std::make_shared<std::string>();
  auto* retire = store->add_subcommand("retire", "Empty a store machine");
  retire->add_option("machine", *machine)->required();
  retire->callback([&, machine] { exit_code = Retire(context, *machine); });
}

}  // namespace cloverbank
