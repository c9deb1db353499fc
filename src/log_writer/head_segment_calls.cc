// The calls a head segment makes on its backups, and what their answers mean.

#include <algorithm>

#include "base/logging.h"
#include "log_writer/head_segment.h"

namespace cloverbank {
namespace {

/// Whether a refusal can not be mended by repeating the call.
bool RefusedForGood(StatusCode code) {
  switch (code) {
    case StatusCode::kInvalidArgument:
    case StatusCode::kNotFound:
    case StatusCode::kConflict:
    case StatusCode::kStaleEpoch:
    case StatusCode::kResourceExhausted:
    case StatusCode::kCorrupt:
    case StatusCode::kIoError:
    case StatusCode::kInternal:
      return true;
    default:
      return false;
  }
}

}  // namespace

void HeadSegment::Drive(Replica& replica) {
  if (replica.busy || replica.broken || replica.closed) {
    return;
  }
  if (replica.failing && context_.environment.Now() < replica.retry_at) {
    ScheduleAdvance();
    return;
  }
  if (!replica.epoch.valid()) {
    Open(replica);
  } else if (replica.synced < content_.length() ||
             (replica.copying && (replica.member || closing_))) {
    Write(replica);
  } else if (replica.member && replica.epoch != epoch_) {
    SetEpoch(replica);
  } else if (closing_) {
    CloseAt(replica);
  }
}

void HeadSegment::Open(Replica& replica) {
  const HeadEpoch epoch = open_epoch_;
  auto done = Answer(replica, [epoch](Replica& opened) { opened.epoch = epoch; });
  context_.client.OpenSegment(context_.directory.EndpointOf(replica.location), id_, epoch,
                              context_.options.segment_bytes, std::move(done));
}

void HeadSegment::Write(Replica& replica) {
  const std::uint64_t end = content_.WriteEnd(replica.synced, context_.options.write_bytes);
  const HeadEpoch epoch = replica.member ? epoch_ : replica.epoch;
  SegmentWrite write;
  write.offset = replica.synced;
  write.data = content_.bytes().substr(replica.synced, end - replica.synced);
  write.atomic_replace = replica.copying;
  // Complete copies are offered to recoveries: only members, or copies of final content, may be.
  write.replace_complete =
      replica.copying && end == content_.length() && (replica.member || closing_);
  auto done = Answer(replica, [epoch, end, complete = write.replace_complete](Replica& written) {
    written.epoch = epoch;
    written.synced = end;
    written.copying = written.copying && !complete;
  });
  context_.client.WriteSegment(context_.directory.EndpointOf(replica.location), id_, epoch,
                               std::move(write), std::move(done));
}

void HeadSegment::SetEpoch(Replica& replica) {
  auto done = Answer(replica, [epoch = epoch_](Replica& told) { told.epoch = epoch; });
  context_.client.SetSegmentEpoch(context_.directory.EndpointOf(replica.location), id_, epoch_,
                                  std::move(done));
}

void HeadSegment::CloseAt(Replica& replica) {
  auto done = Answer(replica, [](Replica& closed) { closed.closed = true; });
  context_.client.CloseSegment(context_.directory.EndpointOf(replica.location), id_,
                               content_.length(), std::move(done));
}

HeadSegment::Replica* HeadSegment::FindReplica(std::uint64_t serial) {
  const auto found = std::find_if(replicas_.begin(), replicas_.end(),
                                  [&](const Replica& replica) { return replica.serial == serial; });
  return found == replicas_.end() ? nullptr : &*found;
}

BackupClient::Done HeadSegment::Answer(Replica& replica, std::function<void(Replica&)> on_ok) {
  replica.busy = true;
  return [weak = weak_from_this(), serial = replica.serial,
          on_ok = std::move(on_ok)](const Status& status) {
    const auto self = weak.lock();
    if (self != nullptr && !self->context_.stopped) {
      self->HandleAnswer(serial, status, on_ok);
    }
  };
}

void HeadSegment::HandleAnswer(std::uint64_t serial, const Status& status,
                               const std::function<void(Replica&)>& on_ok) {
  if (status.code() == StatusCode::kFenced) {
    context_.fenced(FencedBy::kBackupOfHead, id_.ToString());
    return;
  }
  if (!status.ok()) {
    HandleFailure(serial, status);
  } else if (Replica* answered = FindReplica(serial)) {
    answered->busy = false;
    answered->failing = false;
    context_.directory.RecordSuccess(answered->location.node);
    on_ok(*answered);
  }
  Advance();
  on_progress_();
}

void HeadSegment::HandleFailure(std::uint64_t serial, const Status& status) {
  Replica* replica = FindReplica(serial);
  if (replica == nullptr) {
    return;
  }
  Log(LogLevel::kWarning, "backup_call_failed",
      {{"node", context_.node.value()},
       {"segment", id_.value()},
       {"backup", replica->location.node.value()},
       {"status", status.ToString()}});
  context_.environment.metrics().Increment("queue_backup_failures_total",
                                           {{"reason", StatusCodeName(status.code())}});
  context_.directory.RecordFailure(context_.directory.CurrentNode(replica->location));
  if (!replica->member) {
    std::erase_if(replicas_, [&](const Replica& other) { return other.serial == serial; });
    return;
  }
  replica->busy = false;
  replica->failing = true;
  replica->broken = RefusedForGood(status.code());
  replica->retry_at = context_.environment.Now() + context_.options.retry_delay;
}

}  // namespace cloverbank
