#include "log_writer/segment_content.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "log_format/segment_format.h"

namespace cloverbank {

SegmentContent::SegmentContent(SegmentId id, std::string start, std::uint64_t capacity)
    : id_(id),
      capacity_(capacity),
      bytes_(std::move(start)),
      entry_ends_{static_cast<std::uint32_t>(bytes_.size())} {}

void SegmentContent::Append(const proto::LogEntry& entry) {
  AppendEntry(&bytes_, id_, entry);
  entry_ends_.push_back(static_cast<std::uint32_t>(bytes_.size()));
}

std::uint64_t SegmentContent::FindWriteEnd(std::uint64_t offset, std::uint64_t limit) const {
  const std::uint64_t end = offset + limit;
  if (end >= bytes_.size()) {
    return bytes_.size();
  }
  const auto next_end = std::upper_bound(entry_ends_.begin(), entry_ends_.end(), end);
  const bool one_fits = next_end != entry_ends_.begin() && *std::prev(next_end) > offset;
  return one_fits ? *std::prev(next_end) : *next_end;
}

}  // namespace cloverbank
