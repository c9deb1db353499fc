#pragma once
/// @file
/// Processor time and memory of processes on this machine, read from /proc.

#include <cstdint>

#include "base/time.h"

namespace cloverbank {

struct ProcessUsage {
  Duration processor{};  ///< User and system time since the process began.
  std::uint64_t resident_bytes = 0;
};

/// @return the usage of `pid` (0 is this process); zeros if there is no such process.
ProcessUsage ReadProcessUsage(int pid);

}  // namespace cloverbank
