#include "log_writer/backup_client.h"

#include "runtime/typed_peer.h"

namespace cloverbank {
namespace {

template <typename Request>
Request MakeRequest(NodeId node, SegmentId segment) {
  Request request;
  request.set_node_id(node.value());
  request.set_segment_id(segment.value());
  return request;
}

template <typename Response>
std::function<void(Result<Response>)> ForwardStatus(BackupClient::Done done) {
  return [done = std::move(done)](Result<Response> result) { done(result.status()); };
}

}  // namespace

void BackupClient::OpenSegment(const Endpoint& backup, SegmentId segment, HeadEpoch epoch,
                               std::uint64_t capacity, Done done) const {
  auto request = MakeRequest<proto::OpenSegmentRequest>(node_, segment);
  request.set_epoch(epoch.value());
  request.set_capacity(capacity);
  CallPeer<proto::OpenSegmentResponse>(environment_, backup, "backup.OpenSegment", request,
                                       deadline_,
                                       ForwardStatus<proto::OpenSegmentResponse>(std::move(done)));
}

void BackupClient::WriteSegment(const Endpoint& backup, SegmentId segment, HeadEpoch epoch,
                                SegmentWrite write, Done done) const {
  auto request = MakeRequest<proto::WriteSegmentRequest>(node_, segment);
  request.set_epoch(epoch.value());
  request.set_offset(write.offset);
  request.set_data(std::move(write.data));
  request.set_atomic_replace(write.atomic_replace);
  request.set_replace_complete(write.replace_complete);
  CallPeer<proto::WriteSegmentResponse>(
      environment_, backup, "backup.WriteSegment", request, deadline_,
      ForwardStatus<proto::WriteSegmentResponse>(std::move(done)));
}

void BackupClient::SetSegmentEpoch(const Endpoint& backup, SegmentId segment, HeadEpoch epoch,
                                   Done done) const {
  auto request = MakeRequest<proto::SetSegmentEpochRequest>(node_, segment);
  request.set_epoch(epoch.value());
  CallPeer<proto::SetSegmentEpochResponse>(
      environment_, backup, "backup.SetSegmentEpoch", request, deadline_,
      ForwardStatus<proto::SetSegmentEpochResponse>(std::move(done)));
}

void BackupClient::CloseSegment(const Endpoint& backup, SegmentId segment, std::uint64_t length,
                                Done done) const {
  auto request = MakeRequest<proto::CloseSegmentRequest>(node_, segment);
  request.set_length(length);
  CallPeer<proto::CloseSegmentResponse>(
      environment_, backup, "backup.CloseSegment", request, deadline_,
      ForwardStatus<proto::CloseSegmentResponse>(std::move(done)));
}

void BackupClient::FreeSegment(const Endpoint& backup, SegmentId segment, Done done) const {
  CallPeer<proto::FreeSegmentResponse>(environment_, backup, "backup.FreeSegment",
                                       MakeRequest<proto::FreeSegmentRequest>(node_, segment),
                                       deadline_,
                                       ForwardStatus<proto::FreeSegmentResponse>(std::move(done)));
}

void BackupClient::ReadSegment(const Endpoint& backup, SegmentId segment,
                               std::function<void(Result<proto::ReadSegmentResponse>)> done) const {
  CallPeer<proto::ReadSegmentResponse>(environment_, backup, "backup.ReadSegment",
                                       MakeRequest<proto::ReadSegmentRequest>(node_, segment),
                                       deadline_, std::move(done));
}

void BackupClient::ListSegments(
    const Endpoint& backup, std::function<void(Result<proto::ListSegmentsResponse>)> done) const {
  CallPeer<proto::ListSegmentsResponse>(environment_, backup, "backup.ListSegments",
                                        proto::ListSegmentsRequest(), deadline_, std::move(done));
}

}  // namespace cloverbank
