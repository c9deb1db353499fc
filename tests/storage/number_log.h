#pragma once
/// @file
/// A small program that keeps a log file as consensus and backups do: it appends records with
/// consecutive numbers in bursts, and at each start checks them and truncates the file after the
/// last valid record.

#include <gtest/gtest.h>

#include <cstdint>
#include <string>

#include "storage/data_folder.h"
#include "storage/record_file.h"

namespace cloverbank {

class NumberLog {
 public:
  static constexpr const char* kFileName = "log";
  static constexpr std::uint64_t kSeed = 99;

  /// @param acknowledged the highest number acknowledged so far, over all restarts.
  NumberLog(DataFolder& folder, std::uint64_t& acknowledged)
      : folder_(folder), acknowledged_(acknowledged) {
    Load();
  }

  /// Appends `count` records of varying size without waiting for them, unless an operation has
  /// failed.
  void AppendMore(std::uint64_t count) {
    for (; count > 0 && !failed_; --count) {
      const std::uint64_t number = ++last_number_;
      folder_.Append(kFileName, EncodeRecord(Payload(number), kSeed),
                     [this, number](const Status& status) { OnAppended(number, status); });
    }
  }
  /// @return whether any operation has failed.
  bool failed() const { return failed_; }

 private:
  static std::string Payload(std::uint64_t number) {
    constexpr std::uint64_t kPaddingLimit = 40;
    return std::to_string(number) + std::string(number * number % kPaddingLimit, '.');
  }

  void Load() {
    const auto content = folder_.Read(kFileName);
    const std::string bytes = content.ok() ? *content : "";
    RecordReader reader(bytes, kSeed);
    while (const auto payload = reader.Next()) {
      ASSERT_EQ(*payload, Payload(++last_number_));
    }
    completed_number_ = last_number_;
    ASSERT_GE(last_number_, acknowledged_) << "an acknowledged record is missing";
    ASSERT_NE(reader.tail(), RecordTail::kCorrupt);
    if (reader.tail() != RecordTail::kClean) {
      folder_.Truncate(kFileName, reader.valid_bytes(),
                       [this](const Status& status) { failed_ = failed_ || !status.ok(); });
    }
  }

  void OnAppended(std::uint64_t number, const Status& status) {
    failed_ = failed_ || !status.ok();
    if (!failed_) {
      ASSERT_EQ(number, ++completed_number_) << "completed out of order";
      acknowledged_ = number;
    }
  }

  DataFolder& folder_;
  std::uint64_t& acknowledged_;
  std::uint64_t last_number_ = 0;
  std::uint64_t completed_number_ = 0;
  bool failed_ = false;
};

}  // namespace cloverbank
