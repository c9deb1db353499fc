#include "coordinator/leader_session.h"

#include <utility>

#include "base/logging.h"

namespace cloverbank {
namespace {

/// A longer gap than this between two ticks means that this process was frozen or got no processor
/// time.
constexpr Duration kTickGapLimit = seconds(1);

}  // namespace

LeaderSession::LeaderSession(LeaderContext& context, CommandProposer& proposer,
                             LeaderController& leader_controller,
                             std::function<void()> on_begin_term)
    : context_(context),
      proposer_(proposer),
      leader_controller_(leader_controller),
      on_begin_term_(std::move(on_begin_term)) {}

void LeaderSession::BeginTerm() {
  const TimePoint now = context_.environment.Now();
  Log(LogLevel::kInfo, "coordinator_became_leader", {{"term", context_.log.term()}});
  leading_ = true;
  term_ = context_.log.term();
  last_ready_tick_ = now;
  context_.leases.Start(now, context_.state.servers().next_node_id());
  context_.detector.Start(now);
  context_.pending_deaths.clear();
  context_.unresponsive.clear();
  context_.loads.clear();
  context_.revisions.Clear();
  proposer_.Reset();
  leader_controller_.BeginTerm();
  on_begin_term_();
}

bool LeaderSession::EnsureReady() {
  if (!context_.CanAnswerRequests()) {
    return false;
  }
  if (!leading_ || term_ != context_.log.term()) {
    BeginTerm();
  }
  return true;
}

void LeaderSession::RecordTick() {
  if (!context_.CanAnswerRequests()) {
    return;
  }
  const TimePoint now = context_.environment.Now();
  const Duration gap = now - last_ready_tick_ - context_.options.tick;
  if (leading_ && gap > kTickGapLimit) {
    context_.detector.ExcludePause(gap, now);
  }
  last_ready_tick_ = now;
}

}  // namespace cloverbank
