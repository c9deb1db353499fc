#pragma once
/// @file
/// Decides which pieces of a replica's stream may be passed on: an unbroken run from piece 0 of one
/// run id, belonging to the call that asked. Pure; one object a call attempt.

#include <cstdint>
#include <string>
#include <string_view>

#include "proto/live.pb.h"

namespace cloverbank {

/// What to do with a piece.
enum class ChunkCheckResult : std::uint8_t {
  kPass,      ///< The next piece of the run.
  kEnd,       ///< The regular last piece.
  kReported,  ///< The replica itself ended the run with an error piece.
  kBroken,    ///< Must not be passed on; the stream is over.
};

/// Why a stream was broken off.
enum class StreamFault : std::uint8_t {
  kNone,
  kOtherCall,  ///< The call id is not ours: a crossed or late answer.
  kOtherRun,   ///< A second run joined in, or no run id at all.
  kGap,        ///< A piece is missing.
  kRepeat,     ///< A piece came again.
  kAfterEnd,   ///< Something followed the last piece.
  kNoEnd,      ///< The body ended without a last piece.
  kMalformed,  ///< A line was not a piece, or too long.
};

/// @return the stable snake_case name, for metrics and error codes.
std::string_view StreamFaultName(StreamFault fault);

class StreamCheck {
 public:
  explicit StreamCheck(std::string call_id) : call_id_(std::move(call_id)) {}

  /// Judges the next piece. After anything but kPass the stream is over.
  ChunkCheckResult Check(const proto::StreamChunk& chunk);
  /// The body ended. @return whether it ended whole, i.e. after the regular last piece.
  bool BodyEnded();
  /// Something that was not a piece arrived.
  void RecordMalformed() { Break(StreamFault::kMalformed); }

  StreamFault fault() const { return fault_; }
  /// Whether the run is known to have produced anything.
  bool started() const { return next_sequence_ > 0; }
  const std::string& run_id() const { return run_id_; }
  /// Sequence number the next piece must have.
  std::uint64_t next_sequence() const { return next_sequence_; }

 private:
  ChunkCheckResult Break(StreamFault fault);
  StreamFault FindFault(const proto::StreamChunk& chunk) const;

  std::string call_id_;
  std::string run_id_;
  std::uint64_t next_sequence_ = 0;
  bool ended_ = false;
  bool complete_ = false;
  StreamFault fault_ = StreamFault::kNone;
};

}  // namespace cloverbank
