#include "log/segment_format.h"

#include "base/checksum.h"

namespace cloverbank {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kChecksumBytes = 8;
constexpr unsigned kBitsPerByte = 8;
static_assert(kLengthBytes + kChecksumBytes == kEntryFrameBytes);

void AppendLittleEndian(std::string* out, std::uint64_t value, std::size_t byte_count) {
  for (std::size_t i = 0; i < byte_count; ++i) {
    out->push_back(static_cast<char>((value >> (kBitsPerByte * i)) & 0xFFU));
  }
}

std::uint64_t ReadLittleEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << (kBitsPerByte * i);
  }
  return value;
}

}  // namespace

std::size_t FramedEntryBytes(const proto::LogEntry& entry) {
  const std::size_t size = entry.ByteSizeLong();
  return size == 0 ? 0 : kEntryFrameBytes + size;
}

std::size_t AppendEntry(std::string* out, SegmentId segment, const proto::LogEntry& entry) {
  const std::string serialized = entry.SerializeAsString();
  if (serialized.empty()) {
    return 0;
  }
  AppendLittleEndian(out, serialized.size(), kLengthBytes);
  AppendLittleEndian(out, Checksum(serialized, segment.value()), kChecksumBytes);
  out->append(serialized);
  return kEntryFrameBytes + serialized.size();
}

std::string_view SegmentEndName(SegmentEnd end) {
  switch (end) {
    case SegmentEnd::kNotReached:
      return "not_reached";
    case SegmentEnd::kBytesEnd:
      return "bytes_end";
    case SegmentEnd::kZeroLength:
      return "zero_length";
    case SegmentEnd::kTorn:
      return "torn";
    case SegmentEnd::kCorrupt:
      return "corrupt";
  }
  return "unknown";
}

bool SegmentReader::Stop(SegmentEnd end) {
  end_ = end;
  return false;
}

bool SegmentReader::NextBytes(std::string_view* serialized) {
  if (end_ != SegmentEnd::kNotReached) {
    return false;
  }
  const std::string_view rest = bytes_.substr(position_);
  if (rest.empty()) {
    return Stop(SegmentEnd::kBytesEnd);
  }
  if (rest.size() < kLengthBytes) {
    return Stop(SegmentEnd::kTorn);
  }
  const std::uint64_t size = ReadLittleEndian(rest.substr(0, kLengthBytes));
  if (size == 0) {
    return Stop(SegmentEnd::kZeroLength);
  }
  if (rest.size() < kEntryFrameBytes || size > rest.size() - kEntryFrameBytes) {
    return Stop(SegmentEnd::kTorn);
  }
  const std::string_view payload = rest.substr(kEntryFrameBytes, size);
  if (ReadLittleEndian(rest.substr(kLengthBytes, kChecksumBytes)) !=
      Checksum(payload, segment_.value())) {
    return Stop(SegmentEnd::kCorrupt);
  }
  position_ += kEntryFrameBytes + size;
  *serialized = payload;
  return true;
}

bool SegmentReader::Next(proto::LogEntry* entry) {
  const std::size_t start = position_;
  std::string_view serialized;
  if (!NextBytes(&serialized)) {
    return false;
  }
  if (!entry->ParseFromArray(serialized.data(), static_cast<int>(serialized.size()))) {
    position_ = start;
    return Stop(SegmentEnd::kCorrupt);
  }
  return true;
}

SegmentScan ScanSegment(SegmentId segment, std::string_view bytes) {
  SegmentReader reader(segment, bytes);
  SegmentScan scan;
  std::string_view serialized;
  while (reader.NextBytes(&serialized)) {
    ++scan.entry_count;
  }
  scan.valid_length = reader.valid_length();
  scan.end = reader.end();
  return scan;
}

}  // namespace cloverbank
