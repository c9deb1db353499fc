#pragma once
/// @file
/// Counters, gauges and histograms with labels, rendered in the Prometheus text format.
/// This header hides prometheus-cpp. All functions are thread-safe.

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace cloverbank {

/// One label of a metric, e.g. {"reason", "no_ready_replica"}.
using MetricLabel = std::pair<std::string_view, std::string_view>;

/// The metrics of one process. Metric names are snake_case and end in their unit (`_total`,
/// `_seconds`, `_bytes`).
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds `amount` to the counter `name` with `labels`, creating it on first use.
  void Increment(std::string_view name, std::initializer_list<MetricLabel> labels = {},
                 double amount = 1);
  /// Sets the gauge `name` with `labels` to `value`, creating it on first use.
  void SetGauge(std::string_view name, double value,
                std::initializer_list<MetricLabel> labels = {});
  /// Records `value_seconds` in the latency histogram `name` with `labels`, creating it on first
  /// use.
  void ObserveSeconds(std::string_view name, double value_seconds,
                      std::initializer_list<MetricLabel> labels = {});
  /// @return all metrics in the Prometheus text exposition format.
  std::string Render() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace cloverbank
