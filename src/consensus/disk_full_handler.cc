#include "consensus/disk_full_handler.h"

#include <utility>

#include "base/logging.h"

namespace cloverbank {
namespace {

/// Time between attempts of a write that finds the disk full.
constexpr Duration kRetryInterval = milliseconds(200);

}  // namespace

void DiskFullHandler::OnDiskFull(const Status& status) {
  if (context_.stopped) {
    return;
  }
  Environment& environment = context_.environment;
  retry_timer_ = environment.ScheduleAfter(kRetryInterval, [this] { storage_.Retry(); });
  if (std::exchange(disk_full_, true)) {
    return;
  }
  Log(LogLevel::kWarning, "raft_disk_full", {{"reason", status.ToString()}});
  environment.metrics().SetGauge("raft_disk_full", 1);
  context_.core->SetWritable(environment.Now(), false);
  context_.execute_effects();
}

void DiskFullHandler::OnWriteSucceeded() {
  if (!std::exchange(disk_full_, false)) {
    return;
  }
  Log(LogLevel::kInfo, "raft_disk_space_available", {});
  context_.environment.metrics().SetGauge("raft_disk_full", 0);
  context_.core->SetWritable(context_.environment.Now(), true);
}

void DiskFullHandler::Stop() { context_.environment.CancelTimer(retry_timer_); }

}  // namespace cloverbank
