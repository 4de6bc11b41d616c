// A lower envelope of the mean response times of blocks of responses.

#include "LibScheduling/route_times.h"

#include <algorithm>
#include <cmath>

namespace carobbank {

namespace {

constexpr double kUnknownCostMs = 25;
// A faster block counts at once; slower ones raise the value over many minutes,
// so that an overload does not pass for the normal state.
constexpr double kFallWeight = 0.2;
constexpr double kRiseTimeS = 300;
constexpr double kLeastLoadRiseWeight = 0.1;
constexpr double kMinimumMs = 1;

}  // namespace

void RouteTimes::Observe(std::string_view route,
                         double response_ms,
                         const RouteObservation& observation,
                         MonotonicTime now) {
  auto found = this->routes.find(route);
  if (found == this->routes.end()) {
    found = this->routes.emplace(std::string(route), State()).first;
  }
  State& state = found->second;
  state.sum_ms += response_ms;
  ++state.count;
  const bool first = state.uncongested_ms == 0;
  if (state.count < kBlock || (!first && now - state.updated < kBlockTime)) {
    return;
  }
  const double mean = std::max(state.sum_ms / state.count, kMinimumMs);
  state.sum_ms = 0;
  state.count = 0;
  if (first) {
    state.uncongested_ms = std::min(mean, observation.highest_first_ms);
    state.updated = now;
    return;
  }
  const std::chrono::duration<double> since = now - state.updated;
  state.updated = now;
  const double rise = observation.least_load
                          ? kLeastLoadRiseWeight
                          : 1 - std::exp(-since.count() / kRiseTimeS);
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
