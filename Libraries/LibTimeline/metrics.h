// Counters, gauges and timings with labels, and their Prometheus text.

#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/core.h"
#include "LibTimeline/metric_definition.h"

namespace carobbank {

struct MetricLabel {
  std::string name;
  std::string value;
};

using MetricLabels = std::vector<MetricLabel>;

// A value that never decreases.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) {
    this->value.fetch_add(amount, std::memory_order_relaxed);
  }
  std::uint64_t Value() const {
    return this->value.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<std::uint64_t> value = 0;
};

class Gauge {
 public:
  void Set(double new_value) {
    this->value.store(new_value, std::memory_order_relaxed);
  }
  void Add(double change) {
    this->value.fetch_add(change, std::memory_order_relaxed);
  }
  double Value() const { return this->value.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> value = 0;
};

// Quantiles of a timing's last full window that holds samples, else of its
// current window, and totals; in seconds.
struct TimingSummary {
  // Over the lifetime of the process.
  std::uint64_t count = 0;
  double sum_s = 0;
  // NaN when the window holds no sample.
  double median_s = 0;
  double p90_s = 0;
  double p99_s = 0;
};

// A distribution of durations in fixed memory: the P-square algorithm (Jain
// and Chlamtac 1985) through Boost.Accumulators, restarted every window.
class Timing {
 public:
  explicit Timing(const Clock& clock);
  ~Timing();

  void Record(std::chrono::nanoseconds duration);
  TimingSummary Summary() const;

 private:
  struct Window;
  // Discards windows that ended; both windows are empty after a long time
  // without samples.
  void Rotate(MonotonicTime now) const;

  const Clock& clock;
  mutable std::mutex mutex;
  std::uint64_t count = 0;
  double sum_s = 0;
  mutable MonotonicTime window_start;
  mutable std::unique_ptr<Window> current;
  mutable std::unique_ptr<Window> previous;
};

// Owns every metric of one process. Handles stay valid for the registry's
// lifetime; look them up once and store them, so that the hot path only adds.
class MetricRegistry {
 public:
  explicit MetricRegistry(const Clock& clock);
  ~MetricRegistry();
  MetricRegistry(const MetricRegistry&) = delete;
  MetricRegistry& operator=(const MetricRegistry&) = delete;

  // The series with these labels; the same handle for the same labels. Past
  // kMaxSeriesPerMetric all further label sets share one series whose label
  // values are "other", so that external input can't grow the memory.
  Counter& GetCounter(const MetricDefinition& definition,
                      const MetricLabels& labels = {});
  Gauge& GetGauge(const MetricDefinition& definition,
                  const MetricLabels& labels = {});
  Timing& GetTiming(const MetricDefinition& definition,
                    const MetricLabels& labels = {});

  // Prometheus text exposition format, version 0.0.4.
  std::string PrometheusText() const;

 private:
  struct Series;
  struct Family;
  Series& Find(const MetricDefinition& definition, const MetricLabels& labels);

  const Clock& clock;
  mutable std::mutex mutex;
  // Keyed by the metric's name.
  std::map<std::string, Family, std::less<>> families;
};

inline constexpr std::size_t kMaxSeriesPerMetric = 2'000;

}  // namespace carobbank
