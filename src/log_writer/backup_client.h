#pragma once
/// @file
/// The owner's calls on segment replicas, for one queue node's life (RAMCloud's BackupClient: a
/// thin stub of each call).

#include <functional>
#include <string>

#include "base/ids.h"
#include "proto/log.pb.h"
#include "runtime/environment.h"

namespace cloverbank {

/// One WriteSegment.
struct SegmentWrite {
  std::uint64_t offset = 0;
  std::string data;
  bool atomic_replace = false;
  bool replace_complete = false;
};

class BackupClient {
 public:
  using Done = std::function<void(Status)>;

  BackupClient(Environment& environment, NodeId node, Duration deadline)
      : environment_(environment), node_(node), deadline_(deadline) {}

  void OpenSegment(const Endpoint& backup, SegmentId segment, HeadEpoch epoch,
                   std::uint64_t capacity, Done done) const;
  void WriteSegment(const Endpoint& backup, SegmentId segment, HeadEpoch epoch, SegmentWrite write,
                    Done done) const;
  void SetSegmentEpoch(const Endpoint& backup, SegmentId segment, HeadEpoch epoch, Done done) const;
  void CloseSegment(const Endpoint& backup, SegmentId segment, std::uint64_t length,
                    Done done) const;
  void FreeSegment(const Endpoint& backup, SegmentId segment, Done done) const;
  void ReadSegment(const Endpoint& backup, SegmentId segment,
                   std::function<void(Result<proto::ReadSegmentResponse>)> done) const;
  void ListSegments(const Endpoint& backup,
                    std::function<void(Result<proto::ListSegmentsResponse>)> done) const;

 private:
  Environment& environment_;
  NodeId node_;
  Duration deadline_;
};

}  // namespace cloverbank
