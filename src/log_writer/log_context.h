#pragma once
/// @file
/// What the parts of one queue node incarnation's log share: options, clients of the backups, the
/// directory of backups, and the notice that the node id is fenced.
///
/// Threads: the owner's event loop only.

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
  std::uint32_t minimum_replicas = 2;             ///< With fewer nothing is acknowledged.
  Duration call_deadline = milliseconds(1000);    ///< Of one call to a backup.
  Duration bulk_deadline = seconds(5);            ///< Of a call that carries all of a segment.
  Duration commit_deadline = milliseconds(2000);  ///< Of CommitHead at the coordinators.
  Duration retry_delay = milliseconds(100);
  Duration failure_cooldown =
      seconds(2);  ///< A backup whose call failed is not chosen for so long.
  /// Appends of which nothing was sent to a backup are refused after waiting for so long.
  Duration append_timeout = seconds(2);
  std::uint64_t max_waiting_bytes =
      64ULL << 20U;  ///< Bound on entries that wait for a place in a segment.
  std::uint64_t write_bytes = 1ULL << 20U;  ///< Largest WriteSegment, unless one entry is larger.
  std::size_t max_parallel_repairs = 2;     ///< Closed segments under repair at a time.
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
  NodeId node;               ///< The incarnation that owns the log.
  BackupClient client;       ///< For the head.
  BackupClient bulk_client;  ///< For repairs.
  BackupDirectory directory;
  bool stopped = false;  ///< The log has ended; late answers are ignored.
  /// Called when a backup or coordinator refuses `node` as dead. Sets `stopped`.
  std::function<void(FencedBy source, const std::string& detail)> on_fenced;
};

}  // namespace cloverbank
