#include "settings/settings_reader.h"

#include <arpa/inet.h>
#include <toml++/toml.h>

#include <array>
#include <charconv>
#include <set>
#include <sstream>

namespace cloverbank {
namespace {

/// A known key is suggested for an unknown one if their edit distance is below this.
constexpr std::size_t kSuggestionDistanceLimit = 4;

/// @return the value as error texts show it.
std::string FormatValue(const toml::node& node) {
  std::ostringstream text;
  if (const auto* string = node.as_string()) {
    text << '"' << string->get() << '"';
  } else if (const auto* number = node.as_integer()) {
    text << number->get();
  } else if (const auto* floating = node.as_floating_point()) {
    text << floating->get();
  } else if (const auto* boolean = node.as_boolean()) {
    text << (boolean->get() ? "true" : "false");
  } else if (node.is_array()) {
    text << "an array";
  } else if (node.is_table()) {
    text << "a section";
  } else {
    text << "a date or time";
  }
  return text.str();
}

/// @return the Levenshtein distance.
std::size_t EditDistance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  for (std::size_t column = 0; column <= right.size(); ++column) {
    row[column] = column;
  }
  for (std::size_t prefix = 1; prefix <= left.size(); ++prefix) {
    std::size_t diagonal = row[0];
    row[0] = prefix;
    for (std::size_t column = 1; column <= right.size(); ++column) {
      const std::size_t substitution = diagonal + (left[prefix - 1] == right[column - 1] ? 0 : 1);
      diagonal = row[column];
      row[column] = std::min({row[column] + 1, row[column - 1] + 1, substitution});
    }
  }
  return row[right.size()];
}

/// @return the section and the name of a dotted key; the section is empty if there is no dot.
std::pair<std::string, std::string> SplitKey(std::string_view key) {
  const auto dot = key.find('.');
  if (dot == std::string_view::npos) {
    return {std::string(), std::string(key)};
  }
  return {std::string(key.substr(0, dot)), std::string(key.substr(dot + 1))};
}

}  // namespace

struct SettingsReader::State {
  std::string file;
  toml::table table;
  bool parsed = true;
  std::set<std::string> known;       ///< Keys that the program has read.
  std::set<std::string> overridden;  ///< Keys set by a flag.
  std::vector<SettingsProblem> problems;

  const toml::node* Find(std::string_view key) { return table.at_path(key).node(); }

  /// @return the line of `key` or else of its section; 0 if the file has neither.
  std::uint32_t LineOf(std::string_view key) {
    const toml::node* node = Find(key);
    if (node == nullptr) {
      node = Find(SplitKey(key).first);
    }
    return node == nullptr ? 0 : static_cast<std::uint32_t>(node->source().begin.line);
  }

  void AddProblem(std::string_view key, std::string found, std::string_view expected) {
    const bool from_flag = overridden.contains(std::string(key));
    problems.push_back({from_flag ? "--set" : file, from_flag ? 0 : LineOf(key), std::string(key),
                        std::move(found), std::string(expected)});
  }

  /// Records `key` as known and returns its value; nullptr if it is absent.
  const toml::node* MarkKnownAndFind(std::string_view key) {
    known.emplace(key);
    return Find(key);
  }
};

SettingsReader::SettingsReader(std::string_view toml, std::string file_name)
    : state_(std::make_unique<State>()) {
  state_->file = std::move(file_name);
  try {
    state_->table = toml::parse(toml, state_->file);
  } catch (const toml::parse_error& error) {
    state_->parsed = false;
    state_->problems.push_back({state_->file, static_cast<std::uint32_t>(error.source().begin.line),
                                "", std::string(error.description()), "well-formed TOML"});
  }
}

SettingsReader::~SettingsReader() = default;

void SettingsReader::Override(const SettingsOverride& change) {
  const auto [section, name] = SplitKey(change.key);
  if (section.empty() || name.empty()) {
    state_->problems.push_back({"--set", 0, change.key, change.key, "section.key=value"});
    return;
  }
  auto [position, inserted] = state_->table.insert(section, toml::table{});
  toml::table* table = position->second.as_table();
  if (table == nullptr) {
    return;
  }
  state_->overridden.insert(change.key);
  try {
    toml::table parsed = toml::parse("value = " + change.value);
    table->insert_or_assign(name, std::move(*parsed.get("value")));
  } catch (const toml::parse_error&) {
    table->insert_or_assign(name, change.value);
  }
}

