#include "stored_data/stored_folder.h"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

namespace cloverbank::stored_data {
namespace {

std::string ReadRealFile(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

void AddFiles(DataFolder& data, const std::string& folder, FolderContent* content) {
  const auto names = data.List(folder);
  ASSERT_TRUE(names.ok()) << names.status().ToString();
  for (const std::string& name : *names) {
    std::string path = folder;
    if (!path.empty()) {
      path += '/';
    }
    path += name;
    const auto bytes = data.Read(path);
    ASSERT_TRUE(bytes.ok()) << path;
    (*content)[path] = *bytes;
  }
}

}  // namespace

FolderContent ReadRealFolder(const std::filesystem::path& folder) {
  FolderContent content;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(folder)) {
    if (entry.is_regular_file()) {
      content[entry.path().lexically_relative(folder).string()] = ReadRealFile(entry.path());
    }
  }
  return content;
}

FolderContent ReadDataFolder(DataFolder& data, const std::string& subfolder) {
  FolderContent content;
  AddFiles(data, "", &content);
  AddFiles(data, subfolder, &content);
  return content;
}

void FillDataFolder(const FolderContent& content, DataFolder& data) {
  for (const auto& [name, bytes] : content) {
    data.Replace(name, bytes, [](const Status& status) { EXPECT_TRUE(status.ok()); });
  }
}

}  // namespace cloverbank::stored_data
