#pragma once
/// @file
/// The load of a replica as one gateway knows it: the gateway's own calls, and the total that the
/// replica last reported. Gateways share replicas without knowing each other's calls, so the calls
/// of others are computed as the reported total minus the own calls. Pure.

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/time.h"

namespace cloverbank {

/// Header of replicas' responses: "<running>/<queued>/<capacity>". The counts include the call that
/// the response belongs to.
inline constexpr std::string_view kLoadHeader = "x-cloverbank-load";

/// The load of a replica as the replica reports it, with the calls of all gateways.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t capacity = 0;  ///< Calls that it can run concurrently now; 0: unknown.
};

/// @return the report, or nothing if `value` does not have the format of `kLoadHeader`.
std::optional<LoadReport> ParseLoadReport(std::string_view value);

/// How long no call is sent to a replica after it refused one because it was full.
inline constexpr Duration kRefusalPause = milliseconds(200);

/// How long a load report of a replica in slow start is acted on.
inline constexpr Duration kSlowStartReportLifetime = milliseconds(150);
/// How long a load report is acted on for batch work.
inline constexpr Duration kBatchReportLifetime = milliseconds(1200);

/// Whether a call is live or batch work; live work has priority.
enum class WorkKind : std::uint8_t { kLive, kBatch };

class ReplicaLoad {
 public:
  /// A call of this gateway starts at the replica, or ends.
  void OnStart(WorkKind kind);
  void OnEnd(WorkKind kind);
  /// A load report was received.
  void OnReport(const LoadReport& report);
  /// The replica refused a call because it was full; see `kRefusalPause`.
  void OnRefused(TimePoint now);
  /// Whether it refused a call within `kRefusalPause`, and has reported no free capacity since.
  bool IsRefusing(TimePoint now) const { return now < refusing_until_; }

  /// Calls of this gateway that are in progress.
  std::uint32_t own() const { return own_live_ + own_batch_; }
  std::uint32_t own_batch() const { return own_batch_; }
  /// Calls of other gateways, running or queued, as of the last report.
  std::uint32_t others() const { return others_; }
  /// Estimate of the number of calls of all gateways at the replica.
  std::uint32_t total() const { return own() + others_; }
  /// @return the concurrent calls that the replica can run: the reported capacity if it is known
  /// and smaller than `listed`, the one in the replica list; otherwise `listed`.
  std::uint32_t Capacity(std::uint32_t listed) const;
  /// Calls that may still start before the next report at a replica in slow start. Expires after
  /// `kSlowStartReportLifetime`, since other gateways act on the same report.
  std::uint32_t slow_start_allowance(TimePoint now) const {
    return now < slow_start_allowance_until_ ? slow_start_allowance_ : 0;
  }
  void SetSlowStartAllowance(std::uint32_t calls, TimePoint now);
  /// Batch items that may still start before the next report. All gateways see the same free
  /// capacity, so each uses only a part of it. Expires after `kBatchReportLifetime`.
  std::uint32_t batch_allowance(TimePoint now) const {
    return now < batch_allowance_until_ ? batch_allowance_ : 0;
  }
  void SetBatchAllowance(std::uint32_t items, TimePoint now);
  /// Whether the replica has ever reported its load.
  bool reported() const { return reported_; }

 private:
  std::uint32_t own_live_ = 0;
  std::uint32_t own_batch_ = 0;
  std::uint32_t others_ = 0;
  std::uint32_t reported_capacity_ = 0;
  std::uint32_t slow_start_allowance_ = 0;
  TimePoint slow_start_allowance_until_{};
  std::uint32_t batch_allowance_ = 0;
  TimePoint batch_allowance_until_{};
  bool reported_ = false;
  TimePoint refusing_until_{};
};

}  // namespace cloverbank
