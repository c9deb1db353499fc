// The calls that a head segment makes to its backups, and the handling of their responses.

#include <algorithm>

#include "base/logging.h"
#include "log_writer/head_segment.h"

namespace cloverbank {
namespace {

/// Whether a retry of a call that a backup refused with `code` cannot succeed.
bool IsPermanentRefusal(StatusCode code) {
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

void HeadSegment::StartNextCall(Replica& replica) {
  if (replica.busy || replica.refused || replica.closed) {
    return;
  }
  if (replica.failing && context_.environment.Now() < replica.retry_at) {
    ScheduleAdvance();
    return;
  }
  if (!replica.epoch.valid()) {
    OpenReplica(replica);
  } else if (replica.synced < content_.length() ||
             (replica.hidden && (replica.member || closing_))) {
    WriteReplica(replica);
  } else if (replica.member && replica.epoch != epoch_) {
    SetReplicaEpoch(replica);
  } else if (closing_) {
    CloseReplica(replica);
  }
}

void HeadSegment::OpenReplica(Replica& replica) {
  const HeadEpoch epoch = open_epoch_;
  auto done = MakeAnswerHandler(replica, [epoch](Replica& opened) { opened.epoch = epoch; });
  context_.client.OpenSegment(context_.directory.GetEndpoint(replica.location), id_, epoch,
                              context_.options.segment_bytes, std::move(done));
}

void HeadSegment::WriteReplica(Replica& replica) {
  const std::uint64_t end = content_.FindWriteEnd(replica.synced, context_.options.write_bytes);
  const HeadEpoch epoch = replica.member ? epoch_ : replica.epoch;
  SegmentWrite write;
  write.offset = replica.synced;
  write.data = content_.bytes().substr(replica.synced, end - replica.synced);
  write.atomic_replace = replica.hidden;
  // Backups offer a complete replica to recoveries. Therefore only a member, or a replica that gets
  // the final content, may become complete.
  write.replace_complete =
      replica.hidden && end == content_.length() && (replica.member || closing_);
  auto done =
      MakeAnswerHandler(replica, [epoch, end, complete = write.replace_complete](Replica& written) {
        written.epoch = epoch;
        written.synced = end;
        written.hidden = written.hidden && !complete;
      });
  context_.client.WriteSegment(context_.directory.GetEndpoint(replica.location), id_, epoch,
                               std::move(write), std::move(done));
}

void HeadSegment::SetReplicaEpoch(Replica& replica) {
  auto done =
      MakeAnswerHandler(replica, [epoch = epoch_](Replica& updated) { updated.epoch = epoch; });
  context_.client.SetSegmentEpoch(context_.directory.GetEndpoint(replica.location), id_, epoch_,
                                  std::move(done));
}

void HeadSegment::CloseReplica(Replica& replica) {
  auto done = MakeAnswerHandler(replica, [](Replica& closed) { closed.closed = true; });
  context_.client.CloseSegment(context_.directory.GetEndpoint(replica.location), id_,
                               content_.length(), std::move(done));
}

HeadSegment::Replica* HeadSegment::FindReplica(std::uint64_t replica_number) {
  const auto found = std::find_if(replicas_.begin(), replicas_.end(), [&](const Replica& replica) {
    return replica.number == replica_number;
  });
  return found == replicas_.end() ? nullptr : &*found;
}

BackupClient::Done HeadSegment::MakeAnswerHandler(Replica& replica,
                                                  std::function<void(Replica&)> on_ok) {
  replica.busy = true;
  return [weak = weak_from_this(), replica_number = replica.number,
          on_ok = std::move(on_ok)](const Status& status) {
    const auto self = weak.lock();
    if (self != nullptr && !self->context_.stopped) {
      self->HandleAnswer(replica_number, status, on_ok);
    }
  };
}

void HeadSegment::HandleAnswer(std::uint64_t replica_number, const Status& status,
                               const std::function<void(Replica&)>& on_ok) {
  if (status.code() == StatusCode::kFenced) {
    context_.on_fenced(FencedBy::kBackupOfHead, id_.ToString());
    return;
  }
  if (!status.ok()) {
    HandleFailure(replica_number, status);
  } else if (Replica* answered = FindReplica(replica_number)) {
    answered->busy = false;
    answered->failing = false;
    context_.directory.RecordSuccess(answered->location.node);
    on_ok(*answered);
  }
  Advance();
  on_progress_();
}

void HeadSegment::HandleFailure(std::uint64_t replica_number, const Status& status) {
  Replica* replica = FindReplica(replica_number);
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
  context_.directory.RecordFailure(context_.directory.GetCurrentNode(replica->location));
  if (!replica->member) {
    std::erase_if(replicas_, [&](const Replica& other) { return other.number == replica_number; });
    return;
  }
  replica->busy = false;
  replica->failing = true;
  replica->refused = IsPermanentRefusal(status.code());
  replica->retry_at = context_.environment.Now() + context_.options.retry_delay;
}

}  // namespace cloverbank
