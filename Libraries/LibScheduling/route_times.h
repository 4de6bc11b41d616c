// Learned response times of routes: what a response takes without congestion.
// Pure.

#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace carobbank {

// Under which conditions a response time was observed.
struct RouteObservation {
  // The first estimate is not above this: a process that starts during an
  // overload sees no other response times.
  double highest_first_ms = std::numeric_limits<double>::infinity();
  // The sender sends so little that it could not send less: slow responses are
  // then the normal state.
  bool least_load = false;
};

class RouteTimes {
 public:
  void Observe(std::string_view route,
               double response_ms,
               const RouteObservation& observation);
  // Uncongested mean in milliseconds, or nothing before the first
  // `kBlock` responses of the route.
  std::optional<double> UncongestedMs(std::string_view route) const;
  // The same, with a guess for a route that has no responses yet.
  double CostMs(std::string_view route) const;

  // Responses averaged at a time: the mean of fewer is too noisy for a lower
  // bound.
  static constexpr std::uint32_t kBlock = 32;

 private:
  struct State {
    std::uint32_t count = 0;
    double sum_ms = 0;
    double uncongested_ms = 0;
  };
  // One entry for each route of the configuration.
  std::map<std::string, State, std::less<>> routes;
};

}  // namespace carobbank
