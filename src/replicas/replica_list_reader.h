#pragma once
/// @file
/// Reads the platform's list of replicas once. `ReplicaListPoller` decides when and how often.
/// Threads: the owner's event loop only.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "net/http_types.h"
#include "proto/live.pb.h"
#include "replicas/replica_options.h"

namespace cloverbank {

enum class ListReadOutcome : std::uint8_t {
  kRead,          ///< A complete list was received.
  kUnchanged,     ///< The list is the same as the last accepted one.
  kRefused,       ///< The platform responded without a list.
  kMalformed,     ///< The response is not a list.
  kNotConnected,  ///< No connection could be established.
  kNoResponse,    ///< No response before the deadline.
};

struct ListReadResult {
  ListReadOutcome outcome = ListReadOutcome::kNoResponse;
  proto::ReplicaList list;  ///< Set if `outcome` is kRead.
  std::string reason;       ///< Readable description of the error if `outcome` is kMalformed.
  /// When the platform was queried; not set if that was when `Read` was called.
  std::optional<TimePoint> read_at;
  /// The next `Read` is a long poll, so it may be called immediately.
  bool next_is_long_poll = false;
};

class ReplicaListReader {
 public:
  virtual ~ReplicaListReader() = default;
  /// Reads the list. `done` runs once, within `deadline`, unless the reader is destroyed before
  /// that.
  virtual void Read(Duration deadline, std::function<void(ListReadResult)> done) = 0;
  /// The last list read was applied, so the same list may be reported as unchanged from now on.
  virtual void Accepted() {}
};

/// @return how the read ended, for a call without a response.
ListReadOutcome OutcomeWithoutResponse(const HttpOutcome& outcome);

/// Creates the reader that `options` specify.
std::unique_ptr<ReplicaListReader> MakeReplicaListReader(HttpClient& client,
                                                         const ReplicaListOptions& options);

/// Creates a reader of `GET /replicas` (see `ReplicaListOptions::path`): one JSON document with an
/// entity tag.
std::unique_ptr<ReplicaListReader> MakeJsonListReader(HttpClient& client,
                                                      const ReplicaListOptions& options);

}  // namespace cloverbank
