// The choice of a backend server. Strategies are small objects chosen by name;
// all of them see the same candidates, so that they can be measured against
// each other.

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
  // FastHash of the prompt's beginning; 0 when it has none.
  std::uint64_t prefix_hash = 0;
  // Digest of the work, for quarantine.
  std::string_view digest;
  // Ids of servers that this request was tried on before.
  std::span<const std::string> excluded;
  // Only a server with nothing in flight (after a crash, or a duplicate).
  bool idle_only = false;
};

enum class RouteFailure {
  kNone,
  // No server is known that takes work.
  kNoServer,
  // Servers are there, but none with a version in the range.
  kNoVersion,
  // All that remain were tried before.
  kAllTried,
  // idle_only, and none is idle.
  kNoneIdle,
  // The digest is in quarantine.
  kQuarantined,
};

struct RouteChoice {
  ServerIndex server = kNoServer;
  RouteFailure failure = RouteFailure::kNone;

  bool Found() const { return this->server != kNoServer; }
};

// Costs are in requests: one waiting request more at a server costs 1.
struct RouterOptions {
  // random, round_robin, least_connections, two_choices or prefix_affinity.
  std::string strategy = "prefix_affinity";
  double cost_per_latency_ms = 0.5;
  // For each version that a server lags behind the newest of the candidates.
  double cost_per_version = 0.5;
  // Live work only: for a server's share of training work, 0 to 1.
  double cost_of_training_share = 2.0;
  // The nearest data center's servers are left when the best of the sample is
  // more utilized than this.
  double spill_utilization = 1.0;
  // A cached prefix is followed while its server's load is at most this times
  // the mean, plus one.
  double bounded_load_factor = 1.25;
  // What a cached prefix saves, in requests.
  double prefix_benefit = 2.0;
  std::size_t max_prefixes = 65536;
};

// Extra cost, in requests, of one server for one service.
struct FairnessHint {
  std::string_view server;
  double cost = 0;
};

class RouteStrategy;

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

  // The digests that no server may run.
  void Quarantine(std::string digest);
  bool IsQuarantined(std::string_view digest) const;

  // Replaces the service's hints: a positive cost keeps it away from servers
  // where it has had more than its share.
  void SetFairnessHints(std::string_view service,
                        std::span<const FairnessHint> hints);

  RouteChoice Choose(const RouteRequest& request, Random& random);

  // The request went to / is over at the chosen server.
  void OnSent(ServerIndex server,
              const RouteRequest& request,
              MonotonicTime now);
  void OnFinished(ServerIndex server, MonotonicTime now);

  // A server that leaves, or does not answer, is removed; one that returns is
  // added again.
  void RemoveServer(std::string_view id);

 private:
  // Costs by server index; 0 beyond the end.
  struct ServiceHints {
    std::vector<double> costs;
  };

  explicit Router(RouterOptions options);
  const std::vector<double>* HintsFor(std::string_view service) const;
  RouteFailure WhyNone(const RouteRequest& request) const;

  RouterOptions options;
  ServerTable servers;
  PrefixIndex prefixes;
  std::unordered_set<std::string> quarantined;
  std::map<std::string, ServiceHints, std::less<>> hints;
  std::unique_ptr<RouteStrategy> strategy;
};

// The names that RouterOptions::strategy accepts.
std::span<const std::string_view> RouteStrategyNames();

}  // namespace carobbank
