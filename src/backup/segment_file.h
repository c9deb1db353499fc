#pragma once
/// @file
/// The file that holds one segment replica: two header slots, then the segment's bytes. A header
/// update writes the next generation into the slot that does not hold the current header, so that a
/// torn write leaves the current header readable. docs/FORMATS.md describes the file byte by byte.
///
/// Pure functions; call from any thread.

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
/// File offset of the segment's first byte.
inline constexpr std::uint64_t kSegmentDataOffset = kHeaderSlotBytes * kHeaderSlots;
/// Folder of the segment files within the data folder.
inline constexpr std::string_view kSegmentFolder = "segments";

/// Identifies a replica on one backup (RAMCloud page: masterId, segmentId).
struct ReplicaKey {
  NodeId node;
  SegmentId segment;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the 0 in a defaulted <=>.
  auto operator<=>(const ReplicaKey&) const = default;
};

/// Durable state of a replica. The numbers are part of the file format.
enum class ReplicaState : std::uint8_t {
  kOpen = 1,       ///< Accepts writes; offered to recoveries.
  kReplacing = 2,  ///< Being replaced by a complete copy; not offered.
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
  /// Bytes of content when the header was written; final once the replica is closed or sealed, 0
  /// while it is being replaced.
  std::uint64_t length = 0;
  std::uint64_t generation = 0;  ///< Counts header writes; the valid slot with the highest is used.
  bool operator==(const ReplicaHeader&) const = default;
};

/// @return the encoded header, which is shorter than a slot.
std::string EncodeReplicaHeader(const ReplicaHeader& header);
/// @return the header in `slot`; kCorrupt if its magic bytes or checksum are wrong,
/// kInvalidArgument if this program does not know its format version or state.
Result<ReplicaHeader> DecodeReplicaHeader(std::string_view slot);
/// @return both slots filled with `header`, for a new file.
std::string EncodeFirstHeader(const ReplicaHeader& header);
/// @return the file offset of the slot that holds the header of `generation`.
std::uint64_t HeaderSlotOffset(std::uint64_t generation);

/// @param file the whole content of a segment file.
/// @return the valid header with the highest generation; kNotFound if the file was never written
/// (the open did not finish), otherwise the reason why neither slot can be used.
Result<ReplicaHeader> ReadReplicaHeader(std::string_view file);
/// @return the segment's bytes in the content of a segment file, including the reserved space after
/// them that is not written yet.
std::string_view SegmentData(std::string_view file);

/// @return "segments/<node id>-<segment id>".
std::string SegmentFileName(const ReplicaKey& key);
/// @param name the file name without its folder.
/// @return the key in "<node id>-<segment id>", or nothing if `name` does not have this form or an
/// id is 0.
std::optional<ReplicaKey> ParseSegmentFileName(std::string_view name);

}  // namespace cloverbank
