#include "backup/corrupt_replica.h"

#include "base/logging.h"

namespace cloverbank {

std::string_view CorruptionFoundByName(CorruptionFoundBy found_by) {
  switch (found_by) {
    case CorruptionFoundBy::kLoad:
      return "load";
    case CorruptionFoundBy::kRead:
      return "read";
    case CorruptionFoundBy::kRecovery:
      return "recovery";
    case CorruptionFoundBy::kScrub:
      return "scrub";
  }
  return "unknown";
}

void ReportCorruptReplica(Environment& environment, std::string_view file,
                          CorruptionFoundBy found_by, std::string_view reason) {
  const std::string_view label = CorruptionFoundByName(found_by);
  environment.metrics().Increment("backup_corrupt_replicas_total", {{"found_by", label}});
  Log(LogLevel::kError, "replica_corrupt",
      {{"file", file}, {"found_by", label}, {"reason", reason}});
}

void DropCorruptReplica(Environment& environment, SegmentStore& store, const ReplicaKey& key,
                        CorruptionFoundBy found_by, const Status& reason) {
  store.SetCorrupt(key);
  ReportCorruptReplica(environment, SegmentFileName(key), found_by, reason.message());
}

}  // namespace cloverbank
