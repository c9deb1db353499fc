#pragma once
/// @file
/// `cloverbank-bench hollow`: measures a real coordinator group with growing numbers of hollow
/// nodes and tenants; prints the measured points, the line fitted to them and its value at the
/// design size.

#include <cstdint>
#include <string>
#include <vector>

namespace cloverbank {

struct HollowArguments {
  std::vector<std::uint32_t> node_counts = {25, 100, 200, 350, 500};
  std::vector<std::uint32_t> tenant_counts = {1000, 5000, 10000, 22000};
  std::uint32_t sample_seconds = 8;
  /// Number of configuration changes that are timed at each size.
  std::uint32_t changes = 20;
  std::string run_folder = "run/hollow";
  /// Markdown file to write the tables to; if empty, they are only printed.
  std::string tables;
};

/// Runs the measurement in `arguments.run_folder`, whose content it removes first.
/// @return the process's exit code: 0, or 1 if the measurement could not be completed.
int RunHollow(const HollowArguments& arguments);

}  // namespace cloverbank
