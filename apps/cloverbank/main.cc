/// @file
/// cloverbank: the command-line client of operators and batch clients.

#include "cloverbank/commands.h"

int main(int argc, char** argv) {
  using cloverbank::CommandContext;
  CLI::App app{"Operates a cloverbank fleet and submits batches, through any of its gateways."};
  CommandContext context;
  int exit_code = cloverbank::kExitOk;
  app.add_option("--gateway", context.gateway_texts, "A gateway's IP:PORT; may be repeated")
      ->envname("CLOVERBANK_GATEWAY");
  app.add_option("--output", context.output_text, "Output format")
      ->check(CLI::IsMember({"table", "json"}))
      ->capture_default_str();
  app.require_subcommand(1);
  app.fallthrough();
  app.parse_complete_callback([&context] {
    if (const int code = context.Resolve(); code != cloverbank::kExitOk) {
      throw CLI::RuntimeError(code);
    }
  });
  cloverbank::AddConfigCommands(app, context, exit_code);
  cloverbank::AddBatchCommands(app, context, exit_code);
  cloverbank::AddFleetCommands(app, context, exit_code);
  cloverbank::AddCallCommand(app, context, exit_code);
  CLI11_PARSE(app, argc, argv);
  return exit_code;
}
