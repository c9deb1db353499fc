#include "storage/file_name.h"

namespace cloverbank {

namespace {

bool IsNameComponentAllowed(std::string_view component) {
  return !component.empty() && component.front() != '.' && !component.ends_with(kTemporarySuffix) &&
         component.find('/') == std::string_view::npos &&
         component.find('\0') == std::string_view::npos;
}

}  // namespace

Status CheckFileName(std::string_view name) {
  const auto [folder, bare_name] = SplitFileName(name);
  const bool has_folder = name.find('/') != std::string_view::npos;
  if (IsNameComponentAllowed(bare_name) && (!has_folder || IsNameComponentAllowed(folder))) {
    return Status::Ok();
  }
  return {StatusCode::kInvalidArgument,
          "not a valid file name in a data folder: \"" + std::string(name) + "\""};
}

std::pair<std::string, std::string> SplitFileName(std::string_view name) {
  const std::size_t slash = name.find('/');
  if (slash == std::string_view::npos) {
    return {"", std::string(name)};
  }
  return {std::string(name.substr(0, slash)), std::string(name.substr(slash + 1))};
}

}  // namespace cloverbank
