// Which servers load which version next.

#include "LibVersions/versions.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

namespace carobbank {

namespace {

using Named = std::map<std::string, std::int64_t, std::less<>>;

std::vector<UpgradableServer> Servers(std::size_t count, const Named& at) {
  std::vector<UpgradableServer> servers;
  for (std::size_t i = 0; i < count; ++i) {
    UpgradableServer& server = servers.emplace_back();
    server.id = "s" + std::to_string(i);
    server.versions = at;
  }
  return servers;
}

void Carry(std::vector<UpgradableServer>& servers, const UpgradeOrder& order) {
  for (UpgradableServer& server : servers) {
    if (server.id == order.server_id) {
      server.versions[order.model] = order.version;
    }
  }
}

std::size_t Usable(const std::vector<UpgradableServer>& servers,
                   const std::string& model,
                   std::int64_t least) {
  return static_cast<std::size_t>(
      std::count_if(servers.begin(), servers.end(), [&](const auto& server) {
        return server.versions.find(model)->second >= least;
      }));
}

}  // namespace

TEST_GROUP(FleetUpgrade) {
  FleetUpgradeOptions options;
};

TEST(FleetUpgrade, NoMoreServersLoadAtOnceThanTheShareAllows) {
  std::vector<UpgradableServer> servers = Servers(10, {{"m", 1}});
  LONGS_EQUAL(2, PlanUpgrades(servers, {{"m", 9}}, this->options).size());
  servers[0].changing = true;
  LONGS_EQUAL(1, PlanUpgrades(servers, {{"m", 9}}, this->options).size());
  servers[1].changing = true;
  LONGS_EQUAL(0, PlanUpgrades(servers, {{"m", 9}}, this->options).size());
}

TEST(FleetUpgrade, ServersThatCanNotServeTheStepGoFirst) {
  std::vector<UpgradableServer> servers = Servers(10, {{"m", 4}});
  servers[7].versions["m"] = 2;
  servers[8].versions["m"] = 3;
  const auto plan = PlanUpgrades(servers, {{"m", 5}}, this->options);
  STRCMP_EQUAL("s7", plan[0].server_id.c_str());
  STRCMP_EQUAL("s8", plan[1].server_id.c_str());
}

TEST(FleetUpgrade, AnUpToDateFleetIsLeftAlone) {
  LONGS_EQUAL(
      0,
      PlanUpgrades(Servers(10, {{"m", 5}}), {{"m", 5}}, this->options).size());
}

TEST(FleetUpgrade, OneLoadOfEachServerServesTwoVersions) {
  std::vector<UpgradableServer> servers = Servers(10, {{"m", 1}});
  constexpr std::int64_t kVersions = 12;
  std::size_t loads = 0;
  for (std::int64_t version = 2; version <= kVersions; ++version) {
    for (auto plan = PlanUpgrades(servers, {{"m", version}}, this->options);
         !plan.empty();
         plan = PlanUpgrades(servers, {{"m", version}}, this->options)) {
      for (const UpgradeOrder& order : plan) {
        Carry(servers, order);
        ++loads;
      }
    }
    LONGS_EQUAL(servers.size(), Usable(servers, "m", version - 1));
  }
  LONGS_EQUAL(servers.size() * (kVersions - 1) / 2, loads);
}

TEST(FleetUpgrade, ModelsShareTheServersEvenlyAndKeepThem) {
  const Named named = {{"a", 2}, {"b", 2}, {"c", 2}};
  std::vector<UpgradableServer> servers =
      Servers(9, {{"a", 1}, {"b", 1}, {"c", 1}});
  const auto assigned = AssignModels(servers, named);
  std::map<std::string, int> counts;
  for (const auto& [server, model] : assigned) {
    ++counts[model];
  }
  for (const auto& [model, count] : counts) {
    LONGS_EQUAL(3, count);
  }
  for (UpgradableServer& server : servers) {
    server.versions[assigned.find(server.id)->second] = 2;
  }
  const Named later = {{"a", 3}, {"b", 5}, {"c", 2}};
  CHECK_TRUE(AssignModels(servers, later) == assigned);
}

TEST(FleetUpgrade, ModelsTakeTurnsInThePlan) {
  this->options.concurrent_share = 0.5;
  const auto plan = PlanUpgrades(Servers(9, {{"a", 1}, {"b", 1}, {"c", 1}}),
                                 {{"a", 9}, {"b", 9}, {"c", 9}}, this->options);
  std::set<std::string> first;
  for (std::size_t i = 0; i < 3; ++i) {
    first.insert(plan[i].model);
  }
  LONGS_EQUAL(3, first.size());
}

}  // namespace carobbank
