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
// Averaged for the first estimate: a single block is off by a fifth.
constexpr std::uint32_t kFirstBlocks = 5;

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
  const bool first = state.blocks == 0;
  if (state.count < kBlock || (!first && now - state.updated < kBlockTime)) {
    return;
  }
  const double mean = std::max(state.sum_ms / state.count, kMinimumMs);
  const std::chrono::duration<double> since = now - state.updated;
  state.sum_ms = 0;
  state.count = 0;
  state.updated = now;
  if (state.blocks < kFirstBlocks) {
    ++state.blocks;
    state.uncongested_ms += (mean - state.uncongested_ms) / state.blocks;
    state.uncongested_ms =
        std::min(state.uncongested_ms, observation.highest_first_ms);
    return;
  }
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
