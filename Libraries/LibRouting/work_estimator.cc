// Estimates lengths from decaying histograms: of the ratios of actual to hinted
// length, and of the lengths of samples with similar hints.

#include "LibRouting/work_estimator.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace carobbank {

namespace {

constexpr double kBucketsPerOctave = 4;
// Ratios are buckets from 2^-12 events per hinted token; lengths from 2^-1.
constexpr double kLowestRatioOctave = -12;
constexpr double kLowestEventOctave = -1;
// Earlier outputs count for less: the last thousand dominate.
constexpr double kRetainedWeight = 0.999;
// The ratios of all samples count as this many samples with a similar hint.
constexpr double kRatioWeight = 8;
constexpr double kUpperQuantile = 0.9;
constexpr double kHighQuantile = 0.99;
// An output beyond all earlier ones is expected to grow by this part once more.
constexpr double kOverrunPart = 0.25;
// Weight of less than half an output: no earlier one was as long.
constexpr double kNoOutput = 0.5;

double HintOf(std::int64_t hint_tokens) {
  return static_cast<double>(std::max<std::int64_t>(hint_tokens, 1));
}

std::size_t BucketOf(double value, double lowest_octave, std::size_t buckets) {
  const double position =
      (std::log2(value) - lowest_octave) * kBucketsPerOctave;
  return static_cast<std::size_t>(
      std::clamp<double>(position, 0, static_cast<double>(buckets - 1)));
}

// Middle of the bucket.
double EventsOf(std::size_t bucket) {
  static const std::vector<double> values = [] {
    constexpr std::size_t kMost = 256;
    std::vector<double> events(kMost);
    for (std::size_t index = 0; index < kMost; ++index) {
      events[index] =
          std::exp2(kLowestEventOctave +
                    (static_cast<double>(index) + 0.5) / kBucketsPerOctave);
    }
    return events;
  }();
  return values[bucket];
}

std::size_t OctaveOf(std::int64_t hint_tokens, std::size_t octaves) {
  return std::min(static_cast<std::size_t>(std::log2(HintOf(hint_tokens))),
                  octaves - 1);
}

}  // namespace

void WorkEstimator::Histogram::Add(std::size_t bucket) {
  for (float& weight : this->weights) {
    weight *= static_cast<float>(kRetainedWeight);
  }
  this->weights[bucket] += 1;
  this->total = this->total * kRetainedWeight + 1;
}

std::string WorkEstimator::KeyOf(std::string_view service,
                                 std::int64_t hint_tokens) {
  return (hint_tokens > 0 ? "hint " : "none ") + std::string(service);
}

void WorkEstimator::OnCompleted(std::string_view service,
                                std::int64_t hint_tokens,
                                std::size_t events) {
  if (events == 0) {
    return;
  }
  std::unique_ptr<Lengths>& of = this->services[KeyOf(service, hint_tokens)];
  if (!of) {
    of = std::make_unique<Lengths>();
  }
  const auto length = static_cast<double>(events);
  of->ratios.Add(
      BucketOf(length / HintOf(hint_tokens), kLowestRatioOctave, kBuckets));
  of->events[OctaveOf(hint_tokens, kHintOctaves)].Add(
      BucketOf(length, kLowestEventOctave, kBuckets));
  if (this->services.size() > kMaxServices) {
    this->services.clear();
  }
}

std::optional<ExpectedEvents> WorkEstimator::Remaining(
    std::string_view service,
    std::int64_t hint_tokens,
    std::size_t received) const {
  const auto found = this->services.find(KeyOf(service, hint_tokens));
  if (found == this->services.end() ||
      found->second->ratios.total < kMinimumOutputs) {
    return std::nullopt;
  }
  const Histogram& ratios = found->second->ratios;
  const Histogram& similar =
      found->second->events[OctaveOf(hint_tokens, kHintOctaves)];
  // Weights of the possible lengths; the ratios are shifted by the hint.
  std::array<double, kBuckets> weights{};
  const auto shift = static_cast<std::ptrdiff_t>(
      std::lround((std::log2(HintOf(hint_tokens)) + kLowestRatioOctave -
                   kLowestEventOctave) *
                  kBucketsPerOctave));
  const double ratio_weight = kRatioWeight / ratios.total;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    const auto shifted = static_cast<std::size_t>(std::clamp<std::ptrdiff_t>(
        static_cast<std::ptrdiff_t>(bucket) + shift, 0, kBuckets - 1));
    weights[shifted] += ratios.weights[bucket] * ratio_weight;
    weights[bucket] += similar.weights[bucket];
  }
  const auto so_far = static_cast<double>(received);
  std::size_t first = 0;
  while (first < kBuckets && EventsOf(first) <= so_far) {
    ++first;
  }
  double total = 0;
  double sum = 0;
  for (std::size_t bucket = first; bucket < kBuckets; ++bucket) {
    total += weights[bucket];
    sum += weights[bucket] * (EventsOf(bucket) - so_far);
  }
  if (total < kNoOutput) {
    const double more = std::max(so_far * kOverrunPart, 1.0);
    return ExpectedEvents{more, more, 2 * more, 2 * more};
  }
  ExpectedEvents expected;
  expected.mean = std::max(sum / total, 1.0);
  double below = 0;
  for (std::size_t bucket = first; bucket < kBuckets; ++bucket) {
    const double before = below / total;
    below += weights[bucket];
    const double events = std::max(EventsOf(bucket) - so_far, 1.0);
    if (before < 0.5 && below / total >= 0.5) {
      expected.median = events;
    }
    if (before < kUpperQuantile && below / total >= kUpperQuantile) {
      expected.upper = events;
    }
    if (below / total >= kHighQuantile) {
      expected.high = events;
      break;
    }
  }
  expected.upper = std::max(expected.upper, expected.mean);
  expected.high = std::max(expected.high, expected.upper);
  return expected;
}

}  // namespace carobbank
