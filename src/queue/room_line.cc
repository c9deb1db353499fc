#include "queue/room_line.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace cloverbank {

void RoomLine::Enter(const std::string& batch, std::uint64_t tokens) {
  const auto found = by_batch_.find(batch);
  if (found != by_batch_.end()) {
    found->second->kept_until.reset();
    return;
  }
  places_.push_back({batch, tokens, ++last_position_, std::nullopt});
  by_batch_[batch] = std::prev(places_.end());
  wanted_ += tokens;
}

void RoomLine::KeepUntil(const std::string& batch, TimePoint until) {
  const auto found = by_batch_.find(batch);
  if (found != by_batch_.end()) {
    found->second->kept_until = until;
  }
}

void RoomLine::Leave(const std::string& batch) {
  const auto found = by_batch_.find(batch);
  if (found == by_batch_.end()) {
    return;
  }
  // It took what was kept for it, not what is kept for those before it.
  const std::uint64_t for_others = std::min(kept_, TokensBefore(batch));
  const std::uint64_t tokens = found->second->tokens;
  kept_ = std::max(for_others, kept_ - std::min(kept_, tokens));
  Remove(found->second);
}

void RoomLine::Remove(std::list<Place>::iterator place) {
  wanted_ -= place->tokens;
  kept_ = std::min(kept_, wanted_);
  by_batch_.erase(place->batch);
  places_.erase(place);
}

void RoomLine::NoteFreed(std::uint64_t tokens) { kept_ += std::min(tokens, wanted_ - kept_); }

std::uint64_t RoomLine::KeptBefore(const std::string& batch) const {
  std::uint64_t present = 0;
  for (const Place& place : places_) {
    if (place.batch == batch) {
      break;
    }
    present += place.kept_until ? 0 : place.tokens;
  }
  return std::min(kept_, present);
}

void RoomLine::DropOverdue(TimePoint now) {
  for (auto place = places_.begin(); place != places_.end();) {
    const auto next = std::next(place);
    if (place->kept_until && *place->kept_until < now) {
      Remove(place);
    }
    place = next;
  }
}

std::uint64_t RoomLine::TokensBefore(const std::string& batch) const {
  std::uint64_t tokens = 0;
  for (const Place& place : places_) {
    if (place.batch == batch) {
      break;
    }
    tokens += place.tokens;
  }
  return tokens;
}

std::uint64_t RoomLine::PositionOf(const std::string& batch) const {
  const auto found = by_batch_.find(batch);
  return found == by_batch_.end() ? std::numeric_limits<std::uint64_t>::max()
                                  : found->second->position;
}

}  // namespace cloverbank
