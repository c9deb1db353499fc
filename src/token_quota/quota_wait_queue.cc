#include "token_quota/quota_wait_queue.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace cloverbank {

void QuotaWaitQueue::Enter(const std::string& batch, std::uint64_t tokens) {
  const auto found = by_batch_.find(batch);
  if (found != by_batch_.end()) {
    found->second->position_expires_at.reset();
    return;
  }
  entries_.push_back({batch, tokens, ++last_position_, std::nullopt});
  by_batch_[batch] = std::prev(entries_.end());
  requested_ += tokens;
}

void QuotaWaitQueue::KeepPositionUntil(const std::string& batch, TimePoint until) {
  const auto found = by_batch_.find(batch);
  if (found != by_batch_.end()) {
    found->second->position_expires_at = until;
  }
}

void QuotaWaitQueue::Leave(const std::string& batch) {
  const auto found = by_batch_.find(batch);
  if (found == by_batch_.end()) {
    return;
  }
  // The batch uses the tokens reserved for itself, not those reserved for batches ahead of it.
  const std::uint64_t for_others = std::min(reserved_, TokensBefore(batch));
  const std::uint64_t tokens = found->second->tokens;
  reserved_ = std::max(for_others, reserved_ - std::min(reserved_, tokens));
  Remove(found->second);
}

void QuotaWaitQueue::Remove(std::list<Entry>::iterator entry) {
  requested_ -= entry->tokens;
  reserved_ = std::min(reserved_, requested_);
  by_batch_.erase(entry->batch);
  entries_.erase(entry);
}

void QuotaWaitQueue::RecordFreed(std::uint64_t tokens) {
  reserved_ += std::min(tokens, requested_ - reserved_);
}

std::uint64_t QuotaWaitQueue::ReservedBefore(const std::string& batch) const {
  std::uint64_t waiting_tokens = 0;
  for (const Entry& entry : entries_) {
    if (entry.batch == batch) {
      break;
    }
    waiting_tokens += entry.position_expires_at ? 0 : entry.tokens;
  }
  return std::min(reserved_, waiting_tokens);
}

void QuotaWaitQueue::DropExpired(TimePoint now) {
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const auto next = std::next(entry);
    if (entry->position_expires_at && *entry->position_expires_at < now) {
      Remove(entry);
    }
    entry = next;
  }
}

std::uint64_t QuotaWaitQueue::TokensBefore(const std::string& batch) const {
  std::uint64_t tokens = 0;
  for (const Entry& entry : entries_) {
    if (entry.batch == batch) {
      break;
    }
    tokens += entry.tokens;
  }
  return tokens;
}

std::uint64_t QuotaWaitQueue::FindPosition(const std::string& batch) const {
  const auto found = by_batch_.find(batch);
  return found == by_batch_.end() ? std::numeric_limits<std::uint64_t>::max()
                                  : found->second->position;
}

}  // namespace cloverbank
