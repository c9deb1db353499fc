#include "calls/stream_check.h"

namespace cloverbank {

std::string_view StreamFaultName(StreamFault fault) {
  switch (fault) {
    case StreamFault::kNone:
      return "none";
    case StreamFault::kOtherCall:
      return "other_call";
    case StreamFault::kOtherRun:
      return "other_run";
    case StreamFault::kGap:
      return "gap";
    case StreamFault::kRepeat:
      return "repeat";
    case StreamFault::kAfterEnd:
      return "after_end";
    case StreamFault::kNoEnd:
      return "no_end";
    case StreamFault::kMalformed:
      return "malformed";
  }
  return "none";
}

ChunkCheckResult StreamCheck::Check(const proto::StreamChunk& chunk) {
  const StreamFault fault = FindFault(chunk);
  if (fault != StreamFault::kNone) {
    return Fail(fault);
  }
  if (run_id_.empty()) {
    run_id_ = chunk.run_id();
  }
  ++next_sequence_;
  if (chunk.has_error()) {
    ended_ = true;
    return ChunkCheckResult::kReplicaError;
  }
  if (chunk.end()) {
    ended_ = true;
    complete_ = true;
    return ChunkCheckResult::kEnd;
  }
  return ChunkCheckResult::kPass;
}

bool StreamCheck::OnBodyEnd() {
  if (!ended_) {
    Fail(StreamFault::kNoEnd);
  }
  return complete_ && fault_ == StreamFault::kNone;
}

ChunkCheckResult StreamCheck::Fail(StreamFault fault) {
  ended_ = true;
  if (fault_ == StreamFault::kNone) {
    fault_ = fault;
  }
  return ChunkCheckResult::kInvalid;
}

StreamFault StreamCheck::FindFault(const proto::StreamChunk& chunk) const {
  if (ended_) {
    return StreamFault::kAfterEnd;
  }
  if (chunk.call_id() != call_id_) {
    return StreamFault::kOtherCall;
  }
  const bool other_run = !run_id_.empty() && chunk.run_id() != run_id_;
  if (chunk.run_id().empty() || other_run) {
    return StreamFault::kOtherRun;
  }
  if (chunk.sequence() > next_sequence_) {
    return StreamFault::kGap;
  }
  if (chunk.sequence() < next_sequence_) {
    return StreamFault::kRepeat;
  }
  return StreamFault::kNone;
}

}  // namespace cloverbank
