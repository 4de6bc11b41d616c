// Tests of the metrics registry: values, text format, bounds.

#include "LibTimeline/timeline.h"
#include "Support/manual_clock.h"

#include <cmath>
#include <set>
#include <thread>

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(Metrics) {
  ManualClock clock;
  MetricRegistry registry{clock};
};

TEST(Metrics, TheSameLabelsGiveTheSameHandle) {
  Counter& first =
      registry.GetCounter(metrics::kRetries, {{"service", "scorer"}});
  registry.GetCounter(metrics::kRetries, {{"service", "other"}}).Add(5);
  Counter& again =
      registry.GetCounter(metrics::kRetries, {{"service", "scorer"}});
  again.Add(2);
  LONGS_EQUAL(2, first.Value());
}

TEST(Metrics, TextFollowsThePrometheusFormat) {
  registry.GetCounter(metrics::kRetries, {{"service", "a\"b\\c\nd"}}).Add(3);
  registry.GetGauge(metrics::kDraining).Set(1);
  registry.GetTiming(metrics::kQueueTime, {{"service", "s"}})
      .Record(std::chrono::milliseconds(250));
  STRCMP_EQUAL(
      "# HELP carobbank_draining 1 while draining, else 0\n"
      "# TYPE carobbank_draining gauge\n"
      "carobbank_draining 1\n"
      "# HELP carobbank_queue_seconds Time in the sidecar's queue\n"
      "# TYPE carobbank_queue_seconds summary\n"
      "carobbank_queue_seconds{service=\"s\",quantile=\"0.5\"} 0.25\n"
      "carobbank_queue_seconds{service=\"s\",quantile=\"0.9\"} 0.25\n"
      "carobbank_queue_seconds{service=\"s\",quantile=\"0.99\"} 0.25\n"
      "carobbank_queue_seconds_sum{service=\"s\"} 0.25\n"
      "carobbank_queue_seconds_count{service=\"s\"} 1\n"
      "# HELP carobbank_retries_total Attempts after the first of a request\n"
      "# TYPE carobbank_retries_total counter\n"
      "carobbank_retries_total{service=\"a\\\"b\\\\c\\nd\"} 3\n",
      registry.PrometheusText().c_str());
}

TEST(Metrics, QuantilesOfAKnownDistribution) {
  for (const int samples : {10, 32, 1'000, 100'000}) {
    Timing timing(clock);
    for (int sample = 0; sample < samples; ++sample) {
      // A permutation of 1 .. samples, since 7919 is coprime to each count.
      const std::int64_t value = (sample * 7919LL) % samples + 1;
      timing.Record(std::chrono::milliseconds(value));
    }
    const TimingSummary summary = timing.Summary();
    LONGS_EQUAL(samples, summary.count);
    DOUBLES_EQUAL(samples * 0.0005, summary.median_s, samples * 0.00003);
    DOUBLES_EQUAL(samples * 0.00099, summary.p99_s, samples * 0.00003);
  }
}

TEST(Metrics, QuantilesFollowWindowsAndAreNaNWithoutSamples) {
  Timing timing(clock);
  timing.Record(std::chrono::seconds(8));
  clock.Advance(std::chrono::seconds(31));
  timing.Record(std::chrono::seconds(2));
  DOUBLES_EQUAL(8, timing.Summary().median_s, 0.001);
  clock.Advance(std::chrono::seconds(31));
  DOUBLES_EQUAL(2, timing.Summary().median_s, 0.001);
  clock.Advance(std::chrono::seconds(90));
  CHECK_TRUE(std::isnan(timing.Summary().median_s));
  LONGS_EQUAL(2, timing.Summary().count);
  DOUBLES_EQUAL(10, timing.Summary().sum_s, 0.001);
}

TEST(Metrics, SeriesPerMetricAreBounded) {
  for (std::size_t index = 0; index < kMaxSeriesPerMetric + 50; ++index) {
    registry.GetCounter(metrics::kRetries, {{"service", std::to_string(index)}})
        .Add();
  }
  LONGS_EQUAL(
      50, registry.GetCounter(metrics::kRetries, {{"service", "y"}}).Value());
  LONGS_EQUAL(
      1, registry.GetCounter(metrics::kRetries, {{"service", "7"}}).Value());
}

TEST(Metrics, ThreadsLoseNoIncrement) {
  Counter& counter = registry.GetCounter(metrics::kRetries);
  const auto add = [&counter] {
    for (int step = 0; step < 10'000; ++step) {
      counter.Add();
    }
  };
  std::thread other(add);
  add();
  other.join();
  LONGS_EQUAL(20'000, counter.Value());
}

TEST(Metrics, DefinitionsFollowTheNamingRules) {
  std::set<std::string_view> names;
  for (const MetricDefinition& definition : kAllMetrics) {
    CHECK_TRUE(names.insert(definition.name).second);
    CHECK_TRUE(definition.name.starts_with("carobbank_"));
    CHECK_FALSE(definition.help.empty());
    const bool counter = definition.type == MetricType::kCounter;
    CHECK_EQUAL(counter, definition.name.ends_with("_total"));
    const bool timing = definition.type == MetricType::kTiming;
    CHECK_EQUAL(timing, definition.name.ends_with("_seconds"));
  }
}

}  // namespace carobbank
