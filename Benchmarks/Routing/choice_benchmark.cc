// Benchmarks the choice of a backend server, with and without bookkeeping, the
// router's memory, and the choice of a watched subset, by the number of
// servers.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <memory>
#include <string>
#include <vector>

#include "LibMembership/membership.h"
#include "LibRouting/routing.h"

namespace carobbank {
namespace {

constexpr int kDataCenters = 9;
// Distinct prompts in the traffic.
constexpr std::uint64_t kPrefixes = 4096;
// Requests in flight from this entry, per server.
constexpr std::size_t kInFlightPerServer = 2;

std::unique_ptr<Router> MakeRouter(std::string_view strategy, int servers) {
  RouterOptions options;
  options.strategy = strategy;
  auto router =
      std::move(Capture([&] { return Router::Create(options); }).Value());
  const MonotonicTime now = MonotonicTime() + std::chrono::hours(1);
  Random random(1);
  for (int number = 0; number < servers; ++number) {
    const int data_center = number % kDataCenters;
    const ServerIndex server = router->Servers().Upsert(
        "server-" + std::to_string(number), "dc-" + std::to_string(data_center),
        1.0 * data_center);
    router->Servers().SetVersion(server, 7 + random.Below(2));
    ReportedLoad load;
    load.as_of = now;
    load.running = static_cast<std::uint32_t>(random.Below(8));
    load.max_batch = 16;
    router->Servers().SetLoad(server, load);
  }
  return router;
}

// One request: chooses a server, records the request as sent, and finishes the
// oldest request in flight.
void Choice(benchmark::State& state, std::string_view strategy) {
  const int servers = static_cast<int>(state.range(0));
  const auto router = MakeRouter(strategy, servers);
  Random random(2);
  MonotonicTime now = MonotonicTime() + std::chrono::hours(2);
  std::vector<ServerIndex> in_flight(kInFlightPerServer * servers, kNoServer);
  std::size_t oldest = 0;
  RouteRequest request;
  request.versions = {7, 8};
  for (auto step : state) {
    request.prefix_hash = 1 + random.Below(kPrefixes);
    now += std::chrono::microseconds(200);
    const RouteChoice choice = router->Choose(request, random);
    router->OnSent(choice.server, request, now);
    if (in_flight[oldest] != kNoServer) {
      router->OnFinished(in_flight[oldest], now);
    }
    in_flight[oldest] = choice.server;
    oldest = (oldest + 1) % in_flight.size();
  }
}

// The choice without bookkeeping.
void ChoiceOnly(benchmark::State& state, std::string_view strategy) {
  const auto router = MakeRouter(strategy, static_cast<int>(state.range(0)));
  Random random(2);
  RouteRequest request;
  request.versions = {7, 8};
  for (auto step : state) {
    request.prefix_hash = 1 + random.Below(kPrefixes);
    benchmark::DoNotOptimize(router->Choose(request, random));
  }
}

// Memory of a router per server, and of its prefix index per prefix.
void RouterMemory(benchmark::State& state) {
  const int servers = static_cast<int>(state.range(0));
  double per_server = 0;
  double per_prefix = 0;
  for (auto step : state) {
    const auto before = static_cast<double>(mallinfo2().uordblks);
    const auto router = MakeRouter("prefix_affinity", servers);
    const auto with_servers = static_cast<double>(mallinfo2().uordblks);
    for (std::uint64_t prefix = 1; prefix <= kPrefixes; ++prefix) {
      router->Prefixes().OnSent(0, prefix);
    }
    const auto with_prefixes = static_cast<double>(mallinfo2().uordblks);
    per_server = (with_servers - before) / servers;
    per_prefix =
        (with_prefixes - with_servers) / static_cast<double>(kPrefixes);
  }
  state.counters["bytes_per_server"] = per_server;
  state.counters["bytes_per_prefix"] = per_prefix;
}

// Recomputes one entry's watched subset, at 330 entries per 6000 servers.
void WatchedSubset(benchmark::State& state) {
  std::vector<std::string> ids;
  std::vector<std::string> data_centers;
  const auto servers = static_cast<std::size_t>(state.range(0));
  const std::size_t entries = servers * 330 / 6000 + 1;
  for (std::size_t number = 0; number < servers + entries; ++number) {
    ids.push_back("instance-" + std::to_string(number));
    data_centers.push_back("dc-" + std::to_string(number % kDataCenters));
  }
  std::vector<InstanceLocation> instances;
  for (std::size_t number = 0; number < ids.size(); ++number) {
    instances.push_back({ids[number], data_centers[number]});
  }
  const std::span<const InstanceLocation> all = instances;
  for (auto step : state) {
    benchmark::DoNotOptimize(
        ChooseWatched({}, ids[0], all.first(entries), all.subspan(entries)));
  }
}

void Sizes(benchmark::internal::Benchmark* benchmark) {
  benchmark->Arg(60)->Arg(600)->Arg(6000);
}

BENCHMARK_CAPTURE(ChoiceOnly, two_choices, "two_choices")->Apply(Sizes);
BENCHMARK_CAPTURE(ChoiceOnly, prefix_affinity, "prefix_affinity")->Apply(Sizes);
BENCHMARK_CAPTURE(Choice, random, "random")->Apply(Sizes);
BENCHMARK_CAPTURE(Choice, round_robin, "round_robin")->Apply(Sizes);
BENCHMARK_CAPTURE(Choice, least_connections, "least_connections")->Apply(Sizes);
BENCHMARK_CAPTURE(Choice, two_choices, "two_choices")->Apply(Sizes);
BENCHMARK_CAPTURE(Choice, prefix_affinity, "prefix_affinity")->Apply(Sizes);
BENCHMARK(RouterMemory)->Apply(Sizes)->Unit(benchmark::kMillisecond);
BENCHMARK(WatchedSubset)->Apply(Sizes)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace carobbank

BENCHMARK_MAIN();
