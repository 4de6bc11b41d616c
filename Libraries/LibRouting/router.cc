// Router of one pool: applies the quarantine and the strategy, and finds the
// reason when no server can be chosen.

#include "LibRouting/router.h"

#include <algorithm>
#include <utility>

#include "LibRouting/routing_strategy.h"

namespace carobbank {

Result<std::unique_ptr<Router>> Router::Create(RouterOptions options) {
  const bool negative =
      options.cost_per_latency_ms < 0 || options.cost_per_version < 0 ||
      options.cost_of_training_fraction < 0 || options.spill_utilization < 0 ||
      options.bounded_load_factor < 0 || options.prefix_benefit < 0;
  if (negative || options.max_prefixes == 0) {
    return Fail(ErrorKind::kInvalidArgument,
                "a routing cost or factor is negative, or max_prefixes is 0",
                "set costs and factors to at least 0 and max_prefixes to at "
                "least 1");
  }
  std::unique_ptr<LoadBalancingStrategy> strategy =
      CreateLoadBalancingStrategy(options.strategy);
  if (strategy == nullptr) {
    std::string names;
    for (std::string_view name : LoadBalancingStrategyNames()) {
      names += names.empty() ? "" : ", ";
      names += name;
    }
    return Fail(ErrorKind::kInvalidArgument,
                "unknown routing strategy '" + options.strategy + "'",
                "choose one of " + names);
  }
  std::unique_ptr<Router> router(new Router(std::move(options)));
  router->strategy = std::move(strategy);
  return router;
}

Router::Router(RouterOptions options)
    : options(std::move(options)), prefixes(this->options.max_prefixes) {}

Router::~Router() = default;

void Router::Quarantine(std::string digest) {
  this->quarantined.insert(std::move(digest));
}

bool Router::IsQuarantined(std::string_view digest) const {
  return !digest.empty() && !this->quarantined.empty() &&
         this->quarantined.contains(std::string(digest));
}

void Router::SetFairnessHints(std::string_view service,
                              std::span<const FairnessHint> hints) {
  ServiceHints replacement;
  for (const FairnessHint& hint : hints) {
    const ServerIndex server = this->servers.Find(hint.server);
    if (server == kNoServer) {
      continue;
    }
    if (server >= replacement.costs.size()) {
      replacement.costs.resize(server + 1);
    }
    replacement.costs[server] = hint.cost;
  }
  this->hints.insert_or_assign(std::string(service), std::move(replacement));
}

const std::vector<double>* Router::HintsFor(std::string_view service) const {
  const auto found = this->hints.find(service);
  return found == this->hints.end() ? nullptr : &found->second.costs;
}

RouteChoice Router::Choose(const RouteRequest& request, Random& random) {
  if (this->IsQuarantined(request.digest)) {
    return {kNoServer, RouteFailure::kQuarantined};
  }
  const RouteContext context(this->options, this->servers, this->prefixes,
                             request, this->HintsFor(request.service), random);
  ServerIndex server = this->strategy->Pick(context);
  if (server == kNoServer) {
    server = context.Scan();
  }
  if (server == kNoServer) {
    return {kNoServer, this->FailureReason(request)};
  }
  return {server, RouteFailure::kNone};
}

RouteFailure Router::FailureReason(const RouteRequest& request) const {
  if (this->servers.Size() == 0) {
    return RouteFailure::kNoServer;
  }
  bool any_in_range = false;
  bool any_not_excluded = false;
  for (const DataCenterServers& data_center : this->servers.DataCenters()) {
    for (const ServerGroup& group : data_center.groups) {
      if (!request.versions.Contains(group.version)) {
        continue;
      }
      any_in_range = true;
      for (ServerIndex server : group.servers) {
        const bool is_excluded =
            std::find(request.excluded.begin(), request.excluded.end(),
                      this->servers.At(server).id) != request.excluded.end();
        any_not_excluded = any_not_excluded || !is_excluded;
      }
    }
  }
  if (!any_in_range) {
    return RouteFailure::kNoVersion;
  }
  return any_not_excluded ? RouteFailure::kNoneIdle
                          : RouteFailure::kAllExcluded;
}

void Router::OnSent(ServerIndex server,
                    const RouteRequest& request,
                    MonotonicTime now) {
  this->servers.OnSent(server, now);
  if (request.prefix_hash != 0) {
    this->prefixes.OnSent(server, request.prefix_hash);
  }
}

void Router::OnFinished(ServerIndex server, MonotonicTime now) {
  this->servers.OnFinished(server, now);
}

void Router::RemoveServer(std::string_view id) {
  const ServerIndex server = this->servers.Find(id);
  if (server == kNoServer) {
    return;
  }
  this->prefixes.Invalidate(server);
  for (auto& [service, hints] : this->hints) {
    if (server < hints.costs.size()) {
      hints.costs[server] = 0;
    }
  }
  this->servers.Remove(id);
}

}  // namespace carobbank
