// Compares ways to place samples on servers of unequal pace, by simulation: the
// step times of trainers, relative to an oracle's. Prints the table of
// docs/design/placement.md.
//
//   Build/release/bin/placement-experiment

#include <array>
#include <cstdio>

#include "placement_simulation.h"

namespace carobbank {
namespace {

struct Case {
  const char* name;
  PlacementSetup setup;
};

struct PolicyName {
  PlacementPolicy policy;
  const char* name;
};

constexpr std::array kPolicies = {
    PolicyName{PlacementPolicy::kLeastRequests, "least requests"},
    PolicyName{PlacementPolicy::kLeastWork, "least work"},
    PolicyName{PlacementPolicy::kExpectedEnd, "expected end"},
    PolicyName{PlacementPolicy::kOracle, "oracle"},
};

std::vector<Case> Cases() {
  const PlacementSetup usual;
  std::vector<Case> cases = {{"43 servers, half full", usual}};
  cases.push_back({"one owner", usual});
  cases.back().setup.owners = 1;
  cases.push_back({"four owners, two thirds full", usual});
  cases.back().setup.owners = 4;
  cases.push_back({"hints exact", usual});
  cases.back().setup.hint_error = 0;
  cases.push_back({"hints off by 2.7", usual});
  cases.back().setup.hint_error = 1;
  cases.push_back({"no slowdowns", usual});
  cases.back().setup.episode_interval_ms = 0;
  cases.push_back({"paces 1 to 4", usual});
  cases.back().setup.paces = {0.5, 1.0, 2.0, 0.7, 1.4};
  cases.push_back({"equal paces", usual});
  cases.back().setup.paces = {1.0};
  cases.push_back({"6 servers, one owner", usual});
  cases.back().setup.servers = 6;
  cases.back().setup.owners = 1;
  cases.back().setup.samples = 64;
  cases.push_back({"2 servers, one owner", usual});
  cases.back().setup.servers = 2;
  cases.back().setup.owners = 1;
  cases.back().setup.samples = 24;
  cases.push_back({"1 server, one owner", usual});
  cases.back().setup.servers = 1;
  cases.back().setup.owners = 1;
  cases.back().setup.samples = 8;
  return cases;
}

// Of several seeds; small fleets have few samples.
struct Steps {
  std::vector<double> times;
  std::size_t moves = 0;
};

Steps Run(PlacementSetup setup, PlacementPolicy policy) {
  Steps steps;
  constexpr std::uint64_t kSeeds = 4;
  for (setup.seed = 1; setup.seed <= kSeeds; ++setup.seed) {
    PlacementSimulation simulation(setup, policy);
    const std::vector<double> times = simulation.Run();
    steps.times.insert(steps.times.end(), times.begin(), times.end());
    steps.moves += simulation.Moves();
  }
  std::sort(steps.times.begin(), steps.times.end());
  return steps;
}

void Compare(const Case& compared) {
  const Steps oracle = Run(compared.setup, PlacementPolicy::kOracle);
  for (const PolicyName& row : kPolicies) {
    const Steps steps = Run(compared.setup, row.policy);
    const double median = PlacementSimulation::At(steps.times, 0.5);
    const double late = PlacementSimulation::At(steps.times, 0.9);
    std::printf("| %s | %s | %.0f | %.0f | %.2f | %.2f | %zu |\n",
                compared.name, row.name, median, late,
                median / PlacementSimulation::At(oracle.times, 0.5),
                late / PlacementSimulation::At(oracle.times, 0.9), steps.moves);
  }
}

}  // namespace
}  // namespace carobbank

int main() {
  std::printf(
      "| case | placement | median ms | last tenth ms | median to oracle | "
      "last tenth to oracle | moves |\n|---|---|---|---|---|---|---|\n");
  for (const carobbank::Case& compared : carobbank::Cases()) {
    carobbank::Compare(compared);
  }
  return 0;
}
