#include "log_writer/segment_log.h"

#include <set>

#include "base/checksum.h"
#include "base/logging.h"
#include "log_format/segment_format.h"

namespace cloverbank {
namespace {

/// How often waiting appends, the lease and repairs are looked at without any other cause.
constexpr Duration kTick = milliseconds(100);
/// Least time between roll-overs that are made only to move the head to better backups.
constexpr Duration kEarlyRollInterval = seconds(2);
/// Share of a segment that is used when its successor is opened, in percent.
constexpr std::uint64_t kOpenSuccessorPercent = 75;

}  // namespace

SegmentLog::SegmentLog(Environment& environment, NodeAgent& agent, SegmentLogOptions options,
                       Preamble preamble, std::function<void(const std::string&)> on_fenced)
    : context_{environment,
               agent,
               options,
               agent.node_id(),
               BackupClient(environment, agent.node_id(), options.call_deadline),
               BackupClient(environment, agent.node_id(), options.bulk_deadline),
               BackupDirectory(environment, agent, options.failure_memory),
               false,
               [this](const std::string& reason) { Fence(reason); }},
      preamble_(std::move(preamble)),
      on_fenced_(std::move(on_fenced)),
      repairer_(std::make_shared<SegmentRepairer>(context_)) {}

SegmentLog::~SegmentLog() {
  context_.stopped = true;
  context_.environment.CancelTimer(timer_);
}

void SegmentLog::Start() {
  const SegmentId first(1);
  head_ = std::make_shared<HeadSegment>(context_, first, FirstContent(first, {first}),
                                        [this] { Advance(); });
  head_->AllowCommit();
  Tick();
}

std::string SegmentLog::FirstContent(SegmentId segment, const std::vector<SegmentId>& digest) {
  std::string content;
  proto::LogEntry header;
  header.mutable_segment_header()->set_node_id(context_.node.value());
  header.mutable_segment_header()->set_segment_id(segment.value());
  AppendEntry(&content, segment, header);
  proto::LogEntry digest_entry;
  for (const SegmentId live : digest) {
    digest_entry.mutable_log_digest()->add_segment_ids(live.value());
  }
  AppendEntry(&content, segment, digest_entry);
  for (const proto::LogEntry& watermark : preamble_()) {
    AppendEntry(&content, segment, watermark);
  }
  return content;
}

Status SegmentLog::Accepting() const {
  if (context_.stopped) {
    return {StatusCode::kUnavailable, "this queue node's life has ended"};
  }
  if (!ready()) {
    return {StatusCode::kUnavailable, "the log is not open yet"};
  }
  if (!head_->healthy()) {
    return {StatusCode::kUnavailable, "fewer backups answer than the minimum of copies"};
  }
  if (waiting_bytes_ > context_.options.waiting_bytes) {
    return {StatusCode::kResourceExhausted, "too much waits to be logged"};
  }
  return Status::Ok();
}

void SegmentLog::Append(std::vector<proto::LogEntry> entries, Done done) {
  if (Status status = Accepting(); !status.ok()) {
    Later(std::move(done), std::move(status));
    return;
  }
  WaitingAppend waiting;
  for (const proto::LogEntry& entry : entries) {
    const std::uint64_t bytes = FramedEntryBytes(entry);
    if (bytes > largest_entry()) {
      Later(std::move(done), {StatusCode::kInvalidArgument, "entry is too large for the log"});
      return;
    }
    waiting.bytes += bytes;
  }
  waiting.entries = std::move(entries);
  waiting.since = context_.environment.Now();
  waiting.done = std::move(done);
  waiting_bytes_ += waiting.bytes;
  waiting_.push_back(std::move(waiting));
  Advance();
}

void SegmentLog::Later(Done done, Status status) {
  context_.environment.ScheduleAfter(
      Duration::zero(), [done = std::move(done), status = std::move(status)] { done(status); });
}

void SegmentLog::Advance() {
  pump_again_ = true;
  if (pumping_) {
    return;
  }
  pumping_ = true;
  while (pump_again_ && !context_.stopped) {
    pump_again_ = false;
    AdvanceOnce();
  }
  pumping_ = false;
}

void SegmentLog::AdvanceOnce() {
  if (head_ == nullptr) {
    return;
  }
  Roll();
  if (!context_.stopped) {
    Place();
    Acknowledge();
  }
}

void SegmentLog::Place() {
  bool placed_any = false;
  while (!waiting_.empty() && !rolling_ && head_->healthy()) {
    WaitingAppend& waiting = waiting_.front();
    if (!AppendNext(waiting)) {
      rolling_ = true;
      pump_again_ = true;
      break;
    }
    placed_any = true;
    if (waiting.next == waiting.entries.size()) {
      waiting_bytes_ -= waiting.bytes;
      placed_.push_back({head_->id(), head_->length(), std::move(waiting.done)});
      waiting_.pop_front();
    }
  }
  if (placed_any) {
    head_->Advance();
  }
}

bool SegmentLog::AppendNext(WaitingAppend& waiting) {
  while (waiting.next < waiting.entries.size()) {
    proto::LogEntry& entry = waiting.entries[waiting.next];
    if (!head_->Fits(FramedEntryBytes(entry))) {
      return false;
    }
    head_->Append(entry);
    usage_.AddEntry(head_->id(), entry);
    ++waiting.next;
  }
  return true;
}

bool SegmentLog::IsDurable(const PositionedAppend& placed) const {
  // A segment before the head was drained before it was closed.
  return placed.segment < head_->id() || placed.end <= head_->held();
}

void SegmentLog::Acknowledge() {
  while (!context_.stopped && !placed_.empty() && IsDurable(placed_.front()) &&
         context_.agent.LeaseValid()) {
    const Done done = std::move(placed_.front().done);
    placed_.pop_front();
    done(Status::Ok());
  }
}

void SegmentLog::RefuseOverdue() {
  // An append of which a part is in a segment already can only be held or end with this life.
  const std::size_t begun = waiting_.empty() || waiting_.front().next == 0 ? 0 : 1;
  const TimePoint now = context_.environment.Now();
  while (!context_.stopped && waiting_.size() > begun &&
         now - waiting_[begun].since >= context_.options.refuse_after) {
    const Done done = std::move(waiting_[begun].done);
    waiting_bytes_ -= waiting_[begun].bytes;
    waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(begun));
    done(Status(StatusCode::kUnavailable, "the backups took too long; nothing was written"));
  }
}

