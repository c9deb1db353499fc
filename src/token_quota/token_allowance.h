#pragma once
/// @file
/// What the keeper of a route's limit believes to be open in one partition, as the partition's
/// owner knows it. Up to that the owner may take batches while the keeper gives no answer. Pure.
///
/// Invariant: the allowance is never above the keeper's belief. Both begin with the same count and
/// grow by the same grants; a grant or count that only one side knows of leaves the owner's side
/// lower. A keeper that is gone grants nothing more, and a new one counts first. So whatever is
/// taken within allowances stays within the limit.

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/ids.h"

namespace cloverbank {

class TokenAllowance {
 public:
  /// The owner tells the keeper that so many tokens are open.
  void RecordCount(std::uint64_t open) { granted_ = open; }
  /// The keeper granted so many more, those that it lent included.
  void RecordGrant(std::uint64_t tokens);
  /// @return what may be taken beside `open` tokens; 0 before the first count.
  std::uint64_t Remaining(std::uint64_t open) const;

 private:
  std::optional<std::uint64_t> granted_;
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
