#pragma once
/// @file
/// `cloverbank-bench hollow`: a real coordinator group against growing numbers of hollow nodes and
/// tenants; prints the measured points, the line through them and what it gives at the design size.

#include <cstdint>
#include <string>
#include <vector>

namespace cloverbank {

struct HollowArguments {
  std::vector<std::uint32_t> node_counts = {25, 100, 200, 350, 500};
  std::vector<std::uint32_t> tenant_counts = {1000, 5000, 10000, 22000};
  std::uint32_t sample_seconds = 8;
  std::uint32_t changes = 20;
  std::string run_folder = "run/hollow";
  /// Markdown file that is written with the tables; empty: only printed.
  std::string tables;
};

/// @return the process's exit code.
int RunHollow(const HollowArguments& arguments);

}  // namespace cloverbank
