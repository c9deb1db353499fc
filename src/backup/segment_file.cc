#include "backup/segment_file.h"

#include <algorithm>

#include "base/checksum.h"
#include "base/little_endian.h"
#include "base/parse_number.h"

namespace cloverbank {
namespace {

constexpr std::string_view kMagic = "CBSEGMNT";
constexpr std::uint64_t kFormatVersion = 1;
constexpr std::size_t kUint64Bytes = 8;
constexpr std::size_t kUint32Bytes = 4;
constexpr std::size_t kChecksummedBytes = 64;
constexpr std::size_t kHeaderBytes = kChecksummedBytes + kUint64Bytes;

// Offsets of the fields; see docs/FORMATS.md.
constexpr std::size_t kVersionOffset = 8;
constexpr std::size_t kStateOffset = 12;
constexpr std::size_t kNodeOffset = 16;
constexpr std::size_t kSegmentOffset = 24;
constexpr std::size_t kEpochOffset = 32;
constexpr std::size_t kCapacityOffset = 40;
constexpr std::size_t kLengthOffset = 48;
constexpr std::size_t kGenerationOffset = 56;

bool IsKnownState(std::uint64_t state) {
  return state >= static_cast<std::uint64_t>(ReplicaState::kOpen) &&
         state <= static_cast<std::uint64_t>(ReplicaState::kSealed);
}

bool IsAllZero(std::string_view bytes) {
  return std::all_of(bytes.begin(), bytes.end(), [](char byte) { return byte == '\0'; });
}

}  // namespace

std::string_view ReplicaStateName(ReplicaState state) {
  switch (state) {
    case ReplicaState::kOpen:
      return "open";
    case ReplicaState::kReplacing:
      return "replacing";
    case ReplicaState::kClosed:
      return "closed";
    case ReplicaState::kSealed:
      return "sealed";
  }
  return "unknown";
}

std::string EncodeReplicaHeader(const ReplicaHeader& header) {
  std::string bytes(kMagic);
  AppendLittleEndian(&bytes, kFormatVersion, kUint32Bytes);
  AppendLittleEndian(&bytes, static_cast<std::uint64_t>(header.state), kUint32Bytes);
  AppendLittleEndian(&bytes, header.key.node.value(), kUint64Bytes);
  AppendLittleEndian(&bytes, header.key.segment.value(), kUint64Bytes);
  AppendLittleEndian(&bytes, header.epoch.value(), kUint64Bytes);
  AppendLittleEndian(&bytes, header.capacity, kUint64Bytes);
  AppendLittleEndian(&bytes, header.length, kUint64Bytes);
  AppendLittleEndian(&bytes, header.generation, kUint64Bytes);
  AppendLittleEndian(&bytes, Checksum(bytes), kUint64Bytes);
  return bytes;
}

Result<ReplicaHeader> DecodeReplicaHeader(std::string_view slot) {
  if (slot.size() < kHeaderBytes || slot.substr(0, kMagic.size()) != kMagic) {
    return Status(StatusCode::kCorrupt, "segment header does not begin with its magic bytes");
  }
  if (ReadLittleEndian(slot.substr(kChecksummedBytes, kUint64Bytes)) !=
      Checksum(slot.substr(0, kChecksummedBytes))) {
    return Status(StatusCode::kCorrupt, "segment header does not match its checksum");
  }
  const std::uint64_t version = ReadLittleEndian(slot.substr(kVersionOffset, kUint32Bytes));
  const std::uint64_t state = ReadLittleEndian(slot.substr(kStateOffset, kUint32Bytes));
  if (version != kFormatVersion || !IsKnownState(state)) {
    return Status(StatusCode::kInvalidArgument,
                  "segment file has format version " + std::to_string(version) + " and state " +
                      std::to_string(state) + "; supported are version 1 and states 1 to 4");
  }
  ReplicaHeader header;
  header.state = static_cast<ReplicaState>(state);
  header.key.node = NodeId(ReadLittleEndian(slot.substr(kNodeOffset, kUint64Bytes)));
  header.key.segment = SegmentId(ReadLittleEndian(slot.substr(kSegmentOffset, kUint64Bytes)));
  header.epoch = HeadEpoch(ReadLittleEndian(slot.substr(kEpochOffset, kUint64Bytes)));
  header.capacity = ReadLittleEndian(slot.substr(kCapacityOffset, kUint64Bytes));
  header.length = ReadLittleEndian(slot.substr(kLengthOffset, kUint64Bytes));
  header.generation = ReadLittleEndian(slot.substr(kGenerationOffset, kUint64Bytes));
  return header;
}

std::string EncodeFirstHeader(const ReplicaHeader& header) {
  std::string slot = EncodeReplicaHeader(header);
  slot.resize(kHeaderSlotBytes);
  return slot + slot;
}

std::uint64_t HeaderSlotOffset(std::uint64_t generation) {
  return generation % kHeaderSlots * kHeaderSlotBytes;
}

Result<ReplicaHeader> ReadReplicaHeader(std::string_view file) {
  std::optional<ReplicaHeader> newest;
  Status last_error(StatusCode::kCorrupt, "segment file has no header");
  for (std::uint64_t slot = 0; slot < kHeaderSlots; ++slot) {
    const std::size_t offset = std::min<std::size_t>(slot * kHeaderSlotBytes, file.size());
    Result<ReplicaHeader> header = DecodeReplicaHeader(file.substr(offset, kHeaderSlotBytes));
    if (!header.ok()) {
      last_error = header.status();
    } else if (!newest || header->generation > newest->generation) {
      newest = *header;
    }
  }
  if (!newest && IsAllZero(SegmentData(file))) {
    return Status(StatusCode::kNotFound, "segment file was never written");
  }
  if (!newest) {
    return last_error;
  }
  return *newest;
}

std::string_view SegmentData(std::string_view file) {
  return file.substr(std::min<std::size_t>(kSegmentDataOffset, file.size()));
}

std::string SegmentFileName(const ReplicaKey& key) {
  return std::string(kSegmentFolder) + "/" + key.node.ToString() + "-" + key.segment.ToString();
}

std::optional<ReplicaKey> ParseSegmentFileName(std::string_view name) {
  const std::size_t dash = name.find('-');
  if (dash == std::string_view::npos) {
    return std::nullopt;
  }
  const std::optional<std::uint64_t> node = ParseInteger(name.substr(0, dash));
  const std::optional<std::uint64_t> segment = ParseInteger(name.substr(dash + 1));
  if (!node || !segment || *node == 0 || *segment == 0) {
    return std::nullopt;
  }
  return ReplicaKey{NodeId(*node), SegmentId(*segment)};
}

}  // namespace cloverbank
