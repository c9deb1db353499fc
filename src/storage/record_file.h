#pragma once
/// @file
/// Framing of records in files that are appended to: length, checksum, payload. docs/FORMATS.md,
/// "Record framing", describes it byte by byte. Pure functions on byte strings; call from any
/// thread.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cloverbank {

/// 4 bytes of payload length and 8 bytes of checksum, both little-endian.
inline constexpr std::size_t kRecordHeaderBytes = 12;

/// @param payload must be shorter than 4 GiB.
/// @param seed mixed into the checksum, so that a record of one file or generation is not mistaken
/// for a record of another one (e.g. one left over in reused space).
/// @return the record: header and payload.
std::string EncodeRecord(std::string_view payload, std::uint64_t seed);
/// Appends the record that `EncodeRecord` returns to `target`.
void AppendRecord(std::string& target, std::string_view payload, std::uint64_t seed);

/// What follows the last valid record.
enum class RecordTail : std::uint8_t {
  kClean,  ///< Nothing.
  /// Only zero bytes: space that was reserved but never written, or a torn header.
  kReserved,
  kTorn,  ///< A record whose end is missing or damaged: a write that did not finish.
  /// A damaged record directly followed by a valid one. A single torn write rarely causes this;
  /// bytes that had been synced may have been damaged on the disk.
  kCorrupt,
};

/// Reads the records of a byte string from its start. It stops at the first record that is not
/// complete and valid, and reads nothing after it.
class RecordReader {
 public:
  /// @param bytes must outlive the reader and the payloads it returns.
  RecordReader(std::string_view bytes, std::uint64_t seed) : bytes_(bytes), seed_(seed) {}

  /// @return the next payload, or nothing after the last valid record.
  std::optional<std::string_view> Next();
  /// @return the size in bytes of the records returned so far. After the last valid record this is
  /// the offset at which the next record is to be written, and the length to truncate a torn file
  /// to.
  std::uint64_t valid_bytes() const { return position_; }
  /// @return what follows the last valid record. Call it only after `Next` returned nothing.
  RecordTail tail() const;

 private:
  /// @return the payload of the record at `position`, or nothing if it is not complete and valid.
  std::optional<std::string_view> PayloadAt(std::size_t position) const;

  std::string_view bytes_;
  std::uint64_t seed_;
  std::size_t position_ = 0;
};

}  // namespace cloverbank
