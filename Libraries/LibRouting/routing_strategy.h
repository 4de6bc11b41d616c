// Common to all load balancing strategies: the inputs of one choice, the cost
// of a server, and sampling.

#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "LibRouting/router.h"

namespace carobbank {

// Inputs of one choice. All but `random` are read-only.
class RouteContext {
 public:
  RouteContext(const RouterOptions& options,
               const ServerTable& servers,
               const PrefixIndex& prefixes,
               const RouteRequest& request,
               const std::vector<double>* hints,
               Random& random);

  // The server's version is in the range, the request doesn't exclude the
  // server and, with idle_only, the server has no load.
  bool Usable(ServerIndex server) const;
  // Cost of the server in requests; lower is better.
  double Cost(ServerIndex server) const;
  // A uniformly random server of those in the version range, usable or not;
  // `kNoServer` when the range has none.
  ServerIndex RandomInRange() const;
  // The server at this position among those in the version range; `kNoServer`
  // when `number` is CountInRange() or more.
  ServerIndex NthInRange(std::size_t number) const;
  std::size_t CountInRange() const;
  // The usable server with the lowest cost, or `kNoServer`. Takes time linear
  // in the number of servers.
  ServerIndex Scan() const;

  const RouterOptions& options;
  const ServerTable& servers;
  const PrefixIndex& prefixes;
  const RouteRequest& request;
  Random& random;

 private:
  const std::vector<double>* hints;
  std::uint64_t newest_version = 0;
};

// Picks a server without a scan of all servers. After `kNoServer` the router
// falls back to RouteContext::Scan.
class LoadBalancingStrategy {
 public:
  virtual ~LoadBalancingStrategy() = default;
  virtual ServerIndex Pick(const RouteContext& context) = 0;
};

// Null for an unknown name.
std::unique_ptr<LoadBalancingStrategy> CreateLoadBalancingStrategy(
    std::string_view name);

// Power of two choices: the cheapest of two random servers of each sampled
// version in the nearest data center. Also samples one random other data center
// when that server is above RouterOptions::spill_utilization or none is usable.
ServerIndex PickTwoChoices(const RouteContext& context);

}  // namespace carobbank
