#pragma once
/// @file
/// Tokens that the owner of a partition may use for new batches of a route while the quota owner
/// does not answer. Pure.
///
/// Invariant: the open tokens that an allowance permits never exceed the quota owner's upper bound
/// for the partition. Both start from the same count and grow by the same grants. If only one side
/// has recorded a grant or a count, the partition owner's value is the lower one. A quota owner
/// that has failed grants nothing more, and its successor counts before its first grant. So all
/// batches that are accepted within allowances stay within the limit.

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/ids.h"

namespace cloverbank {

/// The allowance for one `AllowanceKey`.
class TokenAllowance {
 public:
  /// Records that the quota owner was sent a count of `open` tokens. Revokes earlier grants.
  void RecordCount(std::uint64_t open) { max_open_tokens_ = open; }
  /// Records a grant by the quota owner.
  /// @param tokens the requested tokens plus the allowance granted in addition.
  void RecordGrant(std::uint64_t tokens);
  /// @return the tokens that may be used in addition to the `open` ones; 0 before the first count.
  std::uint64_t Remaining(std::uint64_t open) const;

 private:
  /// The last count plus the grants since; empty before the first count.
  std::optional<std::uint64_t> max_open_tokens_;
};

/// One tenant's use of a route in one partition.
struct AllowanceKey {
  PartitionId partition;
  std::string tenant;
  std::string route;
  // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the defaulted comparison.
  auto operator<=>(const AllowanceKey&) const = default;
};

/// The allowances of all tenants and routes at a queue node's partitions.
class TokenAllowances {
 public:
  TokenAllowance& operator[](const AllowanceKey& key) { return allowances_[key]; }
  /// Removes the allowances of a partition that this node no longer owns.
  void Drop(PartitionId partition);

 private:
  std::map<AllowanceKey, TokenAllowance> allowances_;
};

}  // namespace cloverbank
