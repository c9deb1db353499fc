#pragma once
/// @file
/// Checks which chunks of a replica's stream may be forwarded: those of this call and of a single
/// run, in unbroken sequence from chunk 0. Pure; one object for each attempt.

#include <cstdint>
#include <string>
#include <string_view>

#include "proto/live.pb.h"

namespace cloverbank {

/// The result of checking one chunk.
enum class ChunkCheckResult : std::uint8_t {
  kPass,          ///< The next chunk of the run.
  kEnd,           ///< The regular last chunk.
  kReplicaError,  ///< The replica ended the run with an error chunk.
  kInvalid,       ///< The chunk must not be forwarded; `fault` says why. The stream has ended.
};

/// Why a stream is invalid.
enum class StreamFault : std::uint8_t {
  kNone,
  kOtherCall,  ///< The call id is another one: a late response, or one to another call.
  kOtherRun,   ///< The run id is another one, or missing.
  kGap,        ///< The sequence number is too high: a chunk is missing.
  kRepeat,     ///< The sequence number is too low: a chunk was repeated.
  kAfterEnd,   ///< Something followed the last chunk.
  kNoEnd,      ///< The body ended without a last chunk.
  kMalformed,  ///< A line was not a chunk, or was too long.
};

/// @return the stable snake_case name, for metrics and error codes.
std::string_view StreamFaultName(StreamFault fault);

class StreamCheck {
 public:
  explicit StreamCheck(std::string call_id) : call_id_(std::move(call_id)) {}

  /// Checks the next chunk. After anything but kPass the stream has ended.
  ChunkCheckResult Check(const proto::StreamChunk& chunk);
  /// The body ended. @return whether the stream was complete, that is, whether its last valid chunk
  /// was a regular last chunk and nothing followed.
  bool OnBodyEnd();
  /// Something other than a chunk was received.
  void RecordMalformed() { Fail(StreamFault::kMalformed); }
  /// The head of the response names another call.
  void RecordOtherCall() { Fail(StreamFault::kOtherCall); }

  /// The first fault, if any.
  StreamFault fault() const { return fault_; }
  /// Whether any valid chunk was received.
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
  bool ended_ = false;     ///< The stream has ended, in whatever way.
  bool complete_ = false;  ///< The regular last chunk was received.
  StreamFault fault_ = StreamFault::kNone;
};

}  // namespace cloverbank
