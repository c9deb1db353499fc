#pragma once
/// @file
/// Upper bound of the open tokens of one route of one tenant over all partitions: the last count of
/// each partition, plus the grants since. Pure core of `TokenQuotaOwner`.
///
/// Invariant: once every partition was counted, `UpperBound()` is never below the open tokens. Open
/// tokens increase only by grants, and a grant is removed only when a count arrives that includes
/// it or shows that it was not used, whatever other requests of its owner are pending. So the bound
/// exceeds the open tokens by no more than the tokens granted or finished since the counts.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/ids.h"

namespace cloverbank {

class TokenUsage {
 public:
  /// A grant to the owner of a partition. `sequence` is the number of the owner's request; it
  /// increases with each request of that owner.
  struct Grant {
    PartitionId partition;
    NodeId owner;
    std::uint64_t sequence = 0;
    std::uint64_t tokens = 0;
  };
  /// A count of open tokens by the owner of a partition. It includes the effect of all requests of
  /// that owner whose sequence is below `completed_below` and not in `pending`.
  struct Count {
    PartitionId partition;
    NodeId owner;
    std::uint64_t tokens = 0;
    std::uint64_t completed_below = 0;
    std::set<std::uint64_t> pending;

    /// @return whether the count includes the tokens of a grant in the same partition, or shows
    /// that the grant was not used.
    bool Includes(const Grant& grant) const;
  };

  void AddGrant(const Grant& grant);
  /// Replaces the count of the partition and removes the grants that the new one includes. Ignores
  /// counts by an owner that has been replaced.
  void ApplyCount(const Count& count);
  /// @return whether every partition was counted at least once.
  bool IsComplete(std::uint32_t partition_count) const;
  /// @return the upper bound of the open tokens; partitions that were never counted count as 0.
  std::uint64_t UpperBound() const;

 private:
  /// State of one partition. An owner that lost a partition never gets it back under the same node
  /// id. A later owner may have a lower node id.
  struct PartitionUsage {
    NodeId owner;  ///< The latest one known.
    std::set<NodeId> former_owners;
    std::optional<std::uint64_t> counted;  ///< Open tokens at the last count.
  };

  /// Makes `owner` the latest owner of the partition, unless it has been replaced.
  /// @return whether it is the latest one.
  static bool UpdateOwner(PartitionUsage& usage, NodeId owner);

  std::map<PartitionId, PartitionUsage> partitions_;
  std::vector<Grant> grants_;  ///< Those that no count includes yet.
};

}  // namespace cloverbank