bool SegmentLog::ShouldRollEarly() const {
  if (context_.environment.Now() - rolled_at_ < kEarlyRollInterval) {
    return false;
  }
  std::set<NodeId> members;
  std::size_t spares = 0;
  std::size_t retiring = 0;
  for (const ReplicaLocation& location : head_->locations()) {
    const proto::Server* server = context_.directory.Current(location);
    if (server != nullptr) {
      members.insert(NodeId(server->node_id()));
      retiring += AcceptsNewSegments(*server) ? 0 : 1;
      spares += server->spare() ? 1 : 0;
    }
  }
  std::size_t other_regular = 0;
  std::size_t others = 0;
  for (const auto& [id, server] : context_.agent.fleet().servers) {
    if (AcceptsNewSegments(server) && !members.contains(id)) {
      ++others;
      other_regular += server.spare() ? 0 : 1;
    }
  }
  return (spares > 0 && other_regular > 0) || (retiring > 0 && others > 0);
}

void SegmentLog::Roll() {
  if (!head_->committed()) {
    return;
  }
  const bool nearly_full =
      head_->length() * 100 >= context_.options.segment_bytes * kOpenSuccessorPercent;
  early_roll_ = early_roll_ || ShouldRollEarly();
  if (successor_ == nullptr && (rolling_ || nearly_full || early_roll_)) {
    OpenSuccessor();
  }
  if (successor_ == nullptr || !successor_->opened()) {
    return;
  }
  rolling_ = rolling_ || early_roll_;
  if (!rolling_) {
    return;
  }
  if (!head_->closing() && head_->drained()) {
    head_->Close();
  }
  if (head_->closed() && !successor_->committed()) {
    successor_->AllowCommit();
  }
  if (head_->closed() && successor_->committed()) {
    AdoptSuccessor();
  }
}

void SegmentLog::OpenSuccessor() {
  const SegmentId id = head_->id().Next();
  std::vector<SegmentId> digest;
  freed_by_successor_.clear();
  for (const auto& [closed, segment] : repairer_->segments()) {
    (usage_.IsDead(closed) ? freed_by_successor_ : digest).push_back(closed);
  }
  digest.push_back(head_->id());
  digest.push_back(id);
  successor_ =
      std::make_shared<HeadSegment>(context_, id, FirstContent(id, digest), [this] { Advance(); });
  successor_->Advance();
}

void SegmentLog::AdoptSuccessor() {
  ClosedSegment closed;
  closed.id = head_->id();
  closed.epoch = head_->highest_epoch();
  closed.length = head_->length();
  closed.checksum = Checksum(head_->content());
  closed.locations = head_->locations();
  repairer_->Add(std::move(closed));
  for (const SegmentId freed : freed_by_successor_) {
    repairer_->Free(freed);
    usage_.Forget(freed);
  }
  freed_by_successor_.clear();
  head_ = std::move(successor_);
  successor_ = nullptr;
  rolling_ = false;
  early_roll_ = false;
  rolled_at_ = context_.environment.Now();
  Log(LogLevel::kInfo, "segment_opened",
      {{"node", context_.node.value()},
       {"segment", head_->id().value()},
       {"live_segments", live_segments()}});
  repairer_->Advance();
  pump_again_ = true;
}

std::size_t SegmentLog::live_segments() const {
  return repairer_->segments().size() + (head_ == nullptr ? 0 : 1);
}

bool SegmentLog::degraded() const {
  return head_ == nullptr || !head_->whole() || repairer_->degraded();
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
  timer_ = context_.environment.ScheduleAfter(kTick, [this] {
    timer_ = 0;
    if (context_.stopped) {
      return;
    }
    RefuseOverdue();
    OnFleet();
    if (!context_.stopped && head_ != nullptr) {
      repairer_->Audit(head_->id());
    }
    if (!context_.stopped) {
      Tick();
    }
  });
}

void SegmentLog::Fence(const std::string& reason) {
  if (context_.stopped) {
    return;
  }
  Stop();
  on_fenced_(reason);
}

void SegmentLog::Stop() {
  context_.stopped = true;
  context_.environment.CancelTimer(timer_);
  timer_ = 0;
  const Status unknown(StatusCode::kUnknownOutcome,
                       "this queue node's life ended before the entry was held");
  for (PositionedAppend& placed : placed_) {
    Later(std::move(placed.done), unknown);
  }
  placed_.clear();
  for (WaitingAppend& waiting : waiting_) {
    Later(std::move(waiting.done), unknown);
  }
  waiting_.clear();
}

}  // namespace cloverbank
