// The registry of metrics and the Prometheus text exposition format.

#include "LibTimeline/metrics.h"

#include <fmt/format.h>

#include <cmath>
#include <optional>

namespace carobbank {

namespace {

constexpr std::string_view kOverflowValue = "other";

std::string_view TypeName(MetricType type) {
  switch (type) {
    case MetricType::kCounter:
      return "counter";
    case MetricType::kGauge:
      return "gauge";
    case MetricType::kTiming:
      return "summary";
  }
  return "untyped";
}

// Label values escape backslash, quote and line feed.
std::string Escaped(std::string_view value) {
  std::string text;
  for (const char character : value) {
    if (character == '\n') {
      text += "\\n";
      continue;
    }
    if (character == '\\' || character == '"') {
      text += '\\';
    }
    text += character;
  }
  return text;
}

std::string LabelText(const MetricLabels& labels) {
  std::string text;
  for (const MetricLabel& label : labels) {
    text += text.empty() ? "" : ",";
    text += fmt::format("{}=\"{}\"", label.name, Escaped(label.value));
  }
  return text;
}

std::string Number(double value) {
  return std::isnan(value) ? "NaN" : fmt::format("{}", value);
}

std::string Line(std::string_view name,
                 std::string_view labels,
                 std::string_view value) {
  if (labels.empty()) {
    return fmt::format("{} {}\n", name, value);
  }
  return fmt::format("{}{{{}}} {}\n", name, labels, value);
}

std::string TimingLines(std::string_view name,
                        const std::string& labels,
                        const TimingSummary& summary) {
  const std::string prefix = labels.empty() ? "" : labels + ",";
  std::string text;
  text += Line(name, prefix + "quantile=\"0.5\"", Number(summary.median_s));
  text += Line(name, prefix + "quantile=\"0.9\"", Number(summary.p90_s));
  text += Line(name, prefix + "quantile=\"0.99\"", Number(summary.p99_s));
  text += Line(fmt::format("{}_sum", name), labels, Number(summary.sum_s));
  text += Line(fmt::format("{}_count", name), labels,
               std::to_string(summary.count));
  return text;
}

}  // namespace

struct MetricRegistry::Series {
  explicit Series(const Clock& clock) : clock(clock) {}

  Timing& GetTiming() {
    if (!this->timing) {
      this->timing.emplace(this->clock);
    }
    return *this->timing;
  }

  const Clock& clock;
  Counter counter;
  Gauge gauge;
  // Created at first use, since a Timing is far larger than the other two.
  std::optional<Timing> timing;
};

struct MetricRegistry::Family {
  MetricDefinition definition;
  // Keyed by the text of the labels. Invariant: nodes are never erased, so
  // that handles stay valid.
  std::map<std::string, Series> series;
};

MetricRegistry::MetricRegistry(const Clock& clock) : clock(clock) {}

MetricRegistry::~MetricRegistry() = default;

MetricRegistry::Series& MetricRegistry::Find(const MetricDefinition& definition,
                                             const MetricLabels& labels) {
  const auto [found, added] =
      this->families.try_emplace(std::string(definition.name));
  Family& family = found->second;
  if (added) {
    family.definition = definition;
  }
  std::string key = LabelText(labels);
  const bool full = family.series.size() >= kMaxSeriesPerMetric;
  if (full && !family.series.contains(key)) {
    MetricLabels overflow = labels;
    for (MetricLabel& label : overflow) {
      label.value = kOverflowValue;
    }
    key = LabelText(overflow);
  }
  return family.series.try_emplace(std::move(key), this->clock).first->second;
}

Counter& MetricRegistry::GetCounter(const MetricDefinition& definition,
                                    const MetricLabels& labels) {
  const std::lock_guard lock(this->mutex);
  return this->Find(definition, labels).counter;
}

Gauge& MetricRegistry::GetGauge(const MetricDefinition& definition,
                                const MetricLabels& labels) {
  const std::lock_guard lock(this->mutex);
  return this->Find(definition, labels).gauge;
}

Timing& MetricRegistry::GetTiming(const MetricDefinition& definition,
                                  const MetricLabels& labels) {
  const std::lock_guard lock(this->mutex);
  return this->Find(definition, labels).GetTiming();
}

std::string MetricRegistry::PrometheusText() const {
  const std::lock_guard lock(this->mutex);
  std::string text;
  for (const auto& [name, family] : this->families) {
    const MetricType type = family.definition.type;
    text += fmt::format("# HELP {} {}\n", name, family.definition.help);
    text += fmt::format("# TYPE {} {}\n", name, TypeName(type));
    for (const auto& [labels, series] : family.series) {
      if (type == MetricType::kCounter) {
        text += Line(name, labels, std::to_string(series.counter.Value()));
      } else if (type == MetricType::kGauge) {
        text += Line(name, labels, Number(series.gauge.Value()));
      } else if (series.timing) {
        text += TimingLines(name, labels, series.timing->Summary());
      }
    }
  }
  return text;
}

}  // namespace carobbank
