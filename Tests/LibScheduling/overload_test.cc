// Guards against what callers met under overload before: urgent calls that
// waited or failed like all others, a workspace that received nothing, servers
// flooded with repeats, idle servers, and an overload that outlived its load.

#include "Support/overload_simulation.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr Milliseconds kBegin{0};
constexpr Milliseconds kEnd{8'000};
constexpr Milliseconds kRunEnd{11'000};
// A less urgent call is served elsewhere while an urgent one waits only as far
// as gateways differ.
constexpr double kNoise = 0.05;

struct Totals {
  DemandResult urgent;
  DemandResult other;
  std::map<std::string, DemandResult> workspaces;
  double mean_ratio = 0;
};

void AddTo(DemandResult& sum, const DemandResult& part) {
  sum.asked += part.asked;
  sum.served += part.served;
  sum.refusals += part.refusals;
  sum.arrivals_and_times.insert(sum.arrivals_and_times.end(),
                                part.arrivals_and_times.begin(),
                                part.arrivals_and_times.end());
}

Totals TotalsOf(const OverloadScenario& scenario,
                const OverloadResult& result) {
  Totals totals;
  for (std::size_t index = 0; index < result.demands.size(); ++index) {
    const SimulatedDemand& demand = scenario.demands[index];
    AddTo(demand.priority == 0 ? totals.urgent : totals.other,
          result.demands[index]);
    AddTo(totals.workspaces[demand.workspace], result.demands[index]);
  }
  totals.mean_ratio =
      static_cast<double>(totals.urgent.served + totals.other.served) /
      static_cast<double>(totals.urgent.asked + totals.other.asked);
  return totals;
}

double LeastRatio(const Totals& totals) {
  double least = 1;
  for (const auto& [name, workspace] : totals.workspaces) {
    least = std::min(least, workspace.ServedRatio());
  }
  return least;
}

OverloadScenario Scenario(double load, double weight = 1) {
  OverloadScenario scenario;
  scenario.demands = OverloadDemands(load, weight, kBegin, kEnd);
  return scenario;
}

OverloadResult Run(const OverloadScenario& scenario,
                   OverloadPolicy policy = OverloadPolicy::kAdmission) {
  OverloadSimulation simulation(scenario, policy);
  return simulation.Run(kRunEnd);
}

void CheckSharesAndOrder(const Totals& totals) {
  CHECK_TRUE(LeastRatio(totals) >= totals.mean_ratio / 4);
  CHECK_TRUE(totals.urgent.ServedRatio() >=
             totals.other.ServedRatio() - kNoise);
}

}  // namespace

TEST_GROUP(Overload){};

TEST(Overload, WithoutOverloadCallsAreServedAsWithoutAdmission) {
  const OverloadScenario scenario = Scenario(0.6);
  const OverloadResult now = Run(scenario);
  const OverloadResult before = Run(scenario, OverloadPolicy::kSendAtOnce);
  const Totals totals = TotalsOf(scenario, now);
  const Totals earlier = TotalsOf(scenario, before);
  LONGS_EQUAL(0, totals.urgent.refusals + totals.other.refusals);
  LONGS_EQUAL(before.attempts, now.attempts);
  LONGS_EQUAL(0, now.longest_queue);
  LONGS_EQUAL(earlier.urgent.Percentile(0.99).count(),
              totals.urgent.Percentile(0.99).count());
}

TEST(Overload, UrgentCallsAreServedSoonUnderTwiceTheLoad) {
  const OverloadScenario scenario = Scenario(2);
  const OverloadResult result = Run(scenario);
  const Totals totals = TotalsOf(scenario, result);
  CHECK_TRUE(totals.urgent.ServedRatio() > 0.98);
  CHECK_TRUE(totals.urgent.Percentile(0.99) < Milliseconds(800));
  CHECK_TRUE(totals.mean_ratio > 0.5);
  CHECK_TRUE(
      static_cast<double>(result.attempts) <
      1.2 * static_cast<double>(totals.urgent.served + totals.other.served));
  CheckSharesAndOrder(totals);
}

TEST(Overload, EveryWorkspaceIsServedUnderFiveTimesTheLoad) {
  const OverloadScenario scenario = Scenario(5);
  const Totals totals = TotalsOf(scenario, Run(scenario));
  CHECK_TRUE(totals.urgent.ServedRatio() > 0.6);
  CheckSharesAndOrder(totals);
}

TEST(Overload, AWorkspaceOfFiftyTimesTheOthersNeitherTakesAllNorGetsNothing) {
  const OverloadScenario scenario = Scenario(2, 50);
  const Totals totals = TotalsOf(scenario, Run(scenario));
  CheckSharesAndOrder(totals);
  const double large = totals.workspaces.at("w0").ServedRatio();
  CHECK_TRUE(large >= totals.mean_ratio / 4);
  for (const auto& [name, workspace] : totals.workspaces) {
    CHECK_TRUE(name == "w0" || workspace.ServedRatio() > large - kNoise);
  }
}

TEST(Overload, ABurstIsOverWithinTwoSeconds) {
  OverloadScenario scenario = Scenario(0.5);
  constexpr Milliseconds kBurstBegin{2'000};
  constexpr Milliseconds kBurstEnd{5'000};
  for (const SimulatedDemand& demand :
       OverloadDemands(2.5, 1, kBurstBegin, kBurstEnd)) {
    scenario.demands.push_back(demand);
  }
  const OverloadResult result = Run(scenario);
  const Totals totals = TotalsOf(scenario, result);
  CHECK_TRUE(totals.urgent.ServedRatio() > 0.95);
  for (const auto& [second, refusals] : result.refusals_by_second) {
    CHECK_TRUE(second < 7);
  }
  for (const DemandResult* part : {&totals.urgent, &totals.other}) {
    CHECK_TRUE(part->Percentile(0.99, Milliseconds(7'000), kEnd) <
               Milliseconds(200));
  }
}

TEST(Overload, UrgentCallsAreServedWhenHalfOfTheServersAreGone) {
  OverloadScenario scenario = Scenario(0.9);
  scenario.half_gone_at = Milliseconds(2'000);
  const Totals totals = TotalsOf(scenario, Run(scenario));
  CHECK_TRUE(totals.urgent.ServedRatio() > 0.97);
  CheckSharesAndOrder(totals);
}

TEST(Overload, AGatewayWithAllOfTheDemandUsesAllServers) {
  OverloadScenario scenario = Scenario(1.5);
  for (SimulatedDemand& demand : scenario.demands) {
    demand.gateway = 0;
  }
  const OverloadResult result = Run(scenario);
  const Totals totals = TotalsOf(scenario, result);
  CHECK_TRUE(totals.urgent.ServedRatio() > 0.98);
  // Slots beyond about two thirds hardly serve more, because full servers slow
  // down.
  for (std::int64_t second = 2; second < 8; ++second) {
    CHECK_TRUE(result.busy_by_second.at(second) > 0.65);
  }
  const Totals before =
      TotalsOf(scenario, Run(scenario, OverloadPolicy::kSendAtOnce));
  CHECK_TRUE(totals.mean_ratio > 0.95 * before.mean_ratio);
}

}  // namespace carobbank
