#pragma once
/// @file
/// Stubs of the segment calls on backups, for one node id (RAMCloud page, BackupClient). log.proto
/// says what each call does and which refusals there are.
///
/// Threads: the owner's event loop only.

#include <functional>
#include <string>

#include "base/ids.h"
#include "proto/log.pb.h"
#include "runtime/environment.h"

namespace cloverbank {

/// The content of one WriteSegment.
struct SegmentWrite {
  std::uint64_t offset = 0;  ///< Bytes from the segment's start.
  std::string data;
  bool atomic_replace = false;    ///< Part of a replacement, hidden from recoveries.
  bool replace_complete = false;  ///< Its last part: makes it visible.
};

class BackupClient {
 public:
  /// Runs once, later, also when no answer comes within the deadline.
  using Done = std::function<void(Status)>;

  /// @param deadline of each call.
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
