#include "batches/submission_identity.h"

#include <algorithm>

#include "base/checksum.h"
#include "routes/route_reference.h"

namespace cloverbank {
namespace {

proto::RouteReference ReferenceOf(const proto::SubmitBatchRequest& request) {
  if (request.has_route_reference()) {
    return request.route_reference();
  }
  const proto::SubmitBatch& batch = request.batch();
  return DeriveReference(batch.tenant(), batch.route(),
                         batch.items().empty() ? nullptr : &batch.items(0));
}

/// @return what the client sent of the item. The gateway that forwards an item derives the rest
/// from its headers.
proto::BatchItem SentContent(const proto::BatchItem& item, bool by_path) {
  proto::BatchItem sent = item;
  if (by_path) {
    sent.clear_prefix_key();
    sent.clear_prompt_tokens();
    sent.clear_shared_tokens();
  }
  return sent;
}

/// Whether the paths of the two submissions differ. An older build records and sends none.
bool HasAnotherPath(const proto::SubmitBatchRequest& request,
                    const proto::BatchAccepted& accepted) {
  return request.has_route_reference() && accepted.has_route_reference() &&
         request.route_reference().path() != accepted.route_reference().path();
}

/// Whether a submitted item is the stored one, whose request is dropped once it has its result.
bool IsSameItem(const proto::BatchItem& submitted, const proto::BatchItem& stored) {
  proto::BatchItem expected = submitted;
  if (!stored.has_forwarded()) {
    expected.clear_forwarded();
  }
  return expected.SerializeAsString() == stored.SerializeAsString();
}

}  // namespace

std::uint64_t ContentChecksum(const proto::SubmitBatchRequest& request) {
  const proto::SubmitBatch& batch = request.batch();
  const bool by_path = IsByPath(ReferenceOf(request));
  proto::SubmitBatch head;
  head.set_tenant(batch.tenant());
  head.set_idempotency_key(batch.idempotency_key());
  head.set_batch_id(batch.batch_id());
  if (!by_path) {
    head.set_route(batch.route());
  }
  std::uint64_t checksum = Checksum(head.SerializeAsString());
  for (const proto::BatchItem& item : batch.items()) {
    checksum = Checksum(SentContent(item, by_path).SerializeAsString(), checksum);
  }
  return checksum;
}

bool IsResend(const proto::SubmitBatchRequest& request, std::uint64_t content_checksum,
              const proto::BatchAccepted& accepted) {
  return accepted.content_checksum() == content_checksum && !HasAnotherPath(request, accepted);
}

bool IsResend(const proto::SubmitBatchRequest& request, std::uint64_t content_checksum,
              const StoredBatch& batch) {
  if (batch.accepted.content_checksum() != 0) {
    return IsResend(request, content_checksum, batch.accepted);
  }
  const auto& submitted = request.batch().items();
  const bool same_route =
      IsByPath(batch.route) || request.batch().route() == batch.accepted.route();
  return same_route && std::equal(submitted.begin(), submitted.end(), batch.items.begin(),
                                  batch.items.end(), IsSameItem);
}

}  // namespace cloverbank
