#pragma once
/// @file
/// Reads the files of data folders on the real file system and on a simulated machine's disk, and
/// writes them to a simulated disk.

#include <filesystem>
#include <map>
#include <string>

#include "storage/data_folder.h"

namespace cloverbank::stored_data {

/// Map from the path of a file, relative to the data folder, to its bytes.
using FolderContent = std::map<std::string, std::string>;

/// @return all files below `folder`, including those in its subfolders.
FolderContent ReadRealFolder(const std::filesystem::path& folder);
/// @return the files at the top level of `data` and in its folder `subfolder`. A failed read fails
/// the running test.
FolderContent ReadDataFolder(DataFolder& data, const std::string& subfolder);
/// Writes `content` to an empty simulated disk. A failed write fails the running test.
void FillDataFolder(const FolderContent& content, DataFolder& data);

}  // namespace cloverbank::stored_data
