#include "backup/scrubber.h"

#include <algorithm>

#include "backup/corrupt_replica.h"
#include "backup/replica_reader.h"

namespace cloverbank {

Scrubber::Scrubber(Environment& environment, DataFolder& folder, SegmentStore& store,
                   Duration interval)
    : environment_(environment), folder_(folder), store_(store), interval_(interval) {}

Scrubber::~Scrubber() { environment_.CancelTimer(timer_); }

void Scrubber::Start() {
  timer_ = environment_.ScheduleAfter(interval_, [this] {
    ScrubNext();
    Start();
  });
}

void Scrubber::ScrubNext() {
  const auto& replicas = store_.replicas();
  const auto should_scrub = [](const auto& entry) {
    return !entry.second.IsOpen() && !entry.second.corrupt;
  };
  auto next = std::find_if(replicas.upper_bound(last_scrubbed_), replicas.end(), should_scrub);
  if (next == replicas.end()) {
    next = std::find_if(replicas.begin(), replicas.end(), should_scrub);
  }
  if (next == replicas.end()) {
    return;
  }
  last_scrubbed_ = next->first;
  const Result<std::string> bytes = ReadReplica(folder_, next->second);
  environment_.metrics().Increment("backup_scrubbed_replicas_total");
  if (!bytes.ok()) {
    DropCorruptReplica(environment_, store_, last_scrubbed_, CorruptionFoundBy::kScrub,
                       bytes.status());
  }
}

}  // namespace cloverbank
