#include "backup/disk_id.h"

#include <array>
#include <charconv>
#include <optional>
#include <string_view>

#include "base/logging.h"
#include "storage/record_file.h"

namespace cloverbank {
namespace {

constexpr const char* kDiskIdFile = "disk_id";
constexpr std::uint64_t kDiskIdSeed = 0;

std::string RandomHex(Environment& environment) {
  constexpr int kHexBase = 16;
  constexpr int kWords = 2;
  std::string text;
  for (int i = 0; i < kWords; ++i) {
    std::array<char, kHexBase> digits{};
    const auto [end, error] =
        std::to_chars(digits.data(), digits.data() + digits.size(), environment.Random(), kHexBase);
    text.append(digits.data(), end);
  }
  return text;
}

std::optional<std::string> ReadDiskId(DataFolder& folder) {
  const Result<std::string> bytes = folder.Read(kDiskIdFile);
  if (!bytes.ok()) {
    return std::nullopt;
  }
  RecordReader reader(*bytes, kDiskIdSeed);
  const std::optional<std::string_view> stored = reader.Next();
  if (!stored) {
    Log(LogLevel::kError, "disk_id_damaged", {{"file", kDiskIdFile}});
    return std::nullopt;
  }
  return std::string(*stored);
}

}  // namespace

std::string LoadOrCreateDiskId(Environment& environment, DataFolder& folder) {
  if (std::optional<std::string> stored = ReadDiskId(folder)) {
    return *std::move(stored);
  }
  std::string disk_id = RandomHex(environment);
  folder.Replace(kDiskIdFile, EncodeRecord(disk_id, kDiskIdSeed), [](const Status& status) {
    if (!status.ok()) {
      Log(LogLevel::kError, "disk_id_write_failed", {{"reason", status.ToString()}});
    }
  });
  return disk_id;
}

}  // namespace cloverbank
