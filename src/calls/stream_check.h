#pragma once
/// @file
/// Checks which chunks of a replica's stream may be forwarded: an unbroken sequence from chunk 0 of
/// one run id that belongs to the call. Pure; one object for each attempt.

#include <cstdint>
#include <string>
#include <string_view>

#include "proto/live.pb.h"

namespace cloverbank {

/// What to do with a chunk.
enum class ChunkCheckResult : std::uint8_t {
  kPass,          ///< The next chunk of the run.
  kEnd,           ///< The regular last chunk.
  kReplicaError,  ///< The replica ended the run with an error chunk.
  kInvalid,       ///< Must not be forwarded; the stream has ended.
};

/// Why a stream was broken off.
enum class StreamFault : std::uint8_t {
  kNone,
  kOtherCall,  ///< The call id is another one: a crossed or late response.
  kOtherRun,   ///< Another run id, or none.
  kGap,        ///< A chunk is missing.
  kRepeat,     ///< A chunk was repeated.
  kAfterEnd,   ///< Something followed the last chunk.
  kNoEnd,      ///< The body ended without a last chunk.
  kMalformed,  ///< A line was not a chunk, or too long.
};

/// @return the stable snake_case name, for metrics and error codes.
std::string_view StreamFaultName(StreamFault fault);

class StreamCheck {
 public:
  explicit StreamCheck(std::string call_id) : call_id_(std::move(call_id)) {}

  /// Checks the next chunk. After anything but kPass the stream has ended.
  ChunkCheckResult Check(const proto::StreamChunk& chunk);
  /// The body ended. @return whether it was complete, that is, after the regular last chunk.
  bool OnBodyEnd();
  /// Something other than a chunk was received.
  void RecordMalformed() { Fail(StreamFault::kMalformed); }

  StreamFault fault() const { return fault_; }
  /// Whether the run is known to have produced anything.
  bool started() const { return next_sequence_ > 0; }
  const std::string& run_id() const { return run_id_; }
  /// Sequence number that the next chunk must have.
  std::uint64_t next_sequence() const { return next_sequence_; }

 private:
  ChunkCheckResult Fail(StreamFault fault);
  StreamFault FindFault(const proto::StreamChunk& chunk) const;

  std::string call_id_;
  std::string run_id_;
  std::uint64_t next_sequence_ = 0;
  bool ended_ = false;
  bool complete_ = false;
  StreamFault fault_ = StreamFault::kNone;
};

}  // namespace cloverbank
