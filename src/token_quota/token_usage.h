#pragma once
/// @file
/// Pure core of `TokenQuotaOwner`: how many tokens of one route of one tenant may be open in all
/// partitions together. What is open is what partitions counted, and what was granted to them
/// since.
///
/// Invariant: `UpperBound()` is never below the truth once every partition was counted. Open tokens
/// become more only by a grant, and a grant is forgotten only when a count has come that includes
/// it or tells that nothing came of it. With each such count it is forgotten, whatever other
/// requests of its holder are still under way: so the bound is above the truth by no more than what
/// was granted or finished since the counts.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/ids.h"

namespace cloverbank {

class TokenUsage {
 public:
  /// A grant to the owner of a partition, named by the owner's own rising sequence.
  struct Grant {
    PartitionId partition;
    NodeId owner;
    std::uint64_t sequence = 0;
    std::uint64_t tokens = 0;
  };
  /// What the owner of a partition counted there. Its requests below `completed_below` that are not
  /// `pending` are in the count, if anything came of them.
  struct Count {
    PartitionId partition;
    NodeId owner;
    std::uint64_t tokens = 0;
    std::uint64_t completed_below = 0;
    std::set<std::uint64_t> pending;

    bool Includes(const Grant& grant) const;
  };

  void AddGrant(const Grant& grant);
  /// Counts of an owner after which another one was heard of are passed over.
  void ApplyCount(const Count& count);
  /// Whether each of so many partitions was counted at least once.
  bool IsComplete(std::uint32_t partition_count) const;
  std::uint64_t UpperBound() const;

 private:
  /// What is known of one partition. An owner that lost a partition never gets it back under the
  /// same node id, but node ids of later owners may be lower.
  struct PartitionUsage {
    NodeId owner;  ///< Of whom was heard last.
    std::set<NodeId> former_owners;
    std::optional<std::uint64_t> counted;
  };

  /// @return whether `holder` is the owner of whom was heard last, which it is from now on if it
  /// was not heard of before.
  static bool UpdateOwner(PartitionUsage& usage, NodeId owner);

  std::map<PartitionId, PartitionUsage> partitions_;
  std::vector<Grant> grants_;
};

}  // namespace cloverbank
