#pragma once
/// @file
/// The content of an open segment in memory, with the offsets at which its entries end.
///
/// Does no I/O and starts no thread; not thread-safe.

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "proto/log.pb.h"

namespace cloverbank {

class SegmentContent {
 public:
  /// @param start framed entries that segment `id` begins with. @param capacity in bytes.
  SegmentContent(SegmentId id, std::string start, std::uint64_t capacity);

  /// Whether an entry of `framed_bytes` bytes, framing included, fits into the segment.
  bool Fits(std::uint64_t framed_bytes) const { return length() + framed_bytes <= capacity_; }
  /// Frames and appends an entry. Requires `Fits`.
  void Append(const proto::LogEntry& entry);

  std::uint64_t length() const { return bytes_.size(); }
  const std::string& bytes() const { return bytes_; }
  /// @return the offset at which a write of at most `limit` bytes from `offset` ends. It ends after
  /// a complete entry and has at least one entry, even if that one is larger than `limit`.
  std::uint64_t FindWriteEnd(std::uint64_t offset, std::uint64_t limit) const;

 private:
  SegmentId id_;
  std::uint64_t capacity_;
  std::string bytes_;
  std::vector<std::uint32_t> entry_ends_;  ///< Offsets in bytes, ascending.
};

}  // namespace cloverbank
