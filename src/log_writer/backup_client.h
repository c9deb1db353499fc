#pragma once
/// @file
/// Client for the segment calls of the backups, on behalf of one queue node id (RAMCloud page,
/// BackupClient). log.proto documents what each call does and with which errors a backup refuses
/// it.
///
/// Threads: the owner's event loop only.

#include <functional>
#include <string>

#include "base/ids.h"
#include "proto/log.pb.h"
#include "runtime/environment.h"

namespace cloverbank {

/// Parameters of one WriteSegment call.
struct SegmentWrite {
  std::uint64_t offset = 0;  ///< Bytes from the segment's start.
  std::string data;
  bool atomic_replace = false;    ///< Part of a replacement that is hidden from recoveries.
  bool replace_complete = false;  ///< Last part of the replacement, which makes it visible.
};

class BackupClient {
 public:
  /// Runs exactly once, on the event loop and after the call has returned; with an error if no
  /// response comes within the deadline.
  using Done = std::function<void(Status)>;

  /// @param node owner of the segments. @param deadline of each call.
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
