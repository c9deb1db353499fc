#pragma once
/// @file
/// Tells whether a submission is the resend of an accepted batch. Its identity is what the client
/// sent: the route's limit, and the route's name where a gateway found it by host and path, come
/// from the configuration of that moment and are no part of it. Pure functions without state.

#include <cstdint>

#include "batches/stored_batch.h"
#include "proto/batch.pb.h"

namespace cloverbank {

/// @return the checksum of what the client sent, for `BatchAccepted::content_checksum`. The path is
/// left out, since older gateways do not send it; see `IsResend`.
std::uint64_t ContentChecksum(const proto::SubmitBatchRequest& request);

/// Whether `request` is the resend of a submission that is being accepted or was accepted.
/// @param content_checksum that of `request`.
/// @param accepted has a `content_checksum`.
bool IsResend(const proto::SubmitBatchRequest& request, std::uint64_t content_checksum,
              const proto::BatchAccepted& accepted);

/// The same for a batch that a build without content checksums may have accepted: compares what the
/// store has kept of its items.
bool IsResend(const proto::SubmitBatchRequest& request, std::uint64_t content_checksum,
              const StoredBatch& batch);

}  // namespace cloverbank
