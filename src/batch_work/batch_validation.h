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
/// Largest size in bytes of a custom id, tenant or idempotency key.
inline constexpr std::size_t kMaximumBatchNameBytes = 256;

/// @return the problems of the submission itself, whatever the configuration, as a list like that
/// of `FindBatchProblems`.
std::vector<std::string> FindContentProblems(const proto::SubmitBatch& batch);

/// @return all problems, each with its field ("items[3].custom_id: ..."); empty if there is none. A
/// list of more than 100 is truncated and ends with the number of further problems.
std::vector<std::string> FindBatchProblems(const proto::SubmitBatch& batch,
                                           const proto::RoutingConfiguration& configuration);

/// @return the partition in a batch id ("<partition>-<hexadecimal number>"); kNotFound for a text
/// that does not begin with a partition below `partition_count` and a '-'.
Result<PartitionId> ParseBatchPartition(const std::string& batch_id, std::uint32_t partition_count);

}  // namespace cloverbank
