#pragma once
/// @file
/// Reads the processor time and memory of processes on this machine from /proc.

#include <cstdint>

#include "base/time.h"

namespace cloverbank {

struct ProcessUsage {
  Duration processor{};  ///< User and system time since the process began.
  std::uint64_t resident_bytes = 0;
};

/// @param pid 0 is this process. @return its usage; zeros if there is no such process.
ProcessUsage ReadProcessUsage(int pid);

}  // namespace cloverbank
