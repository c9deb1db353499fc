#include "token_quota/token_allowance.h"

#include <algorithm>

namespace cloverbank {

void TokenAllowance::RecordGrant(std::uint64_t tokens) {
  if (max_open_tokens_) {
    *max_open_tokens_ += tokens;
  }
}

std::uint64_t TokenAllowance::Remaining(std::uint64_t open) const {
  const std::uint64_t max_open = max_open_tokens_.value_or(0);
  return max_open - std::min(max_open, open);
}

void TokenAllowances::Drop(PartitionId partition) {
  std::erase_if(allowances_,
                [partition](const auto& entry) { return entry.first.partition == partition; });
}

}  // namespace cloverbank
