// Windows of samples over Boost.Accumulators' P-square estimator.

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>
#include <limits>

#include "LibTimeline/metrics.h"

namespace carobbank {

namespace {

namespace accumulators = boost::accumulators;

constexpr std::chrono::seconds kWindow{30};
constexpr std::array<double, 3> kProbabilities = {0.5, 0.9, 0.99};
// P-square needs 2 * probabilities + 3 samples before its markers are
// meaningful; up to this count the samples themselves are retained.
constexpr std::size_t kExactSamples = 32;

using Estimator = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::extended_p_square>>;

}  // namespace

struct Timing::Window {
  Window()
      : estimator(accumulators::tag::extended_p_square::probabilities =
                      kProbabilities) {}

  void Add(double seconds) {
    if (this->samples < kExactSamples) {
      this->exact[this->samples] = seconds;
    }
    ++this->samples;
    this->estimator(seconds);
  }

  double Quantile(std::size_t probability_index) const {
    if (this->samples == 0) {
      return std::numeric_limits<double>::quiet_NaN();
    }
    if (this->samples > kExactSamples) {
      return accumulators::extended_p_square(
          this->estimator)[probability_index];
    }
    // Nearest rank over the retained samples.
    auto sorted = this->exact;
    const auto end =
        sorted.begin() + static_cast<std::ptrdiff_t>(this->samples);
    std::sort(sorted.begin(), end);
    const double rank = std::ceil(kProbabilities[probability_index] *
                                  static_cast<double>(this->samples));
    return sorted[static_cast<std::size_t>(rank) - 1];
  }

  std::size_t samples = 0;
  std::array<double, kExactSamples> exact{};
  Estimator estimator;
};

Timing::Timing(const Clock& clock)
    : clock(clock),
      window_start(clock.Now()),
      current(std::make_unique<Window>()),
      previous(std::make_unique<Window>()) {}

Timing::~Timing() = default;

void Timing::Record(std::chrono::nanoseconds duration) {
  const double seconds = std::chrono::duration<double>(duration).count();
  const MonotonicTime now = this->clock.Now();
  const std::lock_guard lock(this->mutex);
  this->Rotate(now);
  ++this->count;
  this->sum_s += seconds;
  this->current->Add(seconds);
}

TimingSummary Timing::Summary() const {
  const MonotonicTime now = this->clock.Now();
  const std::lock_guard lock(this->mutex);
  this->Rotate(now);
  const Window& window =
      this->previous->samples > 0 ? *this->previous : *this->current;
  TimingSummary summary;
  summary.count = this->count;
  summary.sum_s = this->sum_s;
  summary.median_s = window.Quantile(0);
  summary.p90_s = window.Quantile(1);
  summary.p99_s = window.Quantile(2);
  return summary;
}

void Timing::Rotate(MonotonicTime now) const {
  const auto age = now - this->window_start;
  if (age < kWindow) {
    return;
  }
  this->previous = std::move(this->current);
  if (age >= 2 * kWindow) {
    this->previous = std::make_unique<Window>();
  }
  this->current = std::make_unique<Window>();
  this->window_start = now;
}

}  // namespace carobbank
