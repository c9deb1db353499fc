#pragma once
/// @file
/// Reads typed values from a TOML table. It doesn't stop at the first error but collects every one
/// with its position. Only the implementation file includes toml++.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "settings/settings.h"

namespace cloverbank {

/// Inclusive bounds of an integer.
struct NumberBounds {
  std::int64_t minimum;
  std::int64_t maximum;
};

class SettingsReader {
 public:
  /// Parses `toml`. After a syntax error, that error is the only problem.
  /// @param file_name only for error texts.
  SettingsReader(std::string_view toml, std::string file_name);
  ~SettingsReader();
  SettingsReader(const SettingsReader&) = delete;
  SettingsReader& operator=(const SettingsReader&) = delete;

  /// Sets the dotted key of `change` to its value. A value that is not valid TOML is taken as a
  /// plain string.
  void Override(const SettingsOverride& change);

  /// These return nothing if the key is absent or its value is invalid, and record a problem for an
  /// invalid value. `expected` describes a valid value in the problem.
  std::optional<std::string> Text(std::string_view key, std::string_view expected);
  std::optional<std::int64_t> Number(std::string_view key, NumberBounds bounds);
  std::optional<bool> Boolean(std::string_view key);
  std::optional<std::vector<std::string>> TextList(std::string_view key, std::string_view expected);

  /// Records a problem if the required `key` is absent, at the line of its section if there is one.
  void RequireKey(std::string_view key, std::string_view expected);
  /// Records that `key` has the value `found` where `expected` was required.
  void Reject(std::string_view key, std::string_view found, std::string_view expected);
  /// Records every key in the file that none of the functions above has read, and suggests the most
  /// similar known key.
  void RejectUnknownKeys();

  bool Has(std::string_view key) const;
  const std::vector<SettingsProblem>& problems() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/// @return the endpoint in "ip:port", or nothing if `text` is not an IP address and a port.
std::optional<Endpoint> ParseEndpoint(std::string_view text);
/// @return whether `text` is an IPv4 or IPv6 address.
bool IsIpAddress(const std::string& text);

}  // namespace cloverbank
