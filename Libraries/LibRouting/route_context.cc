// Cost of a server and sampling of servers for one choice.

#include <algorithm>

#include "LibRouting/routing_strategy.h"

namespace carobbank {

RouteContext::RouteContext(const RouterOptions& options,
                           const ServerTable& servers,
                           const PrefixIndex& prefixes,
                           const RouteRequest& request,
                           const std::vector<double>* hints,
                           Random& random)
    : options(options),
      servers(servers),
      prefixes(prefixes),
      request(request),
      random(random),
      hints(hints),
      newest_version(servers.NewestIn(request.versions)) {}

bool RouteContext::Usable(ServerIndex server) const {
  const RoutedServer& candidate = this->servers.At(server);
  if (!this->request.versions.Contains(candidate.version)) {
    return false;
  }
  if (this->request.idle_only && candidate.CorrectedLoad() > 0) {
    return false;
  }
  return std::find(this->request.excluded.begin(), this->request.excluded.end(),
                   candidate.id) == this->request.excluded.end();
}

double RouteContext::Cost(ServerIndex server) const {
  const RoutedServer& candidate = this->servers.At(server);
  double cost = candidate.CorrectedLoad();
  cost += candidate.latency_ms * this->options.cost_per_latency_ms;
  cost += static_cast<double>(this->newest_version - candidate.version) *
          this->options.cost_per_version;
  const double reported_load =
      static_cast<double>(candidate.load.running) + candidate.load.waiting;
  if (this->request.service_class == RouteClass::kLive && reported_load > 0) {
    cost += this->options.cost_of_training_fraction * candidate.load.training /
            reported_load;
  }
  if (this->hints != nullptr && server < this->hints->size()) {
    cost += (*this->hints)[server];
  }
  return cost;
}

std::size_t RouteContext::CountInRange() const {
  std::size_t count = 0;
  for (const DataCenterServers& data_center : this->servers.DataCenters()) {
    for (const ServerGroup& group : data_center.groups) {
      const bool allowed = this->request.versions.Contains(group.version);
      count += allowed ? group.servers.size() : 0;
    }
  }
  return count;
}

ServerIndex RouteContext::NthInRange(std::size_t number) const {
  for (const DataCenterServers& data_center : this->servers.DataCenters()) {
    for (const ServerGroup& group : data_center.groups) {
      if (!this->request.versions.Contains(group.version)) {
        continue;
      }
      if (number < group.servers.size()) {
        return group.servers[number];
      }
      number -= group.servers.size();
    }
  }
  return kNoServer;
}

ServerIndex RouteContext::RandomInRange() const {
  const std::size_t count = this->CountInRange();
  return count == 0 ? kNoServer : this->NthInRange(this->random.Below(count));
}

ServerIndex RouteContext::Scan() const {
  ServerIndex cheapest = kNoServer;
  double best_cost = 0;
  for (const DataCenterServers& data_center : this->servers.DataCenters()) {
    for (const ServerGroup& group : data_center.groups) {
      for (ServerIndex server : group.servers) {
        if (!this->Usable(server)) {
          continue;
        }
        const double cost = this->Cost(server);
        if (cheapest == kNoServer || cost < best_cost) {
          cheapest = server;
          best_cost = cost;
        }
      }
    }
  }
  return cheapest;
}

}  // namespace carobbank
