#pragma once
/// @file
/// State that the parts of one queue node incarnation's log share: options, clients of the backups,
/// the directory of backups, and the callback for a fenced node id.
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
  std::uint32_t minimum_replicas = 2;             ///< With fewer, no append is acknowledged.
  Duration call_deadline = milliseconds(1000);    ///< Of one call to a backup.
  Duration bulk_deadline = seconds(5);            ///< Of a call that carries all of a segment.
  Duration commit_deadline = milliseconds(2000);  ///< Of CommitHead at the coordinators.
  Duration retry_delay = milliseconds(100);       ///< Until a failed call is made again.
  /// Time for which a backup is not chosen after a failed call.
  Duration failure_cooldown = seconds(2);
  /// Time after which a waiting append is refused if nothing of it was sent to a backup.
  Duration append_timeout = seconds(2);
  /// Framed size of the waiting appends above which further ones are refused.
  std::uint64_t max_waiting_bytes = 64ULL << 20U;
  /// Most bytes of data in one WriteSegment, unless a single entry is larger.
  std::uint64_t write_bytes = 1ULL << 20U;
  std::size_t max_parallel_repairs = 2;  ///< Closed segments under repair at a time.
};

/// Which server refused the log's node id as dead, and on which call.
enum class FencedBy : std::uint8_t { kCoordinators, kBackupOfHead, kBackupOfRepair };

/// @return the reason as text, for logs.
/// @param detail for kCoordinators their message; for kBackupOfHead the segment id; otherwise
/// unused.
std::string FencingReason(FencedBy source, const std::string& detail);

struct LogContext {
  Environment& environment;
  NodeAgent& agent;
  SegmentLogOptions options;
  NodeId node;               ///< The incarnation that owns the log.
  BackupClient client;       ///< For the head.
  BackupClient bulk_client;  ///< For repairs.
  BackupDirectory directory;
  bool stopped = false;  ///< The log has ended; late responses are ignored.
  /// Called when a backup or coordinator refuses `node` as dead. Sets `stopped`.
  std::function<void(FencedBy source, const std::string& detail)> on_fenced;
};

}  // namespace cloverbank
