// Which servers of a fleet load a newly named version next. Servers that serve
// several models are shared out among them, so that each model's versions go to
// its own part of the fleet. Pure.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace carobbank {

// A number for each model, by its name.
using NumberByModel = std::map<std::string, std::int64_t, std::less<>>;

struct UpgradableServer {
  std::string id;
  // Version of each model that it serves.
  NumberByModel versions;
  // An order that it accepted or may have accepted is not complete.
  bool upgrade_pending = false;
};

struct FleetUpgradeOptions {
  // Versions before the named one that samples may still come from.
  std::int64_t allowed_lag = 1;
  // Share of the fleet that may load at once: the weight store slows down
  // beyond it.
  double max_loading_fraction = 0.2;
  // Share of a model's servers that take each new version at once, although
  // they could still serve the step; the others follow with the next version.
  double eager_upgrade_fraction = 0.5;
};

struct UpgradeOrder {
  std::string server_id;
  std::string model;
  std::int64_t version = 0;
};

// How many of so many servers may load at once; one at the least.
std::size_t MaxConcurrentLoads(std::size_t servers,
                               double max_loading_fraction);

// How many times over the fleet can be shared out: `loads_per_s` changes of
// version are possible, `needed_per_s` would keep every server current for one
// model. At least 1, at most the number of models.
double ModelsPerServer(double loads_per_s,
                       double needed_per_s,
                       std::size_t models);

// How many of `servers` servers each model of `demand` gets: in proportion to
// its demand, but two at the least where there are enough, so that one can load
// while another serves. With an `overlap` above 1 servers have several models.
// `before` is kept as long as it is off by less than a server.
NumberByModel AllocateServers(std::int64_t servers,
                              double overlap,
                              const NumberByModel& demand,
                              const NumberByModel& before);

// The servers that are kept current for each model, `shares` of them, with the
// models spread evenly. A server stays with the models that it is closest to.
std::map<std::string, std::set<std::string>> AssignModels(
    std::span<const UpgradableServer> servers,
    const NumberByModel& named,
    const NumberByModel& shares);

// The orders to give now, most needed first. `named` holds the newest version
// of each model, `shares` its number of servers.
std::vector<UpgradeOrder> PlanUpgrades(
    std::span<const UpgradableServer> servers,
    const NumberByModel& named,
    const NumberByModel& shares,
    const FleetUpgradeOptions& options);

}  // namespace carobbank
