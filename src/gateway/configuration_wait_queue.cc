#include "gateway/configuration_wait_queue.h"

#include <algorithm>
#include <utility>

namespace cloverbank {

ConfigurationWaitQueue::ConfigurationWaitQueue(Environment& environment, TimeoutHandler on_timeout)
    : environment_(environment), on_timeout_(std::move(on_timeout)) {}

ConfigurationWaitQueue::~ConfigurationWaitQueue() { (void)TakeAll(); }

void ConfigurationWaitQueue::Add(IncomingCall call, const Responder& responder, Duration wait,
                                 Duration timeout) {
  const std::uint64_t number = next_number_++;
  Entry entry;
  entry.number = number;
  entry.call = std::move(call);
  entry.responder = responder;
  entry.deadline = environment_.Now() + timeout;
  entry.timer = environment_.ScheduleAfter(wait, [this, number] { HandleTimeout(number); });
  entries_.push_back(std::move(entry));
  environment_.metrics().Increment("gateway_calls_waited_for_control_total");
  responder->OnDisconnect([this, number, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      (void)Remove(number);
    }
  });
}

std::list<ConfigurationWaitQueue::Entry> ConfigurationWaitQueue::TakeAll() {
  for (const Entry& entry : entries_) {
    environment_.CancelTimer(entry.timer);
  }
  return std::exchange(entries_, {});
}

void ConfigurationWaitQueue::HandleTimeout(std::uint64_t number) {
  if (const Responder responder = Remove(number)) {
    on_timeout_(*responder);
  }
}

ConfigurationWaitQueue::Responder ConfigurationWaitQueue::Remove(std::uint64_t number) {
  const auto entry = std::find_if(entries_.begin(), entries_.end(), [number](const Entry& waiting) {
    return waiting.number == number;
  });
  if (entry == entries_.end()) {
    return nullptr;
  }
  Responder responder = std::move(entry->responder);
  environment_.CancelTimer(entry->timer);
  entries_.erase(entry);
  return responder;
}

}  // namespace cloverbank
