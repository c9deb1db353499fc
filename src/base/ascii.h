#pragma once
/// @file
/// Comparison of texts that ignores the case of ASCII letters. Pure.

#include <algorithm>
#include <cctype>
#include <string_view>

namespace cloverbank {

/// @return whether two header names or hosts are equal, ignoring case.
inline bool EqualIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char one, unsigned char other) {
                      return std::tolower(one) == std::tolower(other);
                    });
}

}  // namespace cloverbank
