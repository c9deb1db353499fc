// The roll-over of the log's head to its successor: when it begins, its steps, and which segments
// it frees.

#include "base/checksum.h"
#include "base/logging.h"
#include "log_format/segment_format.h"
#include "log_writer/segment_log.h"

namespace cloverbank {
namespace {

/// Shortest time between a roll-over and one made only to move the head to better backups.
constexpr Duration kEarlyRollOverInterval = seconds(2);
/// Fill level of the head, in percent, at which its successor is opened.
constexpr std::uint64_t kOpenSuccessorPercent = 75;

}  // namespace

void SegmentLog::AdvanceRollOver() {
  if (!head_->IsCommitted()) {
    return;
  }
  early_roll_over_ = early_roll_over_ || ShouldRollOverEarly();
  if (successor_ == nullptr && ShouldOpenSuccessor()) {
    OpenSuccessor();
  }
  if (successor_ == nullptr || !successor_->IsOpen()) {
    return;
  }
  rolling_over_ = rolling_over_ || early_roll_over_;
  if (!rolling_over_) {
    return;
  }
  if (!head_->IsClosing() && head_->IsDrained()) {
    head_->Close();
  }
  if (head_->IsClosed() && !successor_->IsCommitted()) {
    successor_->AllowCommit();
  }
  if (head_->IsClosed() && successor_->IsCommitted()) {
    PromoteSuccessor();
  }
}

bool SegmentLog::ShouldOpenSuccessor() const {
  const bool nearly_full =
      head_->length() * 100 >= context_.options.segment_bytes * kOpenSuccessorPercent;
  return rolling_over_ || nearly_full || early_roll_over_;
}

bool SegmentLog::ShouldRollOverEarly() const {
  return context_.environment.Now() - last_roll_over_ >= kEarlyRollOverInterval &&
         context_.directory.HasBetterBackups(head_->locations());
}

void SegmentLog::OpenSuccessor() {
  const SegmentId id = head_->id().Next();
  std::vector<SegmentId> digest;
  dead_segments_.clear();
  for (const auto& [closed, segment] : repairer_->segments()) {
    (usage_.IsDead(closed) ? dead_segments_ : digest).push_back(closed);
  }
  digest.push_back(head_->id());
  digest.push_back(id);
  successor_ = std::make_shared<HeadSegment>(context_, id, BuildSegmentStart(id, digest),
                                             [this] { Advance(); });
  successor_->Advance();
}

void SegmentLog::PromoteSuccessor() {
  AddHeadToRepairer();
  FreeDeadSegments();
  head_ = std::move(successor_);
  successor_ = nullptr;
  rolling_over_ = false;
  early_roll_over_ = false;
  last_roll_over_ = context_.environment.Now();
  Log(LogLevel::kInfo, "segment_opened",
      {{"node", context_.node.value()},
       {"segment", head_->id().value()},
       {"live_segments", live_segments()}});
  repairer_->Advance();
  advance_.RequestRound();
}

void SegmentLog::AddHeadToRepairer() {
  ClosedSegment closed;
  closed.id = head_->id();
  closed.epoch = head_->highest_epoch();
  closed.length = head_->length();
  closed.checksum = Checksum(head_->content());
  closed.locations = head_->locations();
  repairer_->Add(std::move(closed));
}

void SegmentLog::FreeDeadSegments() {
  for (const SegmentId freed : dead_segments_) {
    repairer_->Free(freed);
    usage_.Forget(freed);
  }
  dead_segments_.clear();
}

std::string SegmentLog::BuildSegmentStart(SegmentId segment, const std::vector<SegmentId>& digest) {
  std::string content = EncodeSegmentStart(context_.node, segment, digest);
  for (const proto::LogEntry& watermark : preamble_()) {
    AppendEntry(&content, segment, watermark);
  }
  return content;
}

}  // namespace cloverbank
