#include "queue/token_ledger.h"

#include <algorithm>

namespace cloverbank {

bool TokenLedger::TakeHolder(Place& place, NodeId holder) {
  if (place.past_holders.contains(holder)) {
    return false;
  }
  if (place.holder.valid() && place.holder != holder) {
    place.past_holders.insert(place.holder);
  }
  place.holder = holder;
  return true;
}

bool TokenLedger::Count::Settles(const Grant& grant) const {
  // What an earlier owner logged is in the partition that the present one recovered.
  return grant.holder != holder ||
         (grant.sequence < settled_below && !pending.contains(grant.sequence));
}

void TokenLedger::AddGrant(const Grant& grant) {
  TakeHolder(places_[grant.partition], grant.holder);
  grants_.push_back(grant);
}

void TokenLedger::TakeCount(const Count& count) {
  Place& place = places_[count.partition];
  if (!TakeHolder(place, count.holder)) {
    return;
  }
  place.counted = count.tokens;
  std::erase_if(grants_, [&count](const Grant& grant) {
    return grant.partition == count.partition && count.Settles(grant);
  });
}

bool TokenLedger::Complete(std::uint32_t partition_count) const {
  const auto counted = std::count_if(places_.begin(), places_.end(), [](const auto& entry) {
    return entry.second.counted.has_value();
  });
  return counted >= static_cast<std::ptrdiff_t>(partition_count);
}

std::uint64_t TokenLedger::UpperBound() const {
  std::uint64_t sum = 0;
  for (const auto& [partition, place] : places_) {
    sum += place.counted.value_or(0);
  }
  for (const Grant& grant : grants_) {
    sum += grant.tokens;
  }
  return sum;
}

}  // namespace cloverbank
