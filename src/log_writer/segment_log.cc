#include "log_writer/segment_log.h"

#include "log_format/segment_format.h"

namespace cloverbank {
namespace {

/// Interval of the checks of waiting appends, the lease, repairs and audits that no event triggers.
constexpr Duration kTickInterval = milliseconds(100);

}  // namespace

SegmentLog::SegmentLog(Environment& environment, NodeAgent& agent, SegmentLogOptions options,
                       Preamble preamble, std::function<void(const std::string&)> on_fenced)
    : context_{environment,
               agent,
               options,
               agent.node_id(),
               BackupClient(environment, agent.node_id(), options.call_deadline),
               BackupClient(environment, agent.node_id(), options.bulk_deadline),
               BackupDirectory(environment, agent, options.failure_cooldown),
               false,
               [this](FencedBy source, const std::string& detail) {
                 HandleFenced(source, detail);
               }},
      preamble_(std::move(preamble)),
      on_fenced_(std::move(on_fenced)),
      repairer_(std::make_shared<SegmentRepairer>(context_)),
      audit_(std::make_shared<SegmentAudit>(context_, repairer_)) {}

SegmentLog::~SegmentLog() {
  context_.stopped = true;
  context_.environment.CancelTimer(timer_);
}

void SegmentLog::Start() {
  const SegmentId first(1);
  head_ = std::make_shared<HeadSegment>(context_, first, BuildSegmentStart(first, {first}),
                                        [this] { Advance(); });
  head_->AllowCommit();
  Tick();
}

Status SegmentLog::Accepting() const {
  if (context_.stopped) {
    return {StatusCode::kUnavailable, "this queue node's incarnation has ended"};
  }
  if (!ready()) {
    return {StatusCode::kUnavailable,
            "the log is not open yet: the coordinators have not committed its first segment"};
  }
  if (!head_->CanAppend()) {
    return {StatusCode::kUnavailable, "the head segment has " +
                                          std::to_string(head_->CountReplicas()) +
                                          " live copies; the minimum is " +
                                          std::to_string(context_.options.minimum_replicas)};
  }
  if (appends_.waiting_bytes() > context_.options.max_waiting_bytes) {
    return {StatusCode::kResourceExhausted,
            std::to_string(appends_.waiting_bytes()) +
                " bytes wait to be written to the log; the limit is " +
                std::to_string(context_.options.max_waiting_bytes)};
  }
  return Status::Ok();
}

void SegmentLog::Append(std::vector<proto::LogEntry> entries, Done done) {
  if (Status status = Accepting(); !status.ok()) {
    CompleteLater(std::move(done), std::move(status));
    return;
  }
  AppendQueue::WaitingAppend append;
  for (const proto::LogEntry& entry : entries) {
    const std::uint64_t bytes = FramedEntryBytes(entry);
    if (bytes > largest_entry()) {
      CompleteLater(std::move(done),
                    {StatusCode::kInvalidArgument, "log entry has " + std::to_string(bytes) +
                                                       " bytes; the limit is " +
                                                       std::to_string(largest_entry())});
      return;
    }
    append.bytes += bytes;
  }
  append.entries = std::move(entries);
  append.added_at = context_.environment.Now();
  append.done = std::move(done);
  appends_.Add(std::move(append));
  Advance();
}

void SegmentLog::CompleteLater(Done done, Status status) {
  context_.environment.ScheduleAfter(
      Duration::zero(), [done = std::move(done), status = std::move(status)] { done(status); });
}

void SegmentLog::Advance() {
  advance_.Run(context_.stopped, [this] { AdvanceOnce(); });
}

void SegmentLog::AdvanceOnce() {
  if (head_ == nullptr) {
    return;
  }
  AdvanceRollOver();
  if (!context_.stopped) {
    PlaceWaitingAppends();
    AcknowledgeDurableAppends();
  }
}

void SegmentLog::PlaceWaitingAppends() {
  bool placed_any = false;
  while (appends_.HasWaiting() && !rolling_over_ && head_->CanAppend()) {
    AppendQueue::WaitingAppend& append = appends_.first_waiting();
    if (!PlaceEntries(append)) {
      rolling_over_ = true;
      advance_.RequestRound();
      break;
    }
    placed_any = true;
    appends_.RecordPlaced(head_->id(), head_->length());
  }
  if (placed_any) {
    head_->Advance();
  }
}

bool SegmentLog::PlaceEntries(AppendQueue::WaitingAppend& append) {
  while (append.next_entry < append.entries.size()) {
    proto::LogEntry& entry = append.entries[append.next_entry];
    if (!head_->Fits(FramedEntryBytes(entry))) {
      return false;
    }
    head_->Append(entry);
    usage_.AddEntry(head_->id(), entry);
    ++append.next_entry;
  }
  return true;
}

void SegmentLog::AcknowledgeDurableAppends() {
  while (!context_.stopped &&
         appends_.IsOldestPlacedDurable(head_->id(), head_->durable_length()) &&
         context_.agent.HasValidLease()) {
    const Done done = appends_.TakePlaced();
    done(Status::Ok());
  }
}

void SegmentLog::RefuseOverdueAppends() {
  const std::size_t partly_placed = appends_.CountPartlyPlaced();
  const TimePoint cutoff = context_.environment.Now() - context_.options.append_timeout;
  while (!context_.stopped && appends_.IsOverdue(partly_placed, cutoff)) {
    const Done done = appends_.TakeWaiting(partly_placed);
    done(Status(StatusCode::kUnavailable,
                "the append waited too long for the backups; nothing was written"));
  }
}

std::size_t SegmentLog::live_segments() const {
  return repairer_->segments().size() + (head_ == nullptr ? 0 : 1);
}

bool SegmentLog::degraded() const {
  return head_ == nullptr || !head_->IsFullyReplicated() || repairer_->IsDegraded();
}

void SegmentLog::OnFleet() {
  if (context_.stopped || head_ == nullptr) {
    return;
  }
  head_->Advance();
  if (successor_ != nullptr) {
    successor_->Advance();
  }
  repairer_->Advance();
  Advance();
}

void SegmentLog::Tick() {
  timer_ = context_.environment.ScheduleAfter(kTickInterval, [this] {
    timer_ = 0;
    if (context_.stopped) {
      return;
    }
    RefuseOverdueAppends();
    OnFleet();
    if (!context_.stopped && head_ != nullptr) {
      audit_->Advance(head_->id());
    }
    if (!context_.stopped) {
      Tick();
    }
  });
}

void SegmentLog::HandleFenced(FencedBy source, const std::string& detail) {
  if (context_.stopped) {
    return;
  }
  Stop();
  on_fenced_(FencingReason(source, detail));
}

void SegmentLog::Stop() {
  context_.stopped = true;
  context_.environment.CancelTimer(timer_);
  timer_ = 0;
  const Status unknown(StatusCode::kUnknownOutcome,
                       "this queue node's incarnation ended before the entry was stored");
  for (Done& done : appends_.TakeAll()) {
    CompleteLater(std::move(done), unknown);
  }
}

}  // namespace cloverbank
