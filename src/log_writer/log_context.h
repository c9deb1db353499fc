#pragma once
/// @file
/// What the parts of one life's log share: options, the ways out, and the memory of failed backups.

#include <cstdint>
#include <functional>
#include <string>

#include "base/ids.h"
#include "control_client/node_agent.h"
#include "log_writer/backup_client.h"
#include "log_writer/backup_directory.h"
#include "runtime/environment.h"

namespace cloverbank {

struct SegmentLogOptions {
  std::uint64_t segment_bytes = 4ULL << 20U;
  std::uint32_t replicas = 3;
  std::uint32_t minimum_replicas = 2;             ///< Below this nothing is acknowledged.
  Duration call_deadline = milliseconds(1000);    ///< Of one call to a backup.
  Duration bulk_deadline = seconds(5);            ///< Of a call that carries a whole segment.
  Duration commit_deadline = milliseconds(2000);  ///< Of CommitHead at the coordinators.
  Duration retry_delay = milliseconds(100);
  Duration failure_memory = seconds(2);  ///< A backup that failed is not chosen for so long.
  /// Entries that no backup has seen are refused after waiting for so long.
  Duration refuse_after = seconds(2);
  std::uint64_t waiting_bytes = 64ULL << 20U;  ///< Bound on entries that wait for their write.
  std::uint64_t write_bytes = 1ULL << 20U;  ///< Largest WriteSegment, unless one entry is larger.
  std::size_t parallel_repairs = 2;         ///< Closed segments copied at a time.
};

/// Who refused the log's node id as dead.
enum class FencedBy : std::uint8_t { kCoordinators, kBackupOfHead, kBackupOfRepair };

/// @return the text for logs. @param detail of kCoordinators: their message; of kBackupOfHead: the
/// segment id; else unused.
std::string FencingReason(FencedBy source, const std::string& detail);

struct LogContext {
  Environment& environment;
  NodeAgent& agent;
  SegmentLogOptions options;
  NodeId node;               ///< The life whose log it is.
  BackupClient client;       ///< For the head.
  BackupClient bulk_client;  ///< For repairs.
  BackupDirectory directory;
  bool stopped = false;
  /// Called when a backup or coordinator refuses `node` as dead. Sets `stopped`.
  std::function<void(FencedBy source, const std::string& detail)> on_fenced;
};

}  // namespace cloverbank
