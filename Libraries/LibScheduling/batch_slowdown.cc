// Least-squares fit of the token interval with exponential decay.

#include "LibScheduling/batch_slowdown.h"

#include <algorithm>

namespace carobbank {

namespace {

constexpr double kDecayPerReport = 0.99;
// Minimum decayed number of reports, and minimum variance of their batch sizes,
// for an estimate.
constexpr double kMinimumWeight = 4.0;
constexpr double kMinimumVariance = 1.0;

}  // namespace

void BatchSlowdown::Observe(std::uint32_t running, double token_interval_us) {
  if (running == 0 || token_interval_us <= 0.0) {
    return;
  }
  const double batch_size = running;
  this->weight = kDecayPerReport * this->weight + 1.0;
  this->sum_running = kDecayPerReport * this->sum_running + batch_size;
  this->sum_interval = kDecayPerReport * this->sum_interval + token_interval_us;
  this->sum_running_squared =
      kDecayPerReport * this->sum_running_squared + batch_size * batch_size;
  this->sum_product =
      kDecayPerReport * this->sum_product + batch_size * token_interval_us;
}

std::uint32_t BatchSlowdown::LargestBatch(std::uint32_t live_running,
                                          double factor) const {
  if (this->weight < kMinimumWeight) {
    return UINT32_MAX;
  }
  const double mean = this->sum_running / this->weight;
  const double mean_interval = this->sum_interval / this->weight;
  const double variance =
      this->sum_running_squared / this->weight - mean * mean;
  if (variance < kMinimumVariance) {
    return UINT32_MAX;
  }
  const double covariance =
      this->sum_product / this->weight - mean * mean_interval;
  const double slope = covariance / variance;
  const double base = mean_interval - slope * mean;
  if (slope <= 0.0 || base <= 0.0) {
    return UINT32_MAX;
  }
  const double live_only_interval = base + slope * std::max(1u, live_running);
  const double largest = (factor * live_only_interval - base) / slope;
  return largest >= UINT32_MAX ? UINT32_MAX
                               : static_cast<std::uint32_t>(largest);
}

}  // namespace carobbank
