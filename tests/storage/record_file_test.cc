#include "storage/record_file.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

namespace cloverbank {
namespace {

constexpr std::uint64_t kSeed = 42;

std::vector<std::string> ReadAll(RecordReader& reader) {
  std::vector<std::string> payloads;
  while (const auto payload = reader.Next()) {
    payloads.emplace_back(*payload);
  }
  return payloads;
}

TEST(RecordFileTest, EncodesRecordAsDocumented) {
  const std::string record = EncodeRecord("abc", 0);
  // The checksum is XXH3_64bits("abc") = 0x78af5f94892f3950, as computed by libxxhash.
  const std::string expected(
      "\x03\0\0\0\x50\x39\x2f\x89\x94\x5f\xaf\x78"
      "abc",
      15);
  EXPECT_EQ(record, expected);
}

TEST(RecordFileTest, ReadsUpToTheLastIntactRecord) {
  const std::vector<std::string> payloads = {"first", "", std::string(21, 'x'), "last"};
  std::string bytes;
  std::vector<std::size_t> ends = {0};
  for (const std::string& payload : payloads) {
    AppendRecord(bytes, payload, kSeed);
    ends.push_back(bytes.size());
  }
  const auto intact_records_before = [&ends](std::size_t position) {
    std::size_t count = 0;
    while (count + 1 < ends.size() && ends[count + 1] <= position) {
      ++count;
    }
    return count;
  };
  const std::string_view complete_file = bytes;
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    RecordReader reader(complete_file.substr(0, cut), kSeed);
    const std::size_t intact_count = intact_records_before(cut);
    EXPECT_EQ(ReadAll(reader),
              std::vector<std::string>(payloads.begin(), payloads.begin() + intact_count));
    EXPECT_EQ(reader.valid_bytes(), ends[intact_count]);
    const std::string_view rest =
        complete_file.substr(ends[intact_count], cut - ends[intact_count]);
    const bool all_zero = rest.find_first_not_of('\0') == std::string_view::npos;
    const RecordTail cut_tail = all_zero ? RecordTail::kReserved : RecordTail::kTorn;
    EXPECT_EQ(reader.tail(), rest.empty() ? RecordTail::kClean : cut_tail);
  }
  for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
    std::string damaged = bytes;
    damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1 << (bit % 8)));
    RecordReader reader(damaged, kSeed);
    const std::size_t intact_count = intact_records_before(bit / 8);
    EXPECT_EQ(ReadAll(reader).size(), intact_count);
    EXPECT_EQ(reader.valid_bytes(), ends[intact_count]);
    const std::size_t offset_in_record = bit / 8 - ends[intact_count];
    const bool length_damaged = offset_in_record < 4;
    const bool last = intact_count + 1 == payloads.size();
    EXPECT_EQ(reader.tail(), length_damaged || last ? RecordTail::kTorn : RecordTail::kCorrupt)
        << "bit " << bit;
  }
}

TEST(RecordFileTest, RejectsReservedSpaceAndOtherSeeds) {
  std::string bytes = EncodeRecord("payload", kSeed);
  const std::size_t end = bytes.size();
  bytes.append(100, '\0');
  RecordReader reader(bytes, kSeed);
  EXPECT_EQ(ReadAll(reader).size(), 1U);
  EXPECT_EQ(reader.valid_bytes(), end);
  EXPECT_EQ(reader.tail(), RecordTail::kReserved);
  RecordReader reader_with_other_seed(bytes, kSeed + 1);
  EXPECT_FALSE(reader_with_other_seed.Next().has_value());
}

TEST(RecordFileTest, RandomBytesNeverReadAsRecords) {
  std::mt19937_64 random(1);
  for (int round = 0; round < 10000; ++round) {
    std::string bytes(random() % 64, '\0');
    for (char& byte : bytes) {
      // Small values, so that the length field often fits into the bytes.
      byte = static_cast<char>(random() % 3);
    }
    RecordReader reader(bytes, kSeed);
    ASSERT_FALSE(reader.Next().has_value());
    ASSERT_EQ(reader.valid_bytes(), 0U);
  }
}

}  // namespace
}  // namespace cloverbank
