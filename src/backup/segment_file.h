#pragma once
/// @file
/// The file that holds one segment replica: two header slots, then the segment's bytes. A header is
/// changed by writing the next generation into the slot that does not hold the current one, so a
/// torn write leaves the current one readable. docs/FORMATS.md describes the file byte by byte.
///
/// Pure functions; any thread.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/status.h"

namespace cloverbank {

inline constexpr std::uint64_t kHeaderSlotBytes = 4096;
inline constexpr std::uint64_t kHeaderSlots = 2;
/// Where the segment's bytes begin.
inline constexpr std::uint64_t kSegmentDataOffset = kHeaderSlotBytes * kHeaderSlots;
/// Folder of the segment files within the data folder.
inline constexpr std::string_view kSegmentFolder = "segments";

/// Names a replica on one backup (RAMCloud page: masterId, segmentId).
struct ReplicaKey {
  NodeId node;
  SegmentId segment;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the 0 in a defaulted <=>.
  auto operator<=>(const ReplicaKey&) const = default;
};

/// Durable state of a replica. The numbers are part of the file format.
enum class ReplicaState : std::uint8_t {
  kOpen = 1,       ///< Takes writes; offered to recoveries.
  kReplacing = 2,  ///< A replacement is under way; not offered.
  kClosed = 3,     ///< Closed by its owner; refuses writes.
  kSealed = 4,     ///< Closed by StartReadingData, because its owner is dead.
};

/// @return the stable lower-case name of `state`, for logs, metrics and tools.
std::string_view ReplicaStateName(ReplicaState state);

struct ReplicaHeader {
  ReplicaKey key;
  HeadEpoch epoch;
  ReplicaState state = ReplicaState::kOpen;
  std::uint64_t capacity = 0;  ///< Bytes reserved for the segment.
  /// Bytes of content when the header was written; final once closed or sealed, 0 while replacing.
  std::uint64_t length = 0;
  std::uint64_t generation = 0;  ///< Counts header writes; the highest valid slot counts.
  bool operator==(const ReplicaHeader&) const = default;
};

/// @return the bytes of one header (less than a slot).
std::string EncodeReplicaHeader(const ReplicaHeader& header);
/// @return the header in `slot`; kCorrupt if its magic or checksum is wrong, kInvalidArgument if it
/// is of a format version that this program does not know.
Result<ReplicaHeader> DecodeReplicaHeader(std::string_view slot);
/// @return both slots filled with `header`, for a new file.
std::string EncodeFirstHeader(const ReplicaHeader& header);
/// @return the file offset of the slot that takes `generation`.
std::uint64_t HeaderSlotOffset(std::uint64_t generation);

/// @return the newest valid header of a segment file; kNotFound if the file was never written (an
/// open that did not finish), else why neither slot can be used.
Result<ReplicaHeader> ReadReplicaHeader(std::string_view file);
/// @return the segment's bytes within a file, with the unwritten space behind them.
std::string_view SegmentData(std::string_view file);

/// @return "segments/<node id>-<segment id>".
std::string SegmentFileName(const ReplicaKey& key);
/// @return the key named by "<node id>-<segment id>", or nothing.
std::optional<ReplicaKey> ParseSegmentFileName(std::string_view name);

}  // namespace cloverbank
