// Tests of the fleet upgrade plan. They guard against plans that load on too
// many servers at once, leave servers at versions that can't serve the step,
// order one server twice, or move models between servers without need.

#include "LibVersions/versions.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

namespace carobbank {

namespace {

using VersionByModel = NumberByModel;

NumberByModel EqualServersPerModel() {
  return {{"a", 3}, {"b", 3}, {"c", 3}};
}

std::vector<UpgradableServer> Servers(std::size_t count,
                                      const VersionByModel& at) {
  std::vector<UpgradableServer> servers;
  for (std::size_t i = 0; i < count; ++i) {
    UpgradableServer& server = servers.emplace_back();
    server.id = "s" + std::to_string(i);
    server.versions = at;
  }
  return servers;
}

void ApplyOrder(std::vector<UpgradableServer>& servers,
                const UpgradeOrder& order) {
  for (UpgradableServer& server : servers) {
    if (server.id == order.server_id) {
      server.versions[order.model] = order.version;
    }
  }
}

std::size_t ServersAtLeast(const std::vector<UpgradableServer>& servers,
                           const std::string& model,
                           std::int64_t minimum) {
  return static_cast<std::size_t>(
      std::count_if(servers.begin(), servers.end(), [&](const auto& server) {
        return server.versions.find(model)->second >= minimum;
      }));
}

}  // namespace

TEST_GROUP(FleetUpgrade) {
  FleetUpgradeOptions options;
};

TEST(FleetUpgrade, ConcurrentLoadsStayWithinTheLimit) {
  std::vector<UpgradableServer> servers = Servers(10, {{"m", 1}});
  LONGS_EQUAL(
      2, PlanUpgrades(servers, {{"m", 9}}, {{"m", 10}}, this->options).size());
  servers[0].upgrade_pending = true;
  LONGS_EQUAL(
      1, PlanUpgrades(servers, {{"m", 9}}, {{"m", 10}}, this->options).size());
  servers[1].upgrade_pending = true;
  LONGS_EQUAL(
      0, PlanUpgrades(servers, {{"m", 9}}, {{"m", 10}}, this->options).size());
}

TEST(FleetUpgrade, ServersThatCanNotServeTheStepLoadFirst) {
  std::vector<UpgradableServer> servers = Servers(10, {{"m", 4}});
  servers[7].versions["m"] = 2;
  servers[8].versions["m"] = 3;
  const auto plan =
      PlanUpgrades(servers, {{"m", 5}}, {{"m", 10}}, this->options);
  STRCMP_EQUAL("s7", plan[0].server_id.c_str());
  STRCMP_EQUAL("s8", plan[1].server_id.c_str());
}

TEST(FleetUpgrade, AnUpToDateFleetGetsNoOrders) {
  LONGS_EQUAL(0, PlanUpgrades(Servers(10, {{"m", 5}}), {{"m", 5}}, {{"m", 10}},
                              this->options)
                     .size());
}

TEST(FleetUpgrade, EachServerLoadsEverySecondVersion) {
  std::vector<UpgradableServer> servers = Servers(10, {{"m", 1}});
  constexpr std::int64_t kVersions = 12;
  std::size_t loads = 0;
  for (std::int64_t version = 2; version <= kVersions; ++version) {
    for (auto plan = PlanUpgrades(servers, {{"m", version}}, {{"m", 10}},
                                  this->options);
         !plan.empty(); plan = PlanUpgrades(servers, {{"m", version}},
                                            {{"m", 10}}, this->options)) {
      for (const UpgradeOrder& order : plan) {
        ApplyOrder(servers, order);
        ++loads;
      }
    }
    LONGS_EQUAL(servers.size(), ServersAtLeast(servers, "m", version - 1));
  }
  LONGS_EQUAL(servers.size() * (kVersions - 1) / 2, loads);
}

TEST(FleetUpgrade, ModelsGetEqualServersAndKeepThem) {
  const VersionByModel target_versions = {{"a", 2}, {"b", 2}, {"c", 2}};
  std::vector<UpgradableServer> servers =
      Servers(9, {{"a", 1}, {"b", 1}, {"c", 1}});
  const auto assigned =
      AssignModels(servers, target_versions, EqualServersPerModel());
  std::set<std::string> all;
  for (const auto& [model, own] : assigned) {
    LONGS_EQUAL(3, own.size());
    all.insert(own.begin(), own.end());
  }
  LONGS_EQUAL(9, all.size());
  for (UpgradableServer& server : servers) {
    for (const auto& [model, own] : assigned) {
      server.versions[model] = own.contains(server.id) ? 2 : 1;
    }
  }
  const VersionByModel later = {{"a", 3}, {"b", 5}, {"c", 2}};
  CHECK_TRUE(AssignModels(servers, later, EqualServersPerModel()) == assigned);
}

TEST(FleetUpgrade, OverlappingModelsAreSpreadOverAllServers) {
  const VersionByModel target_versions = {{"a", 2}, {"b", 2}, {"c", 2}};
  const std::vector<UpgradableServer> servers =
      Servers(9, {{"a", 1}, {"b", 1}, {"c", 1}});
  const NumberByModel servers_per_model =
      AllocateServers(9, 1.5, {{"a", 5}, {"b", 5}, {"c", 5}}, {});
  std::map<std::string, int> model_counts;
  std::int64_t sum = 0;
  for (const auto& [model, own] :
       AssignModels(servers, target_versions, servers_per_model)) {
    LONGS_EQUAL(servers_per_model.at(model), own.size());
    for (const std::string& server : own) {
      ++model_counts[server];
      ++sum;
    }
  }
  LONGS_EQUAL(14, sum);
  for (const auto& [server, models] : model_counts) {
    CHECK_TRUE(models <= 2);
  }
  this->options.max_loading_fraction = 1.0;
  std::set<std::string> ordered;
  for (const UpgradeOrder& order :
       PlanUpgrades(servers, {{"a", 9}, {"b", 9}, {"c", 9}}, servers_per_model,
                    this->options)) {
    CHECK_TRUE(ordered.insert(order.server_id).second);
  }
}

TEST(FleetUpgrade, ModelsPerServerFollowsThePossibleLoadRate) {
  DOUBLES_EQUAL(1.0, ModelsPerServer(1.0, 2.0, 3), 1e-9);
  DOUBLES_EQUAL(1.5, ModelsPerServer(3.0, 2.0, 3), 1e-9);
  DOUBLES_EQUAL(3.0, ModelsPerServer(9.0, 2.0, 3), 1e-9);
  DOUBLES_EQUAL(1.0, ModelsPerServer(9.0, 0.0, 3), 1e-9);
  DOUBLES_EQUAL(1.0, ModelsPerServer(9.0, 2.0, 0), 1e-9);
}

TEST(FleetUpgrade, AllocationFollowsDemandAndAddsUp) {
  const struct {
    std::int64_t servers;
    NumberByModel demand;
    NumberByModel servers_per_model;
  } cases[] = {
      {11, {{"a", 7}}, {{"a", 11}}},
      {9, {{"a", 5}, {"b", 5}, {"c", 5}}, {{"a", 3}, {"b", 3}, {"c", 3}}},
      {10, {{"a", 1}, {"b", 2}, {"c", 2}}, {{"a", 2}, {"b", 4}, {"c", 4}}},
      {10, {{"a", 0}, {"b", 9}, {"c", 9}}, {{"a", 2}, {"b", 4}, {"c", 4}}},
      {2, {{"a", 1}, {"b", 9}}, {{"a", 1}, {"b", 1}}},
      {1, {{"a", 1}, {"b", 9}}, {{"a", 0}, {"b", 1}}},
      {0, {{"a", 1}}, {{"a", 0}}},
      {5, {}, {}},
  };
  for (const auto& example : cases) {
    CHECK_TRUE(AllocateServers(example.servers, 1.0, example.demand, {}) ==
               example.servers_per_model);
  }
}

TEST(FleetUpgrade, AllocationIsRetainedWhileWithinOneServer) {
  const NumberByModel before = {{"a", 4}, {"b", 6}};
  CHECK_TRUE(AllocateServers(10, 1.0, {{"a", 48}, {"b", 52}}, before) ==
             before);
  const NumberByModel reallocated = {{"a", 6}, {"b", 4}};
  CHECK_TRUE(AllocateServers(10, 1.0, {{"a", 60}, {"b", 40}}, before) ==
             reallocated);
  const NumberByModel fewer =
      AllocateServers(9, 1.0, {{"a", 48}, {"b", 52}}, before);
  LONGS_EQUAL(9, fewer.at("a") + fewer.at("b"));
}

TEST(FleetUpgrade, PlanAlternatesBetweenModels) {
  this->options.max_loading_fraction = 0.5;
  const auto plan = PlanUpgrades(Servers(9, {{"a", 1}, {"b", 1}, {"c", 1}}),
                                 {{"a", 9}, {"b", 9}, {"c", 9}},
                                 EqualServersPerModel(), this->options);
  std::set<std::string> first;
  for (std::size_t i = 0; i < 3; ++i) {
    first.insert(plan[i].model);
  }
  LONGS_EQUAL(3, first.size());
}

}  // namespace carobbank
