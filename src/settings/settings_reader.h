#pragma once
/// @file
/// Reads typed values out of a TOML table, collecting every mistake with its position instead of
/// stopping at the first. toml++ stays behind this header's implementation file.

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
  /// Parses `toml`; a syntax error becomes the only problem.
  SettingsReader(std::string_view toml, std::string file_name);
  ~SettingsReader();
  SettingsReader(const SettingsReader&) = delete;
  SettingsReader& operator=(const SettingsReader&) = delete;

  /// Replaces the value at a dotted key by `value`, read as TOML or else as a plain string.
  void Override(const SettingsOverride& change);

  /// Each returns nothing when the key is absent or wrong; a wrong one is recorded.
  std::optional<std::string> Text(std::string_view key, std::string_view expected);
  std::optional<std::int64_t> Number(std::string_view key, NumberBounds bounds);
  std::optional<bool> Boolean(std::string_view key);
  std::optional<std::vector<std::string>> TextList(std::string_view key, std::string_view expected);

  /// Records that a needed key is absent (at the line of its section if there is one).
  void RequireKey(std::string_view key, std::string_view expected);
  /// Records that the value present at `key` is not what is expected.
  void Reject(std::string_view key, std::string_view found, std::string_view expected);
  /// Records every key that was never asked for, naming the nearest known one.
  void RejectUnknownKeys();

  bool Has(std::string_view key) const;
  const std::vector<SettingsProblem>& problems() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/// @return the endpoint in "ip:port", or nothing if it is not an IP number and a port.
std::optional<Endpoint> ParseEndpoint(std::string_view text);
/// @return whether `text` is an IPv4 or IPv6 number.
bool IsIpNumber(const std::string& text);

}  // namespace cloverbank
