#pragma once
/// @file
/// Checks a submission against the configuration before it is sent to its partition's owner. A
/// batch is accepted completely or not at all, so all problems are reported together. Pure.

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/status.h"
#include "proto/batch.pb.h"
#include "proto/configuration.pb.h"

namespace cloverbank {

inline constexpr int kMaximumBatchItems = 100'000;
inline constexpr std::size_t kMaximumBatchNameBytes =
    256;  ///< Bytes of a custom id, tenant or key.

/// @return the route of that name, or nullptr.
const proto::Route* FindRouteNamed(const proto::RoutingConfiguration& configuration,
                                   const std::string& name);

/// @return all problems, each with its place ("items[3].custom_id: ..."); empty if there is none. A
/// long list is truncated and ends with the number of further ones.
std::vector<std::string> FindBatchProblems(const proto::SubmitBatch& batch,
                                           const proto::RoutingConfiguration& configuration);

/// @return the partition in a batch id ("<partition>-<hexadecimal number>"), or kNotFound for text
/// that is no id of a partition below `partition_count`.
Result<PartitionId> ParseBatchPartition(const std::string& batch_id, std::uint32_t partition_count);

}  // namespace cloverbank
