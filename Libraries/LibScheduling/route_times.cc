// A lower envelope of the mean response times of blocks of responses.

#include "LibScheduling/route_times.h"

#include <algorithm>

namespace carobbank {

namespace {

constexpr double kUnknownCostMs = 25;
// A faster block counts at once; slower ones raise the value over hundreds of
// blocks, so that an overload of minutes does not pass for the normal state.
constexpr double kFallWeight = 0.3;
constexpr double kRiseWeight = 0.003;
constexpr double kLeastLoadRiseWeight = 0.1;
constexpr double kMinimumMs = 1;

}  // namespace

void RouteTimes::Observe(std::string_view route,
                         double response_ms,
                         const RouteObservation& observation) {
  auto found = this->routes.find(route);
  if (found == this->routes.end()) {
    found = this->routes.emplace(std::string(route), State()).first;
  }
  State& state = found->second;
  state.sum_ms += response_ms;
  ++state.count;
  if (state.count < kBlock) {
    return;
  }
  const double mean = std::max(state.sum_ms / state.count, kMinimumMs);
  state.sum_ms = 0;
  state.count = 0;
  if (state.uncongested_ms == 0) {
    state.uncongested_ms = std::min(mean, observation.highest_first_ms);
    return;
  }
  const double rise =
      observation.least_load ? kLeastLoadRiseWeight : kRiseWeight;
  const double weight = mean < state.uncongested_ms ? kFallWeight : rise;
  state.uncongested_ms += weight * (mean - state.uncongested_ms);
}

std::optional<double> RouteTimes::UncongestedMs(std::string_view route) const {
  const auto found = this->routes.find(route);
  if (found == this->routes.end() || found->second.uncongested_ms == 0) {
    return std::nullopt;
  }
  return found->second.uncongested_ms;
}

double RouteTimes::CostMs(std::string_view route) const {
  return this->UncongestedMs(route).value_or(kUnknownCostMs);
}

}  // namespace carobbank
