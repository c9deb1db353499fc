#pragma once
/// @file
/// Framing of records in files that grow at their end: length, checksum, payload (byte by byte in
/// docs/FORMATS.md, "Record framing"). Pure functions over byte strings.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cloverbank {

/// 4 bytes of payload length and 8 bytes of checksum, both little-endian.
inline constexpr std::size_t kRecordHeaderBytes = 12;

/// @param seed mixed into the checksum, so that a record of one file or generation is not mistaken
/// for
///   one of another (e.g. left over in reused space).
/// @return the record that holds `payload`, which is shorter than 4 GiB.
std::string EncodeRecord(std::string_view payload, std::uint64_t seed);
/// As `EncodeRecord`, at the end of `target`.
void AppendRecord(std::string& target, std::string_view payload, std::uint64_t seed);

/// What follows the last valid record.
enum class RecordTail : std::uint8_t {
  kClean,  ///< Nothing.
  /// Only zero bytes: space that was reserved and never written (or a torn header).
  kReserved,
  kTorn,  ///< A record whose end is missing or damaged: a write that was cut short.
  /// A damaged record with a valid one right behind it. A single torn write rarely looks like
  /// this: bytes that had been synced may have rotted.
  kCorrupt,
};

/// Walks the records of a byte string from its start and stops for good at the first that is not
/// complete and valid.
class RecordReader {
 public:
  /// @param bytes must outlive the reader and the payloads it returns.
  RecordReader(std::string_view bytes, std::uint64_t seed) : bytes_(bytes), seed_(seed) {}

  /// @return the next payload; nothing at the end of the valid records.
  std::optional<std::string_view> Next();
  /// @return how many bytes the records returned so far take. After the last one: where the next
  /// record belongs, to which a torn file is cut.
  std::uint64_t valid_bytes() const { return position_; }
  /// @return what lies at `valid_bytes()`; ask after `Next` returned nothing.
  RecordTail tail() const;

 private:
  /// @return payload of the record at `position` if it is complete and valid.
  std::optional<std::string_view> PayloadAt(std::size_t position) const;

  std::string_view bytes_;
  std::uint64_t seed_;
  std::size_t position_ = 0;
};

}  // namespace cloverbank
