#include "base/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>

namespace cloverbank {
namespace {

prometheus::Labels ToLabels(std::initializer_list<MetricLabel> labels) {
  prometheus::Labels converted;
  for (const MetricLabel& label : labels) {
    converted.emplace(label.first, label.second);
  }
  return converted;
}

/// @return the upper bounds of the histogram buckets, in seconds.
prometheus::Histogram::BucketBoundaries LatencyBuckets() {
  return {0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30};
}

}  // namespace

struct Metrics::State {
  prometheus::Registry registry;
};

Metrics::Metrics() : state_(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::Increment(std::string_view name, std::initializer_list<MetricLabel> labels,
                        double amount) {
  prometheus::BuildCounter()
      .Name(std::string(name))
      .Register(state_->registry)
      .Add(ToLabels(labels))
      .Increment(amount);
}

void Metrics::SetGauge(std::string_view name, double value,
                       std::initializer_list<MetricLabel> labels) {
  prometheus::BuildGauge()
      .Name(std::string(name))
      .Register(state_->registry)
      .Add(ToLabels(labels))
      .Set(value);
}

void Metrics::ObserveSeconds(std::string_view name, double value_seconds,
                             std::initializer_list<MetricLabel> labels) {
  prometheus::BuildHistogram()
      .Name(std::string(name))
      .Register(state_->registry)
      .Add(ToLabels(labels), LatencyBuckets())
      .Observe(value_seconds);
}

std::string Metrics::Render() const {
  return prometheus::TextSerializer().Serialize(state_->registry.Collect());
}

}  // namespace cloverbank