std::optional<std::string> SettingsReader::Text(std::string_view key, std::string_view expected) {
  const toml::node* node = state_->MarkKnownAndFind(key);
  if (node == nullptr) {
    return std::nullopt;
  }
  const auto* text = node->as_string();
  if (text == nullptr || text->get().empty()) {
    state_->AddProblem(key, FormatValue(*node), expected);
    return std::nullopt;
  }
  return text->get();
}

std::optional<std::int64_t> SettingsReader::Number(std::string_view key, NumberBounds bounds) {
  const toml::node* node = state_->MarkKnownAndFind(key);
  if (node == nullptr) {
    return std::nullopt;
  }
  const auto* number = node->as_integer();
  if (number == nullptr || number->get() < bounds.minimum || number->get() > bounds.maximum) {
    state_->AddProblem(key, FormatValue(*node),
                       "a whole number from " + std::to_string(bounds.minimum) + " to " +
                           std::to_string(bounds.maximum));
    return std::nullopt;
  }
  return number->get();
}

std::optional<bool> SettingsReader::Boolean(std::string_view key) {
  const toml::node* node = state_->MarkKnownAndFind(key);
  if (node == nullptr) {
    return std::nullopt;
  }
  const auto* boolean = node->as_boolean();
  if (boolean == nullptr) {
    state_->AddProblem(key, FormatValue(*node), "true or false");
    return std::nullopt;
  }
  return boolean->get();
}

std::optional<std::vector<std::string>> SettingsReader::TextList(std::string_view key,
                                                                 std::string_view expected) {
  const toml::node* node = state_->MarkKnownAndFind(key);
  if (node == nullptr) {
    return std::nullopt;
  }
  const auto* array = node->as_array();
  if (array == nullptr) {
    state_->AddProblem(key, FormatValue(*node), expected);
    return std::nullopt;
  }
  std::vector<std::string> values;
  for (const toml::node& element : *array) {
    const auto* text = element.as_string();
    if (text == nullptr) {
      state_->AddProblem(key, FormatValue(element), expected);
      return std::nullopt;
    }
    values.push_back(text->get());
  }
  return values;
}

void SettingsReader::RequireKey(std::string_view key, std::string_view expected) {
  if (state_->parsed && !Has(key)) {
    state_->AddProblem(key, "nothing", expected);
  }
}

void SettingsReader::Reject(std::string_view key, std::string_view found,
                            std::string_view expected) {
  state_->AddProblem(key, std::string(found), expected);
}

void SettingsReader::RejectUnknownKeys() {
  for (const auto& [section, node] : state_->table) {
    const std::string section_name(section.str());
    const auto* table = node.as_table();
    if (table == nullptr) {
      state_->AddProblem(section_name, FormatValue(node), "a section in brackets, such as [node]");
      continue;
    }
    for (const auto& [name, value] : *table) {
      const std::string key = section_name + "." + std::string(name.str());
      if (state_->known.contains(key)) {
        continue;
      }
      std::string expected = "a known key";
      std::size_t best = kSuggestionDistanceLimit;
      for (const std::string& candidate : state_->known) {
        const std::size_t distance = EditDistance(candidate, key);
        if (distance < best) {
          best = distance;
          expected = "a known key; did you mean " + candidate + "?";
        }
      }
      state_->AddProblem(key, "an unknown key", expected);
    }
  }
}

bool SettingsReader::Has(std::string_view key) const { return state_->Find(key) != nullptr; }

const std::vector<SettingsProblem>& SettingsReader::problems() const { return state_->problems; }

bool IsIpAddress(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  return inet_pton(AF_INET, text.c_str(), bytes.data()) == 1 ||
         inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1;
}

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string host(text.substr(0, colon));
  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  const bool complete = error == std::errc() && end == port_text.data() + port_text.size();
  if (!complete || port == 0 || !IsIpAddress(host)) {
    return std::nullopt;
  }
  return Endpoint{host, port};
}

}  // namespace cloverbank
