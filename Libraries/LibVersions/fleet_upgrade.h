// Which servers of a fleet load a newly announced version next. Servers that
// serve several models are allocated to the models, so that each model's
// versions go to its own subset of the fleet. Pure.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace carobbank {

// One number per model, by model name.
using NumberByModel = std::map<std::string, std::int64_t, std::less<>>;

struct UpgradableServer {
  std::string id;
  // Version of each served model.
  NumberByModel versions;
  // An order that the server accepted or may have accepted is not complete.
  bool upgrade_pending = false;
};

struct FleetUpgradeOptions {
  // Versions before the target version that samples may still come from.
  std::int64_t allowed_lag = 1;
  // Fraction of the fleet that may load at once; the weight store slows down
  // beyond it.
  double max_loading_fraction = 0.2;
  // Fraction of a model's servers that load each new version immediately,
  // although they could still serve the step; the others follow with the next
  // version.
  double eager_upgrade_fraction = 0.5;
};

struct UpgradeOrder {
  std::string server_id;
  std::string model;
  std::int64_t version = 0;
};

// How many of `servers` servers may load at once; at least one.
std::size_t MaxConcurrentLoads(std::size_t servers,
                               double max_loading_fraction);

// How many models each server can be kept current for on average: the fleet can
// perform `loads_per_s` loads per second, and keeping every server current for
// one model needs `needed_per_s`. At least 1, at most the number of models.
double ModelsPerServer(double loads_per_s,
                       double needed_per_s,
                       std::size_t models);

// How many of `servers` servers each model of `demand` gets: in proportion to
// its demand, but at least two if there are enough, so that one can load while
// another serves. With an `overlap` above 1 servers have several models. The
// previous allocation `before` is retained while it differs by less than one
// server.
NumberByModel AllocateServers(std::int64_t servers,
                              double overlap,
                              const NumberByModel& demand,
                              const NumberByModel& before);

// Which servers are kept current for each model: `servers_per_model` of them,
// with the models spread evenly. A server keeps the models for which it is the
// fewest versions behind.
std::map<std::string, std::set<std::string>> AssignModels(
    std::span<const UpgradableServer> servers,
    const NumberByModel& target_versions,
    const NumberByModel& servers_per_model);

// The orders to send now, most needed first. `target_versions` holds the newest
// version of each model, `servers_per_model` its number of servers.
std::vector<UpgradeOrder> PlanUpgrades(
    std::span<const UpgradableServer> servers,
    const NumberByModel& target_versions,
    const NumberByModel& servers_per_model,
    const FleetUpgradeOptions& options);

}  // namespace carobbank
