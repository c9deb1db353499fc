#pragma once
/// @file
/// A temporary folder; the destructor removes it.

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <string>

namespace cloverbank {

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string path = testing::TempDir() + "cloverbank-storage-XXXXXX";
    path_ = ::mkdtemp(path.data());
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace cloverbank
