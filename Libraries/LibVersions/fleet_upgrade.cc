// Allocation of servers to models, and the order in which servers load.

#include "LibVersions/fleet_upgrade.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "LibCore/core.h"

namespace carobbank {

namespace {

struct Affinity {
  // How many versions the server is behind for the model.
  std::int64_t lag = 0;
  // Rendezvous hash; every instance computes the same value.
  std::uint64_t hash = 0;
  const UpgradableServer* server = nullptr;
  const std::string* model = nullptr;
};

std::vector<Affinity> SortedAffinities(
    std::span<const UpgradableServer> servers,
    const NumberByModel& target_versions) {
  std::vector<Affinity> affinities;
  for (const UpgradableServer& server : servers) {
    for (const auto& [model, version] : target_versions) {
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

std::size_t FractionOf(std::size_t count, double fraction) {
  return static_cast<std::size_t>(static_cast<double>(count) * fraction);
}

// The servers of one model that should load, oldest first: all that can't serve
// the newest step, then as many as eager_upgrade_fraction requires.
std::vector<const UpgradableServer*> ServersToLoad(
    std::vector<const UpgradableServer*> servers,
    const std::string& model,
    std::int64_t target_version,
    const FleetUpgradeOptions& options) {
  const auto version_of = [&model](const UpgradableServer* server) {
    return server->versions.find(model)->second;
  };
  std::stable_sort(servers.begin(), servers.end(),
                   [&](const auto* left, const auto* right) {
                     return version_of(left) < version_of(right);
                   });
  const auto up_to_date = static_cast<std::size_t>(
      std::count_if(servers.begin(), servers.end(), [&](const auto* server) {
        return version_of(server) >= target_version || server->upgrade_pending;
      }));
  const std::size_t wanted_up_to_date =
      FractionOf(servers.size(), options.eager_upgrade_fraction);
  std::size_t optional =
      wanted_up_to_date > up_to_date ? wanted_up_to_date - up_to_date : 0;
  std::vector<const UpgradableServer*> selected;
  for (const UpgradableServer* const server : servers) {
    const std::int64_t version = version_of(server);
    if (server->upgrade_pending || version >= target_version) {
      continue;
    }
    const bool needed = version < target_version - options.allowed_lag;
    if (!needed && optional == 0) {
      continue;
    }
    optional -= optional > 0 ? 1 : 0;
    selected.push_back(server);
  }
  return selected;
}

// Fractional server counts in proportion to demand, after each model's minimum.
std::map<std::string, double> IdealServerCounts(std::int64_t servers,
                                                const NumberByModel& demand) {
  constexpr std::int64_t kMinimumServers = 2;
  const auto models = static_cast<std::int64_t>(demand.size());
  const auto minimum = static_cast<double>(
      models == 0 ? 0 : std::min(servers / models, kMinimumServers));
  std::map<std::string, double> weights;
  double total = 0;
  for (const auto& [model, amount] : demand) {
    weights[model] = static_cast<double>(std::max<std::int64_t>(amount, 1));
    total += weights[model];
  }
  // Models below the minimum get the minimum; the others divide the remaining
  // servers.
  std::map<std::string, double> counts;
  auto remaining_servers = static_cast<double>(servers);
  double remaining_weight = 0;
  for (const auto& [model, weight] : weights) {
    if (static_cast<double>(servers) * weight / total < minimum) {
      counts[model] = minimum;
      remaining_servers -= minimum;
    } else {
      remaining_weight += weight;
    }
  }
  for (const auto& [model, weight] : weights) {
    if (!counts.contains(model)) {
      counts[model] = remaining_servers * weight / remaining_weight;
    }
  }
  return counts;
}

std::int64_t SumOf(const NumberByModel& numbers) {
  std::int64_t sum = 0;
  for (const auto& [model, number] : numbers) {
    sum += number;
  }
  return sum;
}

bool IsWithinOneServer(const std::map<std::string, double>& ideal_counts,
                       const NumberByModel& before) {
  if (before.size() != ideal_counts.size()) {
    return false;
  }
  double ideal_sum = 0;
  for (const auto& [model, ideal_count] : ideal_counts) {
    const auto previous = before.find(model);
    if (previous == before.end() ||
        std::abs(ideal_count - static_cast<double>(previous->second)) >= 1.0) {
      return false;
    }
    ideal_sum += ideal_count;
  }
  return std::abs(ideal_sum - static_cast<double>(SumOf(before))) < 1.0;
}

// Largest remainder method: integer counts that add up to the rounded sum.
NumberByModel RoundServerCounts(
    const std::map<std::string, double>& ideal_counts) {
  NumberByModel rounded;
  std::vector<std::pair<double, std::string>> remainders;
  double sum = 0;
  std::int64_t assigned = 0;
  for (const auto& [model, count] : ideal_counts) {
    const auto whole = static_cast<std::int64_t>(count);
    rounded[model] = whole;
    assigned += whole;
    sum += count;
    remainders.emplace_back(count - static_cast<double>(whole), model);
  }
  const std::int64_t target_sum = std::llround(sum);
  std::sort(remainders.rbegin(), remainders.rend());
  for (const auto& [remainder, model] : remainders) {
    if (assigned < target_sum) {
      ++rounded[model];
      ++assigned;
    }
  }
  return rounded;
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
  const std::int64_t assignments =
      std::llround(static_cast<double>(servers) * overlap);
  std::map<std::string, double> ideal_counts =
      IdealServerCounts(assignments, demand);
  for (auto& [model, count] : ideal_counts) {
    count = std::min(count, static_cast<double>(servers));
  }
  if (IsWithinOneServer(ideal_counts, before) && SumOf(before) <= assignments) {
    return before;
  }
  return RoundServerCounts(ideal_counts);
}

std::map<std::string, std::set<std::string>> AssignModels(
    std::span<const UpgradableServer> servers,
    const NumberByModel& target_versions,
    const NumberByModel& servers_per_model) {
  std::map<std::string, std::set<std::string>> assigned;
  if (servers.empty()) {
    return assigned;
  }
  const auto count = static_cast<std::int64_t>(servers.size());
  const auto max_models_per_server =
      static_cast<std::size_t>((SumOf(servers_per_model) + count - 1) / count);
  std::map<std::string, std::size_t> models_of;
  for (const Affinity& affinity : SortedAffinities(servers, target_versions)) {
    const auto wanted_servers = servers_per_model.find(*affinity.model);
    std::set<std::string>& own = assigned[*affinity.model];
    if (wanted_servers != servers_per_model.end() &&
        own.size() < static_cast<std::size_t>(wanted_servers->second) &&
        models_of[affinity.server->id] < max_models_per_server) {
      own.insert(affinity.server->id);
      ++models_of[affinity.server->id];
    }
  }
  return assigned;
}

std::vector<UpgradeOrder> PlanUpgrades(
    std::span<const UpgradableServer> servers,
    const NumberByModel& target_versions,
    const NumberByModel& servers_per_model,
    const FleetUpgradeOptions& options) {
  const std::map<std::string, std::set<std::string>> assigned =
      AssignModels(servers, target_versions, servers_per_model);
  const auto pending = static_cast<std::size_t>(
      std::count_if(servers.begin(), servers.end(),
                    [](const auto& server) { return server.upgrade_pending; }));
  const std::size_t max_loading =
      MaxConcurrentLoads(servers.size(), options.max_loading_fraction);
  std::size_t free_capacity = max_loading > pending ? max_loading - pending : 0;

  std::vector<std::vector<UpgradeOrder>> by_model;
  for (const auto& [model, version] : target_versions) {
    std::vector<const UpgradableServer*> own;
    const auto assigned_servers = assigned.find(model);
    for (const UpgradableServer& server : servers) {
      if (assigned_servers != assigned.end() &&
          assigned_servers->second.contains(server.id)) {
        own.push_back(&server);
      }
    }
    std::vector<UpgradeOrder>& orders = by_model.emplace_back();
    for (const auto* const server :
         ServersToLoad(own, model, version, options)) {
      orders.push_back({server->id, model, version});
    }
  }
  // One order per model in turn, so that no model waits until another is
  // complete. A server processes one order at a time.
  std::vector<UpgradeOrder> plan;
  std::set<std::string> ordered_servers;
  for (std::size_t turn = 0; free_capacity > 0; ++turn) {
    bool any = false;
    for (const std::vector<UpgradeOrder>& orders : by_model) {
      if (turn >= orders.size() || free_capacity == 0) {
        continue;
      }
      any = true;
      if (ordered_servers.insert(orders[turn].server_id).second) {
        plan.push_back(orders[turn]);
        --free_capacity;
      }
    }
    if (!any) {
      break;
    }
  }
  return plan;
}

}  // namespace carobbank
