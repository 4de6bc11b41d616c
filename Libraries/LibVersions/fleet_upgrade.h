// Which servers of a fleet load a newly named version next. Servers that serve
// several models are shared out among them, so that each model's versions go to
// its own part of the fleet. Pure.

#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace carobbank {

struct UpgradableServer {
  std::string id;
  // Version of each model that it serves.
  std::map<std::string, std::int64_t, std::less<>> versions;
  // An order that it accepted or may have accepted is not complete.
  bool changing = false;
};

struct FleetUpgradeOptions {
  // Versions before the named one that samples may still come from.
  std::int64_t allowed_lag = 1;
  // Share of the fleet that may load at once: the weight store slows down
  // beyond it.
  double concurrent_share = 0.2;
  // Share of a model's servers that take each new version at once, although
  // they could still serve the step; the others follow with the next version.
  double fresh_share = 0.5;
};

struct UpgradeOrder {
  std::string server_id;
  std::string model;
  std::int64_t version = 0;
};

// Which model each server is kept current for. A server stays with the model
// that it is closest to; every model gets an equal part.
std::map<std::string, std::string> AssignModels(
    std::span<const UpgradableServer> servers,
    const std::map<std::string, std::int64_t, std::less<>>& named);

// The orders to give now, most needed first. `named` holds the newest version
// of each model.
std::vector<UpgradeOrder> PlanUpgrades(
    std::span<const UpgradableServer> servers,
    const std::map<std::string, std::int64_t, std::less<>>& named,
    const FleetUpgradeOptions& options);

}  // namespace carobbank
