#include "storage/record_file.h"

#include "base/checksum.h"
#include "base/little_endian.h"

namespace cloverbank {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kChecksumBytes = 8;

/// @return the payload length in the header at `position`, or nothing if `bytes` is too short for
/// the header or for a payload of this length.
std::optional<std::size_t> LengthAt(std::string_view bytes, std::size_t position) {
  if (bytes.size() - position < kRecordHeaderBytes) {
    return std::nullopt;
  }
  const std::uint64_t length = ReadLittleEndian(bytes.substr(position, kLengthBytes));
  if (length > bytes.size() - position - kRecordHeaderBytes) {
    return std::nullopt;
  }
  return length;
}

}  // namespace

std::string EncodeRecord(std::string_view payload, std::uint64_t seed) {
  std::string record;
  AppendRecord(record, payload, seed);
  return record;
}

void AppendRecord(std::string& target, std::string_view payload, std::uint64_t seed) {
  target.reserve(target.size() + kRecordHeaderBytes + payload.size());
  AppendLittleEndian(&target, payload.size(), kLengthBytes);
  AppendLittleEndian(&target, Checksum(payload, seed), kChecksumBytes);
  target.append(payload);
}

std::optional<std::string_view> RecordReader::PayloadAt(std::size_t position) const {
  const auto length = LengthAt(bytes_, position);
  if (!length.has_value()) {
    return std::nullopt;
  }
  const std::uint64_t checksum =
      ReadLittleEndian(bytes_.substr(position + kLengthBytes, kChecksumBytes));
  const std::string_view payload = bytes_.substr(position + kRecordHeaderBytes, *length);
  if (checksum != Checksum(payload, seed_)) {
    return std::nullopt;
  }
  return payload;
}

std::optional<std::string_view> RecordReader::Next() {
  const auto payload = PayloadAt(position_);
  if (payload.has_value()) {
    position_ += kRecordHeaderBytes + payload->size();
  }
  return payload;
}

RecordTail RecordReader::tail() const {
  const std::string_view rest = bytes_.substr(position_);
  if (rest.empty()) {
    return RecordTail::kClean;
  }
  if (rest.find_first_not_of('\0') == std::string_view::npos) {
    return RecordTail::kReserved;
  }
  const auto length = LengthAt(bytes_, position_);
  const bool valid_record_follows =
      length.has_value() && PayloadAt(position_ + kRecordHeaderBytes + *length).has_value();
  return valid_record_follows ? RecordTail::kCorrupt : RecordTail::kTorn;
}

}  // namespace cloverbank
