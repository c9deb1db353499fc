#pragma once
/// @file
/// The bytes of an open segment in memory, and where its entries end.
///
/// Pure. Threads: none of its own.

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "proto/log.pb.h"

namespace cloverbank {

class SegmentContent {
 public:
  /// @param start framed entries of segment `id`. @param capacity in bytes.
  SegmentContent(SegmentId id, std::string start, std::uint64_t capacity);

  bool Fits(std::uint64_t framed_bytes) const { return length() + framed_bytes <= capacity_; }
  /// Appends a framed entry; requires `Fits`.
  void Append(const proto::LogEntry& entry);

  std::uint64_t length() const { return bytes_.size(); }
  const std::string& bytes() const { return bytes_; }
  /// @return where a write of at most `limit` bytes from `offset` ends: behind a complete entry, of
  /// which it has at least one, larger than `limit` or not.
  std::uint64_t FindWriteEnd(std::uint64_t offset, std::uint64_t limit) const;

 private:
  SegmentId id_;
  std::uint64_t capacity_;
  std::string bytes_;
  std::vector<std::uint32_t> entry_ends_;
};

}  // namespace cloverbank
