#include "queue/token_ledger.h"

namespace cloverbank {

void TokenLedger::TakeCount(const Count& count) {
  Counted& counted = counted_[count.partition];
  if (count.holder < counted.holder) {
    return;  // Of an owner that has been replaced meanwhile.
  }
  counted = {count.holder, count.tokens};
  // What an earlier owner logged is in the partition that the present one recovered.
  std::erase_if(grants_, [&count](const Grant& grant) {
    const bool settled = grant.holder < count.holder || grant.sequence < count.settled_below;
    return grant.partition == count.partition && grant.holder <= count.holder && settled;
  });
}

std::uint64_t TokenLedger::UpperBound() const {
  std::uint64_t sum = 0;
  for (const auto& [partition, counted] : counted_) {
    sum += counted.tokens;
  }
  for (const Grant& grant : grants_) {
    sum += grant.tokens;
  }
  return sum;
}

}  // namespace cloverbank
