// Learned response times of routes: what a response takes without congestion.
// Pure.

#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "LibCore/core.h"

namespace carobbank {

// Under which conditions a response time was observed.
struct RouteObservation {
  // The estimate from the first blocks is not above this: a process that starts
  // during an overload sees no other response times.
  double highest_first_ms = std::numeric_limits<double>::infinity();
  // The sender sends so little that it could not send less: slow responses are
  // then the normal state.
  bool least_load = false;
};

class RouteTimes {
 public:
  void Observe(std::string_view route,
               double response_ms,
               const RouteObservation& observation,
               MonotonicTime now);
  // Uncongested mean in milliseconds, or nothing before the first `kBlock`
  // responses of the route.
  std::optional<double> UncongestedMs(std::string_view route) const;
  // The same, with a guess for a route that has no responses yet.
  double CostMs(std::string_view route) const;

  // Responses are averaged in blocks of at least this many and this long: the
  // lowest of many noisy means is far below the usual one.
  static constexpr std::uint32_t kBlock = 32;
  static constexpr Milliseconds kBlockTime{1'000};

 private:
  struct State {
    std::uint32_t count = 0;
    double sum_ms = 0;
    double uncongested_ms = 0;
    std::uint32_t blocks = 0;
    // End of the last block.
    MonotonicTime updated{};
  };
  // One entry for each route of the configuration.
  std::map<std::string, State, std::less<>> routes;
};

}  // namespace carobbank
