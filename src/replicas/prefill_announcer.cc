#include "replicas/prefill_announcer.h"

#include <utility>

#include "runtime/typed_peer.h"

namespace cloverbank {
namespace {

constexpr std::string_view kMethod = "gateway.NotePrefill";
/// Prompts with fewer tokens are not announced.
constexpr std::uint32_t kMinimumTokens = 300;
/// Calls that start within this time are announced in one message.
constexpr Duration kBatchingDelay = milliseconds(2);
/// An announcement that arrives later is of no use.
constexpr Duration kDeadline = milliseconds(250);

}  // namespace

PrefillAnnouncer::PrefillAnnouncer(Environment& environment, Neighbours neighbours,
                                   AnnouncementHandler on_announcement)
    : environment_(environment),
      neighbours_(std::move(neighbours)),
      on_announcement_(std::move(on_announcement)) {
  ServePeer<proto::ReportPrefillRequest, proto::ReportPrefillResponse>(
      environment_, kMethod,
      [this, alive = std::weak_ptr<bool>(alive_)](
          const proto::ReportPrefillRequest& request, const std::string&,
          const std::function<void(Result<proto::ReportPrefillResponse>)>& reply) {
        if (!alive.expired()) {
          for (const proto::PrefillStart& start : request.starts()) {
            on_announcement_(start.replica(), start.tokens(), start.key());
          }
        }
        reply(proto::ReportPrefillResponse());
      });
}

PrefillAnnouncer::~PrefillAnnouncer() { environment_.CancelTimer(timer_); }

void PrefillAnnouncer::Announce(const std::string& replica, std::uint32_t tokens,
                                std::uint64_t key) {
  if (tokens < kMinimumTokens) {
    return;
  }
  proto::PrefillStart* start = pending_.add_starts();
  start->set_replica(replica);
  start->set_tokens(tokens);
  start->set_key(key);
  if (timer_ == 0) {
    timer_ = environment_.ScheduleAfter(kBatchingDelay, [this] {
      timer_ = 0;
      Send();
    });
  }
}

void PrefillAnnouncer::Send() {
  const proto::ReportPrefillRequest request = std::exchange(pending_, {});
  for (const Endpoint& neighbour : neighbours_()) {
    CallPeer<proto::ReportPrefillResponse>(environment_, neighbour, kMethod, request, kDeadline,
                                           [](const Result<proto::ReportPrefillResponse>&) {});
  }
}

}  // namespace cloverbank
