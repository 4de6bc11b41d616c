// Routing table of plain calls and batch jobs: matches the host name and the
// longest path prefix, and selects one of the route's services by weight. Pure.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

// How a route's requests may be run.
enum class RouteUse {
  // May run more than once.
  kRepeatable,
  // Runs at most once.
  kOnce,
  // The route accepts batch jobs of samples.
  kBatchJobs,
};

struct WeightedService {
  std::string service;
  // Relative to the weights of the route's other services.
  std::int64_t weight = 1;
};

struct HostRoute {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RouteUse use = RouteUse::kOnce;
  // Maximum time until the caller gets a response.
  Milliseconds timeout{10'000};
  // Time within which a response has its full value.
  Milliseconds objective{1'000};
  // Batch jobs: all results are due this long after the first submission.
  Milliseconds due{60'000};
  // Batch jobs: a sample may be abandoned this long after the submission.
  Milliseconds abandon_after{120'000};
  // Maximum number of backend servers that may run one request.
  std::int64_t max_attempts = 1;
  // 0 is the most urgent.
  std::int64_t priority = 0;
  // The response is a stream of events, which are forwarded as they arrive.
  bool streaming = false;
  // A stream may go on at another server after its last event. Such requests
  // are kRepeatable.
  bool resumable = false;
  // Needs no key where the configuration has workspaces.
  bool is_public = false;
  // Each output of the route must come from a single version of the weights.
  bool single_version = false;
  // Invariant: not empty, and at least one weight is positive.
  std::vector<WeightedService> services;
};

// Selects the service of a request by weight. `draw` is uniform over 64 bits.
const std::string& ChooseService(const HostRoute& route, std::uint64_t draw);

class HostRoutes {
 public:
  HostRoutes() = default;
  explicit HostRoutes(std::vector<HostRoute> routes);

  // The host's route with the longest prefix of `path`, or null. Host names are
  // compared without case and port.
  const HostRoute* Find(std::string_view host, std::string_view path) const;
  // Pointers are valid as long as this table.
  std::vector<const HostRoute*> All() const;

  // Whether a public route accepts batch jobs.
  bool HavePublicJobs() const { return this->have_public_jobs; }

 private:
  // By host name in lower case; each host's longest prefix first.
  std::map<std::string, std::vector<HostRoute>, std::less<>> routes_by_host;
  bool have_public_jobs = false;
};

}  // namespace carobbank
