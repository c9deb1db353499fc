/// @file
/// The commands config get|apply|history and zone drain|open.

#include <cstdio>
#include <memory>

#include "cloverbank/commands.h"
#include "json/json.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {
namespace {

constexpr const char* kTransactionsPath = "/v1/config/transactions";

int SendTransaction(CommandContext& context, const proto::ConfigurationTransaction& transaction) {
  ApiClient client = context.MakeClient();
  proto::TransactionResult result;
  ApiError error;
  // The operation id makes it safe to send the transaction again after a lost response.
  if (!client.Call("POST", kTransactionsPath, ToJson(transaction), Repeat::kSafe, &result,
                   &error)) {
    return PrintError(error);
  }
  if (context.output == OutputForm::kJson) {
    PrintJson(result);
  } else if (transaction.dry_run()) {
    std::printf("valid; would become version %llu\n",
                static_cast<unsigned long long>(result.version()));
  } else {
    std::printf("version %llu is in force (operation %s)\n",
                static_cast<unsigned long long>(result.version()),
                transaction.operation_id().c_str());
  }
  return kExitOk;
}

int Get(CommandContext& context) {
  ApiClient client = context.MakeClient();
  proto::GetConfigurationResponse response;
  ApiError error;
  if (!client.Call("GET", "/v1/config", {}, Repeat::kSafe, &response, &error)) {
    return PrintError(error);
  }
  PrintJson(response.configuration());
  return kExitOk;
}

int History(CommandContext& context) {
  ApiClient client = context.MakeClient();
  proto::GetConfigurationResponse response;
  ApiError error;
  if (!client.Call("GET", "/v1/config/history?limit=20", {}, Repeat::kSafe, &response, &error)) {
    return PrintError(error);
  }
  if (context.output == OutputForm::kJson) {
    PrintJson(response);
    return kExitOk;
  }
  std::printf("%-8s %-16s %-8s %s\n", "version", "author", "changes", "comment");
  for (const proto::HistoryRecord& record : response.history()) {
    std::printf("%-8llu %-16s %-8d %s\n", static_cast<unsigned long long>(record.version()),
                record.transaction().author().c_str(), record.transaction().changes_size(),
                record.transaction().comment().c_str());
  }
  return kExitOk;
}

struct ApplyArguments {
  std::string file;
  std::string operation_id;
  bool dry_run = false;
};

int Apply(CommandContext& context, const ApplyArguments& arguments) {
  const auto text = ReadFileContent(arguments.file);
  if (!text.ok()) {
    std::fprintf(stderr, "cloverbank: %s\n", text.status().message().c_str());
    return kExitUsage;
  }
  proto::ConfigurationTransaction transaction;
  if (Status status = FromJson(*text, &transaction); !status.ok()) {
    std::fprintf(stderr, "cloverbank: %s: %s\n", arguments.file.c_str(), status.message().c_str());
    return kExitUsage;
  }
  if (!arguments.operation_id.empty()) {
    transaction.set_operation_id(arguments.operation_id);
  } else if (transaction.operation_id().empty()) {
    transaction.set_operation_id(RandomId("cli"));
  }
  transaction.set_dry_run(arguments.dry_run || transaction.dry_run());
  return SendTransaction(context, transaction);
}

int SetZone(CommandContext& context, const std::string& zone, proto::ZoneState state) {
  ApiClient client = context.MakeClient();
  proto::GetConfigurationResponse response;
  ApiError error;
  if (!client.Call("GET", "/v1/config", {}, Repeat::kSafe, &response, &error)) {
    return PrintError(error);
  }
  proto::ConfigurationTransaction transaction;
  transaction.set_operation_id(RandomId("zone"));
  transaction.set_expected_version(response.configuration().version());
  transaction.set_author("cli");
  for (const proto::Zone& known : response.configuration().zones()) {
    if (known.name() == zone) {
      proto::Zone* changed = transaction.add_changes()->mutable_set_zone();
      *changed = known;
      changed->set_state(state);
    }
  }
  if (transaction.changes_size() == 0) {
    std::fprintf(stderr, "cloverbank: no zone is named %s; see cloverbank config get\n",
                 zone.c_str());
    return kExitUsage;
  }
  return SendTransaction(context, transaction);
}

}  // namespace

void AddConfigCommands(CLI::App& app, CommandContext& context, int& exit_code) {
  auto* config = app.add_subcommand("config", "The routing configuration");
  config->require_subcommand(1);
  config->add_subcommand("get", "Print the configuration in force")->callback([&] {
    exit_code = Get(context);
  });
  config->add_subcommand("history", "List the latest changes")->callback([&] {
    exit_code = History(context);
  });
  auto arguments = std::make_shared<ApplyArguments>();
  auto* apply = config->add_subcommand("apply", "Apply a transaction; returns when it is in force");
  apply->add_option("file", arguments->file, "JSON transaction (- is standard input)")->required();
  apply->add_option("--operation-id", arguments->operation_id,
                    "Id of the transaction, so that it can be sent again safely");
  apply->add_flag("--dry-run", arguments->dry_run, "Only validate the transaction");
  apply->callback([&, arguments] { exit_code = Apply(context, *arguments); });

  auto* zone = app.add_subcommand("zone", "Drain or open a zone");
  zone->require_subcommand(1);
  auto name = std::make_shared<std::string>();
  auto* drain = zone->add_subcommand("drain", "Send no traffic to the zone's replicas");
  drain->add_option("zone", *name)->required();
  drain->callback([&, name] { exit_code = SetZone(context, *name, proto::ZONE_STATE_DRAINED); });
  auto* open = zone->add_subcommand("open", "Send traffic to the zone's replicas again");
  open->add_option("zone", *name)->required();
  open->callback([&, name] { exit_code = SetZone(context, *name, proto::ZONE_STATE_OPEN); });
}

}  // namespace cloverbank
