#include "storage/file_name.h"

namespace cloverbank {

namespace {

bool IsPartAllowed(std::string_view part) {
  return !part.empty() && part.front() != '.' && !part.ends_with(kTemporarySuffix) &&
         part.find('/') == std::string_view::npos && part.find('\0') == std::string_view::npos;
}

}  // namespace

Status CheckFileName(std::string_view name) {
  const auto [folder, bare_name] = SplitFileName(name);
  const bool has_folder = name.find('/') != std::string_view::npos;
  if (IsPartAllowed(bare_name) && (!has_folder || IsPartAllowed(folder))) {
    return Status::Ok();
  }
  return {StatusCode::kInvalidArgument, "not a file name of a data folder: " + std::string(name)};
}

std::pair<std::string, std::string> SplitFileName(std::string_view name) {
  const std::size_t slash = name.find('/');
  if (slash == std::string_view::npos) {
    return {"", std::string(name)};
  }
  return {std::string(name.substr(0, slash)), std::string(name.substr(slash + 1))};
}

}  // namespace cloverbank
