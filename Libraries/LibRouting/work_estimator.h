// Expected length of a sample's output: from the sample's hint, from the
// lengths of earlier outputs of its service, and from the events received so
// far. Pure.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace carobbank {

// Events of an output that are still to come; each at least 1.
struct ExpectedEvents {
  double median = 0;
  double mean = 0;
  // Exceeded by one output in ten.
  double upper = 0;
  // Exceeded by one output in a hundred.
  double high = 0;
};

class WorkEstimator {
 public:
  // A sample of the service was completed with `events` events.
  // `hint_tokens`: its expected output in tokens; 0 without a hint.
  void OnCompleted(std::string_view service,
                   std::int64_t hint_tokens,
                   std::size_t events);

  // Expectation for a sample that has received `received` events, which raise
  // it when they exceed the estimate. Nothing before kMinimumOutputs outputs of
  // the service were completed here.
  std::optional<ExpectedEvents> Remaining(std::string_view service,
                                          std::int64_t hint_tokens,
                                          std::size_t received) const;

  // Fewer outputs would show only the shortest ones, which complete first.
  static constexpr double kMinimumOutputs = 24;
  // Of services; the state of all is cleared beyond.
  static constexpr std::size_t kMaxServices = 64;

 private:
  // Buckets of a quarter of an octave.
  static constexpr std::size_t kBuckets = 104;
  static constexpr std::size_t kHintOctaves = 20;
  struct Histogram {
    std::array<float, kBuckets> weights{};
    double total = 0;

    void Add(std::size_t bucket);
  };
  struct Lengths {
    // Ratios of events to hinted tokens.
    Histogram ratios;
    // Events, by the octave of the hint: short hints may be off in other ways
    // than long ones.
    std::array<Histogram, kHintOctaves> events;
  };

  static std::string KeyOf(std::string_view service, std::int64_t hint_tokens);

  // By service, with and without hint.
  std::map<std::string, std::unique_ptr<Lengths>, std::less<>> services;
};

}  // namespace carobbank
