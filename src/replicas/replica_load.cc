#include "replicas/replica_load.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace cloverbank {
namespace {

constexpr std::size_t kFieldCount = 3;

std::optional<std::uint32_t> ParseNumber(std::string_view text) {
  std::uint32_t number = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || parsed_end != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

std::optional<LoadReport> ParseLoadReport(std::string_view value) {
  std::array<std::uint32_t, kFieldCount> fields{};
  for (std::size_t index = 0; index < kFieldCount; ++index) {
    const bool last = index + 1 == kFieldCount;
    const std::size_t slash = value.find('/');
    if (last != (slash == std::string_view::npos)) {
      return std::nullopt;
    }
    const std::optional<std::uint32_t> number = ParseNumber(value.substr(0, slash));
    if (!number) {
      return std::nullopt;
    }
    fields.at(index) = *number;
    value.remove_prefix(last ? value.size() : slash + 1);
  }
  return LoadReport{fields[0], fields[1], fields[2]};
}

void ReplicaLoad::OnStart(WorkKind kind) {
  slow_start_allowance_ -= std::min(slow_start_allowance_, 1U);
  if (kind == WorkKind::kBatch) {
    ++own_batch_;
    batch_allowance_ -= std::min(batch_allowance_, 1U);
  } else {
    ++own_live_;
  }
}

void ReplicaLoad::OnEnd(WorkKind kind) {
  std::uint32_t& count = kind == WorkKind::kBatch ? own_batch_ : own_live_;
  count -= std::min(count, 1U);
}

void ReplicaLoad::OnReport(const LoadReport& report) {
  const std::uint32_t total = report.running + report.queued;
  others_ = total - std::min(total, own());
  reported_capacity_ = report.capacity;
  reported_ = true;
  if (report.running + report.queued < report.capacity) {
    refusing_until_ = TimePoint{};
  }
}

void ReplicaLoad::OnRefused(TimePoint now) { refusing_until_ = now + kRefusalPause; }

void ReplicaLoad::SetSlowStartAllowance(std::uint32_t calls, TimePoint now) {
  slow_start_allowance_ = calls;
  slow_start_allowance_until_ = now + kSlowStartReportLifetime;
}

void ReplicaLoad::SetBatchAllowance(std::uint32_t items, TimePoint now) {
  batch_allowance_ = items;
  batch_allowance_until_ = now + kBatchReportLifetime;
}

std::uint32_t ReplicaLoad::Capacity(std::uint32_t listed) const {
  return reported_capacity_ == 0 ? listed : std::min(listed, reported_capacity_);
}

}  // namespace cloverbank
