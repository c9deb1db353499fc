#pragma once
/// @file
/// A member's in-memory copy of the replicated log: the entries after a base, and the group
/// configurations that they contain. It does no I/O; its owner writes each change to disk. Threads:
/// the owner's event loop only.

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "proto/consensus.pb.h"

namespace cloverbank {

/// The entries after `base_index` up to and including `last_index`.
class RaftLog {
 public:
  /// @param configuration the configuration in force at the base.
  RaftLog(std::uint64_t base_index, std::uint64_t base_term,
          proto::RaftConfiguration configuration);

  std::uint64_t base_index() const { return base_index_; }
  std::uint64_t base_term() const { return base_term_; }
  std::uint64_t last_index() const { return base_index_ + entries_.size(); }
  std::uint64_t last_term() const;

  /// @return the term of the entry at `index`, the base included; none before the base or after the
  /// end.
  std::optional<std::uint64_t> TermAt(std::uint64_t index) const;
  /// Requires base < index <= last.
  const proto::RaftEntry& At(std::uint64_t index) const;
  /// @return the index of the first entry in the log that has the term of the entry at `index`.
  std::uint64_t FirstIndexOfTermAt(std::uint64_t index) const;
  /// @return entries from `first` on, within both limits, but at least one if there is one.
  std::vector<proto::RaftEntry> Slice(std::uint64_t first, std::size_t maximum_entries,
                                      std::size_t maximum_bytes) const;

  /// Requires entry.index() == last_index() + 1.
  void Append(proto::RaftEntry entry);
  /// Removes `index` and all after it, with the configurations they contain. Requires index > base.
  void TruncateFrom(std::uint64_t index);
  /// Makes `index` the base. Requires base <= index <= last.
  void CompactTo(std::uint64_t index);
  /// Drops all entries; a snapshot that ends at `index` replaces them.
  void Reset(std::uint64_t index, std::uint64_t term, proto::RaftConfiguration configuration);

  /// The configuration in force: the last one in the log, committed or not (Raft, section 6).
  const proto::RaftConfiguration& configuration() const {
    return configurations_.back().configuration;
  }
  /// Index of the entry that contains `configuration()`; the base's if none does.
  std::uint64_t configuration_index() const { return configurations_.back().index; }
  /// @return the configuration in force at `index`.
  const proto::RaftConfiguration& ConfigurationAt(std::uint64_t index) const;

 private:
  struct IndexedConfiguration {
    std::uint64_t index = 0;  ///< Of the entry that contains it, or the base.
    proto::RaftConfiguration configuration;
  };

  std::uint64_t base_index_;
  std::uint64_t base_term_;
  std::deque<proto::RaftEntry> entries_;
  /// In order of their index; never empty.
  std::deque<IndexedConfiguration> configurations_;
};

}  // namespace cloverbank
