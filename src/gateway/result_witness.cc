#include "gateway/result_witness.h"

#include <algorithm>

#include "base/checksum.h"

namespace cloverbank {

std::string_view ContradictionKindName(ContradictionKind kind) {
  switch (kind) {
    case ContradictionKind::kChanged:
      return "changed";
    case ContradictionKind::kMoved:
      return "moved";
    case ContradictionKind::kMissing:
      return "missing";
  }
  return "changed";
}

std::uint64_t ResultWitness::CountShown(const WitnessedBatch& batch) const {
  const auto found = batches_.find(batch);
  return found == batches_.end() ? 0 : found->second.positions.size();
}

std::optional<ResultContradiction> ResultWitness::Record(const WitnessedBatch& batch,
                                                         const ShownPage& page,
                                                         std::uint64_t shown_before) {
  std::vector<Position>& known = Touch(batch).positions;
  std::optional<ResultContradiction> first;
  std::uint64_t position = page.position;
  for (const ShownResult& result : page.results) {
    if (position > known.size()) {
      return first;  // What lies between was not shown here, so there is nothing to compare with.
    }
    const Position shown = MakePosition(result, page.owner);
    const std::optional<ResultContradiction> found = Compare(known, position, shown);
    first = first ? first : found;
    if (position == known.size()) {
      known.push_back(shown);
    }
    ++position;
  }
  const bool shown_position_is_empty =
      page.results.empty() && page.position < shown_before && page.position < known.size();
  if (!first && shown_position_is_empty) {
    first = {ContradictionKind::kMissing, page.position, page.position, known[page.position].owner};
  }
  return first;
}

std::optional<ResultContradiction> ResultWitness::Compare(const std::vector<Position>& known,
                                                          std::uint64_t position,
                                                          const Position& shown) {
  if (position < known.size()) {
    const Position& earlier = known[position];
    if (earlier.item == shown.item && earlier.result == shown.result) {
      return std::nullopt;
    }
    return ResultContradiction{ContradictionKind::kChanged, position, position, earlier.owner};
  }
  const auto other = std::find_if(known.begin(), known.end(), [&shown](const Position& earlier) {
    return earlier.item == shown.item;
  });
  if (other == known.end()) {
    return std::nullopt;
  }
  const auto earlier_position = static_cast<std::uint64_t>(other - known.begin());
  return ResultContradiction{ContradictionKind::kMoved, position, earlier_position, other->owner};
}

ResultWitness::Position ResultWitness::MakePosition(const ShownResult& result,
                                                    std::uint64_t owner) {
  const std::uint64_t item = Checksum(result.item_id);
  const std::uint64_t state = Checksum(result.completed ? "completed" : "failed", item);
  return {item, Checksum(result.text, state), owner};
}

ResultWitness::Batch& ResultWitness::Touch(const WitnessedBatch& key) {
  const auto found = batches_.find(key);
  if (found != batches_.end()) {
    by_last_read_.splice(by_last_read_.begin(), by_last_read_, found->second.last_read);
    return found->second;
  }
  if (batches_.size() >= maximum_batches_) {
    batches_.erase(by_last_read_.back());
    by_last_read_.pop_back();
  }
  by_last_read_.push_front(key);
  Batch& batch = batches_[key];
  batch.last_read = by_last_read_.begin();
  return batch;
}

}  // namespace cloverbank
