#include "consensus/raft_log.h"

#include <utility>

namespace cloverbank {

RaftLog::RaftLog(std::uint64_t base_index, std::uint64_t base_term,
                 proto::RaftConfiguration configuration)
    : base_index_(base_index), base_term_(base_term) {
  configurations_.push_back({base_index, std::move(configuration)});
}

std::uint64_t RaftLog::last_term() const {
  return entries_.empty() ? base_term_ : entries_.back().term();
}

std::optional<std::uint64_t> RaftLog::TermAt(std::uint64_t index) const {
  if (index < base_index_ || index > last_index()) {
    return std::nullopt;
  }
  return index == base_index_ ? base_term_ : At(index).term();
}

const proto::RaftEntry& RaftLog::At(std::uint64_t index) const {
  return entries_[index - base_index_ - 1];
}

std::uint64_t RaftLog::FirstIndexOfTermAt(std::uint64_t index) const {
  const std::uint64_t term = *TermAt(index);
  while (index > base_index_ + 1 && At(index - 1).term() == term) {
    --index;
  }
  return index;
}

std::vector<proto::RaftEntry> RaftLog::Slice(std::uint64_t first, std::size_t maximum_entries,
                                             std::size_t maximum_bytes) const {
  std::vector<proto::RaftEntry> slice;
  std::size_t bytes = 0;
  for (std::uint64_t index = first; index <= last_index(); ++index) {
    const proto::RaftEntry& entry = At(index);
    bytes += entry.ByteSizeLong();
    if (!slice.empty() && (slice.size() >= maximum_entries || bytes > maximum_bytes)) {
      break;
    }
    slice.push_back(entry);
  }
  return slice;
}

void RaftLog::Append(proto::RaftEntry entry) {
  if (entry.has_configuration()) {
    configurations_.push_back({entry.index(), entry.configuration()});
  }
  entries_.push_back(std::move(entry));
}

void RaftLog::TruncateFrom(std::uint64_t index) {
  entries_.resize(index - base_index_ - 1);
  while (configurations_.size() > 1 && configurations_.back().index >= index) {
    configurations_.pop_back();
  }
}

void RaftLog::CompactTo(std::uint64_t index) {
  base_term_ = *TermAt(index);
  entries_.erase(entries_.begin(),
                 entries_.begin() + static_cast<std::ptrdiff_t>(index - base_index_));
  base_index_ = index;
  while (configurations_.size() > 1 && configurations_[1].index <= index) {
    configurations_.pop_front();
  }
}

void RaftLog::Reset(std::uint64_t index, std::uint64_t term,
                    proto::RaftConfiguration configuration) {
  base_index_ = index;
  base_term_ = term;
  entries_.clear();
  configurations_.clear();
  configurations_.push_back({index, std::move(configuration)});
}

const proto::RaftConfiguration& RaftLog::ConfigurationAt(std::uint64_t index) const {
  auto found = configurations_.rbegin();
  while (std::next(found) != configurations_.rend() && found->index > index) {
    ++found;
  }
  return found->configuration;
}

}  // namespace cloverbank
