// Routes of plain calls and batch jobs: by host name and longest path prefix,
// to one or more services by weight. Pure.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

// What may be done with a request of a route.
enum class RouteUse {
  // May run more than once.
  kRepeatable,
  // Runs once at most.
  kOnce,
  // Takes batch jobs of samples.
  kBatchJobs,
};

struct WeightedService {
  std::string service;
  // Share of the route's requests in relation to its other services.
  std::int64_t weight = 1;
};

struct HostRoute {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RouteUse use = RouteUse::kOnce;
  // Longest time that a caller is kept waiting.
  Milliseconds timeout{10'000};
  // Time within which an answer is worth its full value.
  Milliseconds objective{1'000};
  // Batch jobs: all results are due this long after the first submission.
  Milliseconds due{60'000};
  // Batch jobs: a sample may be given up this long after the submission.
  Milliseconds abandon_after{120'000};
  // Most backend servers that may run one request.
  std::int64_t max_attempts = 1;
  // 0 is the most urgent.
  std::int64_t priority = 0;
  // Every text of the route comes from one version of the weights.
  bool single_version = false;
  // Invariant: not empty, and at least one weight is positive.
  std::vector<WeightedService> services;
};

// The service that a request goes to. `draw` is uniform over 64 bits.
const std::string& ChooseService(const HostRoute& route, std::uint64_t draw);

class HostRoutes {
 public:
  HostRoutes() = default;
  explicit HostRoutes(std::vector<HostRoute> routes);

  // The route of that host with the longest prefix that begins `path`, or
  // null. Host names compare without case and without a port.
  const HostRoute* Find(std::string_view host, std::string_view path) const;

 private:
  // Per host, in lower case: longest prefix first.
  std::map<std::string, std::vector<HostRoute>, std::less<>> routes_by_host;
};

}  // namespace carobbank
