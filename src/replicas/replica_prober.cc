#include "replicas/replica_prober.h"

#include <algorithm>
#include <utility>

namespace cloverbank {
namespace {

constexpr int kFirstServerError = 500;
constexpr Duration kIdleGap = milliseconds(100);

}  // namespace

ReplicaProber::ReplicaProber(Environment& environment, HttpClient& client, ProbeOptions options,
                             ResultHandler on_result)
    : environment_(environment),
      client_(client),
      options_(std::move(options)),
      on_result_(std::move(on_result)) {}

ReplicaProber::~ReplicaProber() {
  environment_.CancelTimer(timer_);
  for (const auto& [id, call] : running_) {
    call->Cancel();
  }
}

void ReplicaProber::Start() { Tick(); }

void ReplicaProber::SetTargets(const std::vector<Target>& targets,
                               const std::vector<std::string>& urgent) {
  std::map<std::string, Target> new_targets;
  for (const Target& target : targets) {
    new_targets.emplace(target.id, target);
    if (!targets_.contains(target.id)) {
      round_.push_back(target.id);
    }
  }
  targets_ = std::move(new_targets);
  const auto not_a_target = [this](const std::string& id) { return !targets_.contains(id); };
  std::erase_if(round_, not_a_target);
  std::erase_if(urgent_, not_a_target);
  for (const std::string& id : urgent) {
    AddUrgent(id);
  }
}

void ReplicaProber::AddUrgent(const std::string& id) {
  const bool queued = std::find(urgent_.begin(), urgent_.end(), id) != urgent_.end();
  if (targets_.contains(id) && !queued) {
    urgent_.push_back(id);
  }
}

void ReplicaProber::RepeatSoon(const std::string& id) {
  const std::weak_ptr<bool> alive = alive_;
  environment_.ScheduleAfter(options_.slow_start_interval, [this, alive, id] {
    if (!alive.expired() && !running_.contains(id)) {
      AddUrgent(id);
    }
  });
}

void ReplicaProber::Tick() {
  // Urgent probes are repeated while replicas are in slow start, so they must not take every tick:
  // when the regular round is due, it gets every other tick.
  const bool round_due = !round_.empty() && environment_.Now() >= next_in_round_;
  const bool urgent_turn = !urgent_.empty() && !(round_due && last_was_urgent_);
  last_was_urgent_ = urgent_turn;
  if (urgent_turn) {
    const std::string id = std::move(urgent_.front());
    urgent_.pop_front();
    Probe(targets_.at(id));
  } else if (round_due) {
    next_in_round_ = environment_.Now() + RoundGap();
    const std::string id = round_.front();
    round_.pop_front();
    round_.push_back(id);
    if (!running_.contains(id)) {
      Probe(targets_.at(id));
    }
  }
  timer_ = environment_.ScheduleAfter(Gap(), [this] { Tick(); });
}

Duration ReplicaProber::RoundGap() const {
  const Duration even_gap = options_.interval / static_cast<std::int64_t>(round_.size());
  return std::max(options_.minimum_gap, std::min(even_gap, kIdleGap * 10));
}

Duration ReplicaProber::Gap() const {
  if (!urgent_.empty()) {
    return options_.minimum_gap;
  }
  if (round_.empty()) {
    return kIdleGap;
  }
  return std::max(options_.minimum_gap, next_in_round_ - environment_.Now());
}

void ReplicaProber::Probe(const Target& target) {
  HttpRequest request;
  request.method = "GET";
  request.path = options_.path;
  const std::weak_ptr<bool> alive = alive_;
  const std::string id = target.id;
  const std::string instance_id = target.instance_id;
  if (const auto previous = running_.find(id); previous != running_.end()) {
    previous->second->Cancel();  // Its target may be an earlier instance of the replica.
  }
  running_[id] = client_.Call(target.endpoint, std::move(request), options_.deadline,
                              [this, alive, id, instance_id](const HttpOutcome& outcome) {
                                if (alive.expired()) {
                                  return;
                                }
                                running_.erase(id);
                                const bool healthy = outcome.kind == HttpOutcomeKind::kAnswered &&
                                                     outcome.response.status < kFirstServerError;
                                environment_.metrics().Increment(
                                    "gateway_probes_total", {{"result", healthy ? "good" : "bad"}});
                                on_result_(id, instance_id, healthy, outcome.response.headers);
                              });
}

}  // namespace cloverbank
