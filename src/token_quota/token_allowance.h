#pragma once
/// @file
/// Tokens that the owner of a partition may use for new batches of a route while the quota owner
/// does not answer. Pure.
///
/// Invariant: the allowance is never above the quota owner's upper bound for the partition. Both
/// start from the same count and grow by the same grants; a grant or count that only one side has
/// recorded leaves the partition's side lower. A quota owner that has failed grants nothing more,
/// and its successor counts first. So all batches accepted within allowances stay within the limit.

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/ids.h"

namespace cloverbank {

class TokenAllowance {
 public:
  /// The quota owner was sent a count of `open` tokens.
  void RecordCount(std::uint64_t open) { max_open_tokens_ = open; }
  /// The quota owner granted so many more, its extra allowance included.
  void RecordGrant(std::uint64_t tokens);
  /// @return the tokens that may be used beyond the `open` ones; 0 before the first count.
  std::uint64_t Remaining(std::uint64_t open) const;

 private:
  std::optional<std::uint64_t> max_open_tokens_;
};

/// A route as used by one tenant in one partition.
struct AllowanceKey {
  PartitionId partition;
  std::string tenant;
  std::string route;
  // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the defaulted comparison.
  auto operator<=>(const AllowanceKey&) const = default;
};

/// The allowances of all routes at a queue node's partitions.
class TokenAllowances {
 public:
  TokenAllowance& operator[](const AllowanceKey& key) { return allowances_[key]; }
  /// The partition has another owner now.
  void Drop(PartitionId partition);

 private:
  std::map<AllowanceKey, TokenAllowance> allowances_;
};

}  // namespace cloverbank
