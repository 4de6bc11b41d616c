// The load balancing strategies and the table of their names.

#include <algorithm>
#include <array>
#include <limits>

#include "LibRouting/routing_strategy.h"

namespace carobbank {

namespace {

// Servers that a strategy draws before the router falls back to a full scan.
constexpr int kMaxDraws = 8;
// Versions of one data center that are sampled, newest first.
constexpr std::size_t kMaxVersionsSampled = 3;
// Servers checked per level of equally many requests in flight.
constexpr std::size_t kMaxProbesPerLevel = 16;

// Tracks the usable server with the lowest cost of those offered.
class Cheapest {
 public:
  explicit Cheapest(const RouteContext& context) : context(context) {}

  // `bonus` is subtracted from the server's cost.
  void Offer(ServerIndex server, double bonus = 0) {
    if (server == kNoServer || !this->context.Usable(server)) {
      return;
    }
    const double cost = this->context.Cost(server) - bonus;
    if (cost < this->cost) {
      this->cost = cost;
      this->server = server;
    }
  }
  ServerIndex Server() const { return this->server; }

 private:
  const RouteContext& context;
  ServerIndex server = kNoServer;
  double cost = std::numeric_limits<double>::infinity();
};

void OfferTwoServers(const RouteContext& context,
                     const ServerGroup& group,
                     Cheapest& cheapest) {
  const std::size_t size = group.servers.size();
  const std::size_t first = context.random.Below(size);
  cheapest.Offer(group.servers[first]);
  if (size > 1) {
    // The second server is distinct from the first.
    const std::size_t step = 1 + context.random.Below(size - 1);
    cheapest.Offer(group.servers[(first + step) % size]);
  }
}

void OfferDataCenter(const RouteContext& context,
                     const DataCenterServers& data_center,
                     Cheapest& cheapest) {
  std::size_t sampled = 0;
  for (const ServerGroup& group : data_center.groups) {
    if (!context.request.versions.Contains(group.version)) {
      continue;
    }
    OfferTwoServers(context, group, cheapest);
    if (++sampled == kMaxVersionsSampled) {
      return;
    }
  }
}

class RandomStrategy final : public LoadBalancingStrategy {
 public:
  ServerIndex Pick(const RouteContext& context) override {
    for (int draw = 0; draw < kMaxDraws; ++draw) {
      const ServerIndex server = context.RandomInRange();
      if (server != kNoServer && context.Usable(server)) {
        return server;
      }
    }
    return kNoServer;
  }
};

class RoundRobinStrategy final : public LoadBalancingStrategy {
 public:
  ServerIndex Pick(const RouteContext& context) override {
    const std::size_t count = context.CountInRange();
    for (int draw = 0; count > 0 && draw < kMaxDraws; ++draw) {
      const ServerIndex server = context.NthInRange(this->next++ % count);
      if (context.Usable(server)) {
        return server;
      }
    }
    return kNoServer;
  }

 private:
  std::size_t next = 0;
};

// Fewest requests in flight from this entry; the load from other entries is
// ignored.
class LeastConnectionsStrategy final : public LoadBalancingStrategy {
 public:
  ServerIndex Pick(const RouteContext& context) override {
    for (const auto& [in_flight, level] : context.servers.InFlightLevels()) {
      const std::size_t size = level.servers.size();
      const std::size_t start = context.random.Below(size);
      const std::size_t probes = std::min(size, kMaxProbesPerLevel);
      for (std::size_t probe = 0; probe < probes; ++probe) {
        const ServerIndex server = level.servers[(start + probe) % size];
        if (context.Usable(server)) {
          return server;
        }
      }
    }
    return kNoServer;
  }
};

class TwoChoicesStrategy final : public LoadBalancingStrategy {
 public:
  ServerIndex Pick(const RouteContext& context) override {
    return PickTwoChoices(context);
  }
};

// Prefers servers that hold the prefix, at the expense of some load but never
// beyond the load bound (consistent hashing with bounded loads, Mirrokni et al.
// 2018).
class PrefixAffinityStrategy final : public LoadBalancingStrategy {
 public:
  ServerIndex Pick(const RouteContext& context) override {
    const ServerIndex sampled = PickTwoChoices(context);
    if (context.request.prefix_hash == 0) {
      return sampled;
    }
    const RouterOptions& options = context.options;
    const double max_load =
        options.bounded_load_factor * context.servers.MeanLoad() + 1;
    Cheapest cheapest(context);
    cheapest.Offer(sampled);
    const auto offer = [&](ServerIndex server, double bonus) {
      const bool within_bound =
          server != kNoServer &&
          context.servers.At(server).CorrectedLoad() <= max_load;
      if (within_bound) {
        cheapest.Offer(server, bonus);
      }
    };
    const PrefixHolders holders =
        context.prefixes.Holders(context.request.prefix_hash);
    for (ServerIndex holder : holders.All()) {
      offer(holder, options.prefix_benefit);
    }
    if (!context.servers.DataCenters().empty()) {
      // Rendezvous hashing assigns the prefix to the same server in every
      // entry.
      const RendezvousTree& tree =
          context.servers.DataCenters().front().rendezvous_tree;
      offer(tree.Find(context.request.prefix_hash), options.prefix_benefit / 2);
    }
    return cheapest.Server();
  }
};

struct StrategyEntry {
  std::string_view name;
  std::unique_ptr<LoadBalancingStrategy> (*create)();
};

template <typename Strategy>
std::unique_ptr<LoadBalancingStrategy> Make() {
  return std::make_unique<Strategy>();
}

constexpr std::array kStrategies = {
    StrategyEntry{"random", Make<RandomStrategy>},
    StrategyEntry{"round_robin", Make<RoundRobinStrategy>},
    StrategyEntry{"least_connections", Make<LeastConnectionsStrategy>},
    StrategyEntry{"two_choices", Make<TwoChoicesStrategy>},
    StrategyEntry{"prefix_affinity", Make<PrefixAffinityStrategy>},
};

constexpr auto kStrategyNames = [] {
  std::array<std::string_view, kStrategies.size()> names{};
  for (std::size_t index = 0; index < names.size(); ++index) {
    names[index] = kStrategies[index].name;
  }
  return names;
}();

}  // namespace

ServerIndex PickTwoChoices(const RouteContext& context) {
  const auto& data_centers = context.servers.DataCenters();
  if (data_centers.empty()) {
    return kNoServer;
  }
  Cheapest cheapest(context);
  OfferDataCenter(context, data_centers.front(), cheapest);
  const ServerIndex nearest = cheapest.Server();
  const bool spill =
      nearest == kNoServer || context.servers.At(nearest).Utilization() >
                                  context.options.spill_utilization;
  if (spill && data_centers.size() > 1) {
    const std::size_t other = 1 + context.random.Below(data_centers.size() - 1);
    OfferDataCenter(context, data_centers[other], cheapest);
  }
  return cheapest.Server();
}

std::unique_ptr<LoadBalancingStrategy> CreateLoadBalancingStrategy(
    std::string_view name) {
  for (const StrategyEntry& strategy : kStrategies) {
    if (strategy.name == name) {
      return strategy.create();
    }
  }
  return nullptr;
}

std::span<const std::string_view> LoadBalancingStrategyNames() {
  return kStrategyNames;
}

}  // namespace carobbank
