#pragma once
/// @file
/// Reads the platform's list of replicas periodically, independently of the control plane. If the
/// list cannot be read, the previous one stays in use.
/// Threads: the owner's event loop only.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "net/http_types.h"
#include "proto/live.pb.h"
#include "replicas/replica_list_reader.h"
#include "replicas/replica_options.h"
#include "runtime/environment.h"

namespace cloverbank {

class ReplicaListPoller {
 public:
  /// Runs for each new list. @return Ok if the list is in use now, otherwise why it cannot be used.
  using ListHandler = std::function<Status(const proto::ReplicaList&)>;

  ReplicaListPoller(Environment& environment, HttpClient& client, ReplicaListOptions options,
                    ListHandler on_list);
  ~ReplicaListPoller();
  ReplicaListPoller(const ReplicaListPoller&) = delete;
  ReplicaListPoller& operator=(const ReplicaListPoller&) = delete;

  /// Polls for the first time; later polls follow at the configured interval.
  void Start();
  /// Whether the last completed poll, successful or not, is recent enough to act on the list (see
  /// `ReplicaListOptions::stale_after`). False after the process was frozen, until the next poll
  /// has completed.
  bool IsFresh() const;
  /// Whether any list was read and could be used.
  bool loaded() const { return loaded_; }

 private:
  void Poll();
  void OnReadResult(TimePoint sent_at, const ListReadResult& read_result);
  /// @return the value of the metric label "result": "unchanged", "changed", or why the list could
  /// not be read or used.
  std::string Apply(const ListReadResult& read_result);
  void ScheduleNext(TimePoint sent_at, bool next_is_long_poll);

  Environment& environment_;
  ReplicaListOptions options_;
  std::unique_ptr<ReplicaListReader> reader_;
  ListHandler on_list_;
  bool loaded_ = false;
  TimePoint last_queried_at_{};  ///< When the platform was queried for the last completed poll.
  bool polled_ = false;
  TimerId timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank
