#include "bench/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace cloverbank {
namespace {

constexpr int kFieldsBeforeUserTime = 11;  // Of /proc/<pid>/stat, after the name.

}  // namespace

ProcessUsage ReadProcessUsage(int pid) {
  const std::string folder = "/proc/" + (pid == 0 ? std::string("self") : std::to_string(pid));
  std::ifstream stat(folder + "/stat");
  std::string line;
  std::getline(stat, line);
  ProcessUsage usage;
  const auto name_end = line.rfind(')');
  if (name_end == std::string::npos) {
    return usage;
  }
  std::istringstream fields(line.substr(name_end + 1));
  std::string skipped;
  for (int index = 0; index < kFieldsBeforeUserTime; ++index) {
    fields >> skipped;
  }
  std::int64_t user_ticks = 0;
  std::int64_t system_ticks = 0;
  fields >> user_ticks >> system_ticks;
  const auto ticks_per_second = sysconf(_SC_CLK_TCK);
  usage.processor = Duration((user_ticks + system_ticks) * (1'000'000'000 / ticks_per_second));
  std::ifstream statm(folder + "/statm");
  std::uint64_t total_pages = 0;
  std::uint64_t resident_pages = 0;
  statm >> total_pages >> resident_pages;
  usage.resident_bytes = resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  return usage;
}

}  // namespace cloverbank
