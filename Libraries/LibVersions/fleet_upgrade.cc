// Sharing servers out among models, and the order in which they load.

#include "LibVersions/fleet_upgrade.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "LibCore/core.h"

namespace carobbank {

namespace {

struct Affinity {
  // How many versions the server is behind for that model.
  std::int64_t lag = 0;
  // Rendezvous hash: the same on every instance.
  std::uint64_t hash = 0;
  const UpgradableServer* server = nullptr;
  const std::string* model = nullptr;
};

std::vector<Affinity> SortedAffinities(
    std::span<const UpgradableServer> servers,
    const NumberByModel& named) {
  std::vector<Affinity> affinities;
  for (const UpgradableServer& server : servers) {
    for (const auto& [model, version] : named) {
      const auto served = server.versions.find(model);
      if (served != server.versions.end()) {
        affinities.push_back({version - served->second,
                              FastHash(server.id + "\n" + model), &server,
                              &model});
      }
    }
  }
  std::sort(affinities.begin(), affinities.end(),
            [](const Affinity& left, const Affinity& right) {
              return std::tie(left.lag, left.hash, left.server->id) <
                     std::tie(right.lag, right.hash, right.server->id);
            });
  return affinities;
}

std::size_t ShareOf(std::size_t count, double share) {
  return static_cast<std::size_t>(static_cast<double>(count) * share);
}

// The servers of one model that should load, oldest first: all that can't serve
// the newest step, then as many as the fresh share wants.
std::vector<const UpgradableServer*> Wanted(
    std::vector<const UpgradableServer*> servers,
    const std::string& model,
    std::int64_t named,
    const FleetUpgradeOptions& options) {
  const auto version_of = [&model](const UpgradableServer* server) {
    return server->versions.find(model)->second;
  };
  std::stable_sort(servers.begin(), servers.end(),
                   [&](const auto* left, const auto* right) {
                     return version_of(left) < version_of(right);
                   });
  const auto fresh = static_cast<std::size_t>(
      std::count_if(servers.begin(), servers.end(), [&](const auto* server) {
        return version_of(server) >= named || server->upgrade_pending;
      }));
  const std::size_t wanted_fresh =
      ShareOf(servers.size(), options.eager_upgrade_fraction);
  std::size_t optional = wanted_fresh > fresh ? wanted_fresh - fresh : 0;
  std::vector<const UpgradableServer*> wanted;
  for (const UpgradableServer* const server : servers) {
    const std::int64_t version = version_of(server);
    if (server->upgrade_pending || version >= named) {
      continue;
    }
    const bool needed = version < named - options.allowed_lag;
    if (!needed && optional == 0) {
      continue;
    }
    optional -= optional > 0 ? 1 : 0;
    wanted.push_back(server);
  }
  return wanted;
}

// Fractions of servers in proportion to demand, after each model's minimum.
std::map<std::string, double> IdealShares(std::int64_t servers,
                                          const NumberByModel& demand) {
  constexpr std::int64_t kLeastServers = 2;
  const auto models = static_cast<std::int64_t>(demand.size());
  const auto least = static_cast<double>(
      models == 0 ? 0 : std::min(servers / models, kLeastServers));
  std::map<std::string, double> weights;
  double total = 0;
  for (const auto& [model, amount] : demand) {
    weights[model] = static_cast<double>(std::max<std::int64_t>(amount, 1));
    total += weights[model];
  }
  // Models below the minimum take it; the others share what is left.
  std::map<std::string, double> ideal;
  auto left = static_cast<double>(servers);
  double rest = 0;
  for (const auto& [model, weight] : weights) {
    if (static_cast<double>(servers) * weight / total < least) {
      ideal[model] = least;
      left -= least;
    } else {
      rest += weight;
    }
  }
  for (const auto& [model, weight] : weights) {
    if (!ideal.contains(model)) {
      ideal[model] = left * weight / rest;
    }
  }
  return ideal;
}

std::int64_t SumOf(const NumberByModel& numbers) {
  std::int64_t sum = 0;
  for (const auto& [model, number] : numbers) {
    sum += number;
  }
  return sum;
}

bool StillFits(const std::map<std::string, double>& ideal,
               const NumberByModel& before) {
  if (before.size() != ideal.size()) {
    return false;
  }
  double wanted_sum = 0;
  for (const auto& [model, wanted] : ideal) {
    const auto share = before.find(model);
    if (share == before.end() ||
        std::abs(wanted - static_cast<double>(share->second)) >= 1.0) {
      return false;
    }
    wanted_sum += wanted;
  }
  return std::abs(wanted_sum - static_cast<double>(SumOf(before))) < 1.0;
}

// Largest remainder: whole servers that add up to the whole sum.
NumberByModel RoundShares(const std::map<std::string, double>& ideal) {
  NumberByModel shares;
  std::vector<std::pair<double, std::string>> remainders;
  double sum = 0;
  std::int64_t given = 0;
  for (const auto& [model, share] : ideal) {
    const auto whole = static_cast<std::int64_t>(share);
    shares[model] = whole;
    given += whole;
    sum += share;
    remainders.emplace_back(share - static_cast<double>(whole), model);
  }
  const std::int64_t places = std::llround(sum);
  std::sort(remainders.rbegin(), remainders.rend());
  for (const auto& [remainder, model] : remainders) {
    if (given < places) {
      ++shares[model];
      ++given;
    }
  }
  return shares;
}

}  // namespace

std::size_t MaxConcurrentLoads(std::size_t servers,
                               double max_loading_fraction) {
  const auto rounded = static_cast<std::size_t>(
      std::lround(static_cast<double>(servers) * max_loading_fraction));
  return std::max<std::size_t>(rounded, 1);
}

double ModelsPerServer(double loads_per_s,
                       double needed_per_s,
                       std::size_t models) {
  if (needed_per_s <= 0) {
    return 1.0;
  }
  return std::clamp(loads_per_s / needed_per_s, 1.0,
                    std::max(static_cast<double>(models), 1.0));
}

NumberByModel AllocateServers(std::int64_t servers,
                              double overlap,
                              const NumberByModel& demand,
                              const NumberByModel& before) {
  const std::int64_t places =
      std::llround(static_cast<double>(servers) * overlap);
  std::map<std::string, double> ideal = IdealShares(places, demand);
  for (auto& [model, share] : ideal) {
    share = std::min(share, static_cast<double>(servers));
  }
  if (StillFits(ideal, before) && SumOf(before) <= places) {
    return before;
  }
  return RoundShares(ideal);
}

std::map<std::string, std::set<std::string>> AssignModels(
    std::span<const UpgradableServer> servers,
    const NumberByModel& named,
    const NumberByModel& shares) {
  std::map<std::string, std::set<std::string>> assigned;
  if (servers.empty()) {
    return assigned;
  }
  const auto count = static_cast<std::int64_t>(servers.size());
  const auto most_models =
      static_cast<std::size_t>((SumOf(shares) + count - 1) / count);
  std::map<std::string, std::size_t> models_of;
  for (const Affinity& affinity : SortedAffinities(servers, named)) {
    const auto share = shares.find(*affinity.model);
    std::set<std::string>& own = assigned[*affinity.model];
    if (share != shares.end() &&
        own.size() < static_cast<std::size_t>(share->second) &&
        models_of[affinity.server->id] < most_models) {
      own.insert(affinity.server->id);
      ++models_of[affinity.server->id];
    }
  }
  return assigned;
}

std::vector<UpgradeOrder> PlanUpgrades(
    std::span<const UpgradableServer> servers,
    const NumberByModel& named,
    const NumberByModel& shares,
    const FleetUpgradeOptions& options) {
  const std::map<std::string, std::set<std::string>> assigned =
      AssignModels(servers, named, shares);
  const auto changing = static_cast<std::size_t>(
      std::count_if(servers.begin(), servers.end(),
                    [](const auto& server) { return server.upgrade_pending; }));
  const std::size_t most =
      MaxConcurrentLoads(servers.size(), options.max_loading_fraction);
  std::size_t room = most > changing ? most - changing : 0;

  std::vector<std::vector<UpgradeOrder>> by_model;
  for (const auto& [model, version] : named) {
    std::vector<const UpgradableServer*> own;
    const auto keepers = assigned.find(model);
    for (const UpgradableServer& server : servers) {
      if (keepers != assigned.end() && keepers->second.contains(server.id)) {
        own.push_back(&server);
      }
    }
    std::vector<UpgradeOrder>& orders = by_model.emplace_back();
    for (const auto* const server : Wanted(own, model, version, options)) {
      orders.push_back({server->id, model, version});
    }
  }
  // The models take turns, so that none waits for another's whole round. A
  // server carries out one order at a time.
  std::vector<UpgradeOrder> plan;
  std::set<std::string> taken;
  for (std::size_t turn = 0; room > 0; ++turn) {
    bool any = false;
    for (const std::vector<UpgradeOrder>& orders : by_model) {
      if (turn >= orders.size() || room == 0) {
        continue;
      }
      any = true;
      if (taken.insert(orders[turn].server_id).second) {
        plan.push_back(orders[turn]);
        --room;
      }
    }
    if (!any) {
      break;
    }
  }
  return plan;
}

}  // namespace carobbank
