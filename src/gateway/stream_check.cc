#include "gateway/stream_check.h"

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

PieceVerdict StreamCheck::Check(const proto::StreamPiece& piece) {
  const StreamFault fault = FaultOf(piece);
  if (fault != StreamFault::kNone) {
    return Break(fault);
  }
  if (run_id_.empty()) {
    run_id_ = piece.run_id();
  }
  ++next_sequence_;
  if (piece.has_error()) {
    over_ = true;
    return PieceVerdict::kReported;
  }
  if (piece.end()) {
    over_ = true;
    whole_ = true;
    return PieceVerdict::kEnd;
  }
  return PieceVerdict::kPass;
}

bool StreamCheck::BodyEnded() {
  if (!over_) {
    Break(StreamFault::kNoEnd);
  }
  return whole_ && fault_ == StreamFault::kNone;
}

PieceVerdict StreamCheck::Break(StreamFault fault) {
  over_ = true;
  if (fault_ == StreamFault::kNone) {
    fault_ = fault;
  }
  return PieceVerdict::kBroken;
}

StreamFault StreamCheck::FaultOf(const proto::StreamPiece& piece) const {
  if (over_) {
    return StreamFault::kAfterEnd;
  }
  if (piece.call_id() != call_id_) {
    return StreamFault::kOtherCall;
  }
  const bool other_run = !run_id_.empty() && piece.run_id() != run_id_;
  if (piece.run_id().empty() || other_run) {
    return StreamFault::kOtherRun;
  }
  if (piece.sequence() > next_sequence_) {
    return StreamFault::kGap;
  }
  if (piece.sequence() < next_sequence_) {
    return StreamFault::kRepeat;
  }
  return StreamFault::kNone;
}

}  // namespace cloverbank
