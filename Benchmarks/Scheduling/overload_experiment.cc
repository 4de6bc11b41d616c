// Compares what callers get under overload, by simulation: every call sent at
// once, one queue in order of arrival, and admission by priority and fair
// share. Prints one line for each scenario and policy.
//
//   Build/release/bin/overload-experiment

#include <cstdio>
#include <string>
#include <vector>

#include "Support/overload_simulation.h"

namespace carobbank {
namespace {

struct Scenario {
  std::string name;
  OverloadScenario scenario;
};

constexpr Milliseconds kEnd{10'000};
constexpr Milliseconds kRunEnd{13'000};

std::vector<Scenario> Scenarios() {
  std::vector<Scenario> all(7);
  const Milliseconds zero(0);
  all[0] = {"0.6 x", {OverloadDemands(0.6, 1, zero, kEnd)}};
  all[1] = {"2 x", {OverloadDemands(2, 1, zero, kEnd)}};
  all[2] = {"5 x", {OverloadDemands(5, 1, zero, kEnd)}};
  all[3] = {"2 x, one workspace 50 times",
            {OverloadDemands(2, 50, zero, kEnd)}};
  all[4] = {"0.5 x, burst of 3 s to 3 x",
            {OverloadDemands(0.5, 1, zero, kEnd)}};
  for (const SimulatedDemand& demand :
       OverloadDemands(2.5, 1, Milliseconds(3'000), Milliseconds(6'000))) {
    all[4].scenario.demands.push_back(demand);
  }
  all[5] = {"0.9 x, half of the servers gone",
            {OverloadDemands(0.9, 1, zero, kEnd)}};
  all[5].scenario.half_gone_at = Milliseconds(3'000);
  all[6] = {"1.5 x, all at one gateway", {OverloadDemands(1.5, 1, zero, kEnd)}};
  for (SimulatedDemand& demand : all[6].scenario.demands) {
    demand.gateway = 0;
  }
  return all;
}

void Print(const Scenario& scenario,
           std::string_view policy,
           const OverloadResult& result) {
  DemandResult urgent;
  DemandResult other;
  std::map<std::string, DemandResult> workspaces;
  for (std::size_t index = 0; index < result.demands.size(); ++index) {
    const SimulatedDemand& demand = scenario.scenario.demands[index];
    const DemandResult& got = result.demands[index];
    for (DemandResult* sum : {demand.priority == 0 ? &urgent : &other,
                              &workspaces[demand.workspace]}) {
      sum->asked += got.asked;
      sum->served += got.served;
      sum->refusals += got.refusals;
      sum->arrivals_and_times.insert(sum->arrivals_and_times.end(),
                                     got.arrivals_and_times.begin(),
                                     got.arrivals_and_times.end());
    }
  }
  double least = 1;
  for (const auto& [name, workspace] : workspaces) {
    least = std::min(least, workspace.ServedRatio());
  }
  const double all = static_cast<double>(urgent.served + other.served) /
                     static_cast<double>(urgent.asked + other.asked);
  std::printf(
      "| %s | %s | %.3f | %.3f | %.3f | %.2f | %lld | %lld | %lld | %.2f | "
      "%.2f |\n",
      scenario.name.c_str(), std::string(policy).c_str(), all,
      urgent.ServedRatio(), other.ServedRatio(), least / all,
      static_cast<long long>(urgent.Percentile(0.5).count()),
      static_cast<long long>(urgent.Percentile(0.99).count()),
      static_cast<long long>(other.Percentile(0.5).count()),
      result.busy_by_second.at(8),
      static_cast<double>(result.attempts) /
          static_cast<double>(urgent.served + other.served));
  std::fflush(stdout);
}

}  // namespace
}  // namespace carobbank

int main() {
  using carobbank::OverloadPolicy;
  std::printf(
      "| load | policy | served | urgent | other | least workspace / mean | "
      "urgent p50 ms | urgent p99 ms | other p50 ms | busy slots | attempts "
      "per served |\n");
  for (const auto& scenario : carobbank::Scenarios()) {
    for (const auto& [policy, name] :
         {std::pair(OverloadPolicy::kSendAtOnce, "at once"),
          std::pair(OverloadPolicy::kArrivalOrder, "arrival order"),
          std::pair(OverloadPolicy::kAdmission, "admission")}) {
      carobbank::OverloadSimulation simulation(scenario.scenario, policy);
      carobbank::Print(scenario, name, simulation.Run(carobbank::kRunEnd));
    }
  }
  return 0;
}
