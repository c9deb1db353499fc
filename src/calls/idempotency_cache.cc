#include "calls/idempotency_cache.h"

#include <utility>

namespace cloverbank {
namespace {

/// Approximate memory of an entry besides its key and its text.
constexpr std::size_t kEntryOverheadBytes = 256;

}  // namespace

KeyState IdempotencyCache::Begin(const std::string& key, std::uint64_t fingerprint, TimePoint now) {
  EvictExpired(now);
  const auto [position, inserted] = entries_.try_emplace(key);
  Entry& entry = position->second;
  if (inserted) {
    entry.fingerprint = fingerprint;
    return KeyState::kNew;
  }
  if (entry.fingerprint != fingerprint) {
    return KeyState::kMismatch;
  }
  return entry.running ? KeyState::kRunning : KeyState::kFinished;
}

const CachedResponse* IdempotencyCache::Find(const std::string& key) const {
  const auto found = entries_.find(key);
  const bool finished = found != entries_.end() && !found->second.running;
  return finished ? &found->second.response : nullptr;
}

void IdempotencyCache::Join(const std::string& key, Waiter waiter) {
  entries_.at(key).waiters.push_back(std::move(waiter));
}

void IdempotencyCache::Store(const std::string& key, CachedResponse response, TimePoint now) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  const std::vector<Waiter> waiters = std::exchange(entry.waiters, {});
  const CachedResponse full_response = response;
  if (response.answer.text().size() > options_.maximum_response_bytes) {
    response.answer.clear_text();
    response.text_cached = false;
  }
  entry.running = false;
  entry.bytes = kEntryOverheadBytes + key.size() + response.answer.text().size();
  entry.response = std::move(response);
  entry.stored_at = now;
  entry.position = finished_.insert(finished_.end(), key);
  cached_bytes_ += entry.bytes;
  while (cached_bytes_ > options_.maximum_total_bytes) {
    EvictOldest();
  }
  for (const Waiter& waiter : waiters) {
    waiter(full_response);
  }
}

void IdempotencyCache::Forget(const std::string& key, const CachedResponse& response) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return;
  }
  const std::vector<Waiter> waiters = std::exchange(found->second.waiters, {});
  entries_.erase(found);
  for (const Waiter& waiter : waiters) {
    waiter(response);
  }
}

void IdempotencyCache::EvictOldest() {
  const auto found = entries_.find(finished_.front());
  finished_.pop_front();
  cached_bytes_ -= found->second.bytes;
  entries_.erase(found);
}

void IdempotencyCache::EvictExpired(TimePoint now) {
  while (!finished_.empty() &&
         now - entries_.at(finished_.front()).stored_at >= options_.retention) {
    EvictOldest();
  }
}

}  // namespace cloverbank
