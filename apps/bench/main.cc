/// @file
/// cloverbank-bench: measurements of a running coordinator group.

#include <CLI/CLI.hpp>

#include "bench/hollow_command.h"

int main(int argc, char** argv) {
  CLI::App app{"Measures cloverbank on this machine."};
  app.require_subcommand(1);
  cloverbank::HollowArguments hollow;
  auto* command = app.add_subcommand(
      "hollow",
      "Measure a real coordinator group with growing numbers of hollow nodes and tenants");
  command->add_option("--nodes", hollow.node_counts, "Numbers of nodes")->delimiter(',');
  command->add_option("--tenants", hollow.tenant_counts, "Numbers of tenants")->delimiter(',');
  command->add_option("--sample-seconds", hollow.sample_seconds, "Length of each sample")
      ->capture_default_str();
  command->add_option("--changes", hollow.changes, "Configuration changes timed at each size")
      ->capture_default_str();
  command->add_option("--run-folder", hollow.run_folder)->capture_default_str();
  command->add_option("--tables", hollow.tables, "File for the tables in Markdown");
  CLI11_PARSE(app, argc, argv);
  return cloverbank::RunHollow(hollow);
}
