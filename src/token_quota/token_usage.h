#pragma once
/// @file
/// Upper bound of the open tokens of one route of one tenant over all partitions: the last count of
/// each partition, plus the grants made since. Pure core of `TokenQuotaOwner`.
///
/// Invariant: `UpperBound()` is never below the open tokens once every partition was counted. Open
/// tokens increase only by grants, and a grant is removed only when a count has come that includes
/// it or shows that it was not used, whatever other requests of its owner are pending. So the bound
/// exceeds the open tokens by no more than what was granted or finished since the counts.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/ids.h"

namespace cloverbank {

class TokenUsage {
 public:
  /// A grant to the owner of a partition, identified by the owner's increasing sequence.
  struct Grant {
    PartitionId partition;
    NodeId owner;
    std::uint64_t sequence = 0;
    std::uint64_t tokens = 0;
  };
  /// A count by the owner of a partition. It includes the effect of all its requests below
  /// `completed_below` that are not `pending`.
  struct Count {
    PartitionId partition;
    NodeId owner;
    std::uint64_t tokens = 0;
    std::uint64_t completed_below = 0;
    std::set<std::uint64_t> pending;

    bool Includes(const Grant& grant) const;
  };

  void AddGrant(const Grant& grant);
  /// Counts by an owner that has been replaced are ignored.
  void ApplyCount(const Count& count);
  /// Whether every partition was counted at least once.
  bool IsComplete(std::uint32_t partition_count) const;
  std::uint64_t UpperBound() const;

 private:
  /// State of one partition. An owner that lost a partition never gets it back under the same node
  /// id, but node ids of later owners may be lower.
  struct PartitionUsage {
    NodeId owner;  ///< The latest known.
    std::set<NodeId> former_owners;
    std::optional<std::uint64_t> counted;
  };

  /// Makes `owner` the latest owner unless it has been replaced. @return whether it is the latest.
  static bool UpdateOwner(PartitionUsage& usage, NodeId owner);

  std::map<PartitionId, PartitionUsage> partitions_;
  std::vector<Grant> grants_;
};

}  // namespace cloverbank
