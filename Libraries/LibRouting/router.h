// Choice of a backend server for a request. The load balancing strategy is
// selected by name; all strategies see the same candidates, so that they can be
// compared with each other.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "LibCore/core.h"
#include "LibRouting/prefix_index.h"
#include "LibRouting/server_table.h"

namespace carobbank {

enum class RouteClass { kLive, kTraining, kBackground };

struct RouteRequest {
  std::string_view service;
  RouteClass service_class = RouteClass::kTraining;
  VersionRange versions;
  // FastHash of the prompt's prefix; 0 for none.
  std::uint64_t prefix_hash = 0;
  // Digest of the work, checked against the quarantine.
  std::string_view digest;
  // Ids of servers that earlier attempts of this request went to.
  std::span<const std::string> excluded;
  // Only a server with nothing in flight: for a duplicate, or for work that is
  // suspected of a crash.
  bool idle_only = false;
};

enum class RouteFailure {
  kNone,
  // The table has no server that accepts work.
  kNoServer,
  // No server has a version in the range.
  kNoVersion,
  // The request excludes every server in the version range.
  kAllExcluded,
  // idle_only is set and no remaining server is idle.
  kNoneIdle,
  // The digest is in quarantine.
  kQuarantined,
};

struct RouteChoice {
  ServerIndex server = kNoServer;
  RouteFailure failure = RouteFailure::kNone;

  bool Found() const { return this->server != kNoServer; }
};

// Costs are in requests: one more request at a server costs 1.
struct RouterOptions {
  // random, round_robin, least_connections, two_choices or prefix_affinity.
  std::string strategy = "prefix_affinity";
  double cost_per_latency_ms = 0.5;
  // Per version that a server is behind the newest one in the range.
  double cost_per_version = 0.5;
  // Live work only: multiplied by the fraction of a server's reported load that
  // is training work, 0 to 1.
  double cost_of_training_fraction = 2.0;
  // Another data center is sampled too when the cheapest server sampled in the
  // nearest one has a higher utilization than this.
  double spill_utilization = 1.0;
  // A server is preferred for a cached prefix while its load is at most this
  // factor times the mean load, plus one request.
  double bounded_load_factor = 1.25;
  // Cost that a cached prefix saves, in requests.
  double prefix_benefit = 2.0;
  std::size_t max_prefixes = 65536;
};

// Extra cost, in requests, of one server for one service.
struct FairnessHint {
  std::string_view server;
  double cost = 0;
};

class LoadBalancingStrategy;

class Router {
 public:
  // Fails with kInvalidArgument for an unknown strategy or a negative cost.
  static Result<std::unique_ptr<Router>> Create(RouterOptions options);
  ~Router();

  ServerTable& Servers() { return this->servers; }
  const ServerTable& Servers() const { return this->servers; }
  PrefixIndex& Prefixes() { return this->prefixes; }
  const PrefixIndex& Prefixes() const { return this->prefixes; }
  const RouterOptions& Options() const { return this->options; }

  // No server may run work with this digest from now on.
  void Quarantine(std::string digest);
  bool IsQuarantined(std::string_view digest) const;

  // Replaces the service's hints. A positive cost diverts the service from a
  // server where it used more than its fair share. Unknown servers are ignored.
  void SetFairnessHints(std::string_view service,
                        std::span<const FairnessHint> hints);

  RouteChoice Choose(const RouteRequest& request, Random& random);

  // The request was sent to the server, and ended there.
  void OnSent(ServerIndex server,
              const RouteRequest& request,
              MonotonicTime now);
  void OnFinished(ServerIndex server, MonotonicTime now);

  // Removes a server that left or is unresponsive, with its prefixes and hints.
  // A server that returns is added again through Servers().
  void RemoveServer(std::string_view id);

 private:
  // Costs by server index; a server beyond the end has cost 0.
  struct ServiceHints {
    std::vector<double> costs;
  };

  explicit Router(RouterOptions options);
  const std::vector<double>* HintsFor(std::string_view service) const;
  RouteFailure FailureReason(const RouteRequest& request) const;

  RouterOptions options;
  ServerTable servers;
  PrefixIndex prefixes;
  std::unordered_set<std::string> quarantined;
  std::map<std::string, ServiceHints, std::less<>> hints;
  std::unique_ptr<LoadBalancingStrategy> strategy;
};

// Valid values of RouterOptions::strategy.
std::span<const std::string_view> LoadBalancingStrategyNames();

}  // namespace carobbank
