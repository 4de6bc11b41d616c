// Name, type, labels and help text of a metric; docs/OPERATORS.md lists all
// metrics.

#pragma once

#include <string_view>

namespace carobbank {

enum class MetricType { kCounter, kGauge, kTiming };

struct MetricDefinition {
  // Ends in its unit; counters end in _total (Prometheus naming rules).
  std::string_view name;
  MetricType type = MetricType::kCounter;
  // Label names, separated by commas.
  std::string_view labels;
  std::string_view help;
};

}  // namespace carobbank
