#pragma once
/// @file
/// How the platform's list of replicas is read once. When and how often is `ReplicaListPoller`'s
/// matter. Threads: the owner's event loop only.

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

enum class ListReadEnd : std::uint8_t {
  kRead,          ///< A whole list came.
  kUnchanged,     ///< The same as the last one that was accepted.
  kRefused,       ///< The platform answered, without a list.
  kMalformed,     ///< What came is no list.
  kNotConnected,  ///< No connection was made.
  kNoResponse,    ///< No answer came in time.
};

struct ListReading {
  ListReadEnd end = ListReadEnd::kNoResponse;
  proto::ReplicaList list;  ///< Set when read.
  std::string reason;       ///< For people, when malformed.
  /// When the platform was asked, if that was not when `Read` was called.
  std::optional<TimePoint> read_at;
  /// The next call of `Read` waits for news by itself: it may come at once.
  bool next_waits = false;
};

class ReplicaListReader {
 public:
  virtual ~ReplicaListReader() = default;
  /// Reads the list; `done` runs once, within `deadline`, unless the reader is destroyed before.
  virtual void Read(Duration deadline, std::function<void(ListReading)> done) = 0;
  /// The list read last was taken: a later one may be answered as unchanged.
  virtual void Accepted() {}
};

/// @return the end of a call that brought no answer.
ListReadEnd EndWithoutAnswer(const HttpOutcome& outcome);

/// Makes the reader that the options ask for.
std::unique_ptr<ReplicaListReader> MakeListReader(HttpClient& client,
                                                  const ReplicaListOptions& options);

/// Reads `GET /replicas`: one JSON document with an entity tag.
std::unique_ptr<ReplicaListReader> MakeJsonListReader(HttpClient& client,
                                                      const ReplicaListOptions& options);

}  // namespace cloverbank
