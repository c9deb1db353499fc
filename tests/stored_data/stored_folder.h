#pragma once
/// @file
/// Moves the files of a data folder between a real folder and a simulated machine's disk.

#include <filesystem>
#include <map>
#include <string>

#include "storage/data_folder.h"

namespace cloverbank::stored_data {

/// File name within the data folder -> its bytes.
using FolderContent = std::map<std::string, std::string>;

/// @return all files below `folder`, one level of sub-folders included.
FolderContent ReadRealFolder(const std::filesystem::path& folder);
/// @return all files of the folder, whose sub-folders are `folders`.
FolderContent ReadDataFolder(DataFolder& data, const std::string& folders);
/// Writes `content` into an empty simulated disk.
void FillDataFolder(const FolderContent& content, DataFolder& data);

}  // namespace cloverbank::stored_data
