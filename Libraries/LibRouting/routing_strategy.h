// What the strategies share: the view of one choice, costs, and sampling.

#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "LibRouting/router.h"

namespace carobbank {

// One choice to make. Everything is constant but the randomness.
class RouteContext {
 public:
  RouteContext(const RouterOptions& options,
               const ServerTable& servers,
               const PrefixIndex& prefixes,
               const RouteRequest& request,
               const std::vector<double>* hints,
               Random& random);

  // Neither tried nor, with idle_only, busy; its version is in the range.
  bool Usable(ServerIndex server) const;
  // In requests; lower is better.
  double Cost(ServerIndex server) const;
  // One of the servers in the version range, each equally likely; `kNoServer`
  // when there is none. It may be unusable.
  ServerIndex AnyInRange() const;
  // The server with this number among those in the version range.
  ServerIndex NthInRange(std::size_t number) const;
  std::size_t CountInRange() const;
  // The usable one with the lowest cost; takes time linear in all servers.
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

// Picks fast; `kNoServer` makes the router look through all servers.
class RouteStrategy {
 public:
  virtual ~RouteStrategy() = default;
  virtual ServerIndex Pick(const RouteContext& context) = 0;
};

// Nothing for an unknown name.
std::unique_ptr<RouteStrategy> CreateRouteStrategy(std::string_view name);

// The best of two random servers of each usable version in the nearest data
// center, and of one other data center when those are loaded.
ServerIndex PickTwoChoices(const RouteContext& context);

}  // namespace carobbank
