#pragma once
/// @file
/// Makes segments as a backup lists them in its response to StartReadingData.

#include <cstdint>
#include <vector>

#include "proto/log.pb.h"

namespace cloverbank {

inline proto::StoredSegment MakeStoredSegment(std::uint64_t segment, std::uint64_t length,
                                              std::uint64_t epoch, bool closed,
                                              const std::vector<std::uint64_t>& digest) {
  proto::StoredSegment stored;
  stored.set_segment_id(segment);
  stored.set_length(length);
  stored.set_epoch(epoch);
  stored.set_closed(closed);
  stored.mutable_digest()->Add(digest.begin(), digest.end());
  return stored;
}

}  // namespace cloverbank
