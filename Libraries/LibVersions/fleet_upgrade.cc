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
    const ModelNumbers& named) {
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

std::size_t MostAtOnce(std::size_t servers, double share) {
  const auto rounded = static_cast<std::size_t>(
      std::lround(static_cast<double>(servers) * share));
  return std::max<std::size_t>(rounded, 1);
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
        return version_of(server) >= named || server->changing;
      }));
  const std::size_t wanted_fresh = ShareOf(servers.size(), options.fresh_share);
  std::size_t optional = wanted_fresh > fresh ? wanted_fresh - fresh : 0;
  std::vector<const UpgradableServer*> wanted;
  for (const UpgradableServer* const server : servers) {
    const std::int64_t version = version_of(server);
    if (server->changing || version >= named) {
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
                                          const ModelNumbers& demand) {
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

bool StillFits(std::int64_t servers,
               const std::map<std::string, double>& ideal,
               const ModelNumbers& before) {
  std::int64_t sum = 0;
  for (const auto& [model, share] : before) {
    const auto wanted = ideal.find(model);
    if (wanted == ideal.end() ||
        std::abs(wanted->second - static_cast<double>(share)) >= 1.0) {
      return false;
    }
    sum += share;
  }
  return sum == servers && before.size() == ideal.size();
}

// Largest remainder: whole servers that add up to all of them.
ModelNumbers RoundShares(std::int64_t servers,
                         const std::map<std::string, double>& ideal) {
  ModelNumbers shares;
  std::vector<std::pair<double, std::string>> remainders;
  std::int64_t given = 0;
  for (const auto& [model, share] : ideal) {
    const auto whole = static_cast<std::int64_t>(share);
    shares[model] = whole;
    given += whole;
    remainders.emplace_back(share - static_cast<double>(whole), model);
  }
  std::sort(remainders.rbegin(), remainders.rend());
  for (const auto& [remainder, model] : remainders) {
    if (given < servers) {
      ++shares[model];
      ++given;
    }
  }
  return shares;
}

}  // namespace

ModelNumbers ShareServers(std::int64_t servers,
                          const ModelNumbers& demand,
                          const ModelNumbers& before) {
  const std::map<std::string, double> ideal = IdealShares(servers, demand);
  if (StillFits(servers, ideal, before)) {
    return before;
  }
  return RoundShares(servers, ideal);
}

std::map<std::string, std::string> AssignModels(
    std::span<const UpgradableServer> servers,
    const ModelNumbers& named,
    const ModelNumbers& shares) {
  std::map<std::string, std::string> assigned;
  ModelNumbers counts;
  for (const Affinity& affinity : SortedAffinities(servers, named)) {
    const auto share = shares.find(*affinity.model);
    if (share != shares.end() && !assigned.contains(affinity.server->id) &&
        counts[*affinity.model] < share->second) {
      assigned[affinity.server->id] = *affinity.model;
      ++counts[*affinity.model];
    }
  }
  return assigned;
}

std::vector<UpgradeOrder> PlanUpgrades(
    std::span<const UpgradableServer> servers,
    const ModelNumbers& named,
    const ModelNumbers& shares,
    const FleetUpgradeOptions& options) {
  const std::map<std::string, std::string> assigned =
      AssignModels(servers, named, shares);
  const auto changing = static_cast<std::size_t>(
      std::count_if(servers.begin(), servers.end(),
                    [](const auto& server) { return server.changing; }));
  const std::size_t most = MostAtOnce(servers.size(), options.concurrent_share);
  std::size_t room = most > changing ? most - changing : 0;

  std::vector<std::vector<UpgradeOrder>> by_model;
  for (const auto& [model, version] : named) {
    std::vector<const UpgradableServer*> own;
    for (const UpgradableServer& server : servers) {
      const auto found = assigned.find(server.id);
      if (found != assigned.end() && found->second == model) {
        own.push_back(&server);
      }
    }
    std::vector<UpgradeOrder>& orders = by_model.emplace_back();
    for (const auto* const server : Wanted(own, model, version, options)) {
      orders.push_back({server->id, model, version});
    }
  }
  // The models take turns, so that none waits for another's whole round.
  std::vector<UpgradeOrder> plan;
  for (std::size_t turn = 0; room > 0; ++turn) {
    bool any = false;
    for (const std::vector<UpgradeOrder>& orders : by_model) {
      if (turn < orders.size() && room > 0) {
        plan.push_back(orders[turn]);
        --room;
        any = true;
      }
    }
    if (!any) {
      break;
    }
  }
  return plan;
}

}  // namespace carobbank
