#include "log_writer/head_segment.h"

#include <algorithm>

#include "base/logging.h"

namespace cloverbank {

HeadSegment::HeadSegment(LogContext& context, SegmentId id, std::string content,
                         std::function<void()> on_progress)
    : context_(context),
      id_(id),
      content_(id, std::move(content), context.options.segment_bytes),
      on_progress_(std::move(on_progress)) {}

void HeadSegment::AllowCommit() {
  commit_allowed_ = true;
  Advance();
}

void HeadSegment::Close() {
  closing_ = true;
  Advance();
}

void HeadSegment::Advance() {
  advance_.Run(context_.stopped, [this] { AdvanceOnce(); });
}

void HeadSegment::AdvanceOnce() {
  UpdateReplicaSet();
  AddCandidates();
  // Iterates by index: no reference into `replicas_` may be kept across a call.
  for (std::size_t i = 0; i < replicas_.size(); ++i) {
    StartNextCall(replicas_[i]);
  }
  CommitIfReady();
  UpdateDurableLength();
}

bool HeadSegment::IsLost(const Replica& replica) const {
  return replica.failing || replica.refused ||
         context_.directory.FindBackup(replica.location) == nullptr;
}

std::size_t HeadSegment::CountReplicas() const {
  return static_cast<std::size_t>(
      std::count_if(replicas_.begin(), replicas_.end(), [this](const Replica& replica) {
        return closing_ ? replica.closed : replica.member && !IsLost(replica);
      }));
}

bool HeadSegment::CanAppend() const {
  return committed_epoch_.valid() && CountReplicas() >= context_.options.minimum_replicas;
}

bool HeadSegment::HasAllReplicas() const {
  return CountReplicas() >= context_.options.replicas &&
         std::none_of(replicas_.begin(), replicas_.end(),
                      [this](const Replica& replica) { return replica.member && IsLost(replica); });
}

bool HeadSegment::IsFullyReplicated() const { return IsSetCommitted() && HasAllReplicas(); }

bool HeadSegment::IsSetCommitted() const { return epoch_.valid() && committed_epoch_ == epoch_; }

void HeadSegment::UpdateDurableLength() {
  if (!IsSetCommitted()) {
    return;
  }
  std::uint64_t synced_by_all = content_.length();
  for (const Replica& replica : replicas_) {
    if (replica.member) {
      synced_by_all = std::min(synced_by_all, replica.synced);
    }
  }
  durable_length_ = std::max(durable_length_, synced_by_all);
}

bool HeadSegment::IsOpen() const {
  return epoch_.valid() && CountReplicas() >= context_.options.minimum_replicas &&
         AreMembersUpToDate();
}

bool HeadSegment::AreMembersUpToDate() const {
  return std::all_of(replicas_.begin(), replicas_.end(), [this](const Replica& replica) {
    return !replica.member || (replica.epoch == epoch_ && !replica.hidden);
  });
}

bool HeadSegment::IsDrained() const {
  return IsSetCommitted() && durable_length_ == content_.length();
}

bool HeadSegment::IsClosed() const {
  if (!closing_) {
    return false;
  }
  const std::size_t closed = CountReplicas();
  if (closed >= context_.options.replicas) {
    return true;
  }
  const bool may_still_close =
      std::any_of(replicas_.begin(), replicas_.end(),
                  [this](const Replica& replica) { return !replica.closed && !IsLost(replica); });
  return closed >= context_.options.minimum_replicas && !may_still_close;
}

std::vector<ReplicaLocation> HeadSegment::locations() const {
  std::vector<ReplicaLocation> locations;
  for (const Replica& replica : replicas_) {
    if (closing_ ? replica.closed : replica.member) {
      locations.push_back(replica.location);
    }
  }
  return locations;
}

void HeadSegment::ScheduleAdvance() {
  if (retry_scheduled_) {
    return;
  }
  retry_scheduled_ = true;
  context_.environment.ScheduleAfter(context_.options.retry_delay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->retry_scheduled_ = false;
      if (!self->context_.stopped) {
        self->Advance();
        self->on_progress_();
      }
    }
  });
}

}  // namespace cloverbank
