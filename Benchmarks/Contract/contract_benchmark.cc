// Benchmarks of the configuration fold and of recording counters, timings and
// events.

#include <benchmark/benchmark.h>

#include "LibContract/contract.h"
#include "LibTimeline/timeline.h"

namespace carobbank {

namespace {

std::string DocumentText(std::size_t service, std::size_t share) {
  return "name: s" + std::to_string(service) +
         "\nteam: t\nkind: model\npool: p\nmodel: m\nclass: training\nshare: " +
         std::to_string(share) +
         "\ncallers: [{name: c, token_sha256: " + std::string(64, 'a') + "}]\n";
}

std::string Payload(std::size_t service, std::int64_t base, std::size_t share) {
  const ConfigurationEntry entry =
      PublishEntry{"s" + std::to_string(service), base,
                   DocumentText(service, share), "ana", "x"};
  return WriteConfigurationRecord({&entry, 1});
}

// Applies one publish entry among state.range(0) services and builds the state
// that readers share.
void ApplyOnePublish(benchmark::State& state) {
  const auto services = static_cast<std::size_t>(state.range(0));
  ConfigurationFold fold;
  std::int64_t offset = 0;
  for (std::size_t service = 0; service < services; ++service) {
    fold.Apply(offset++, 0, Payload(service, kNoRevision, 1));
  }
  std::int64_t revision = 0;
  std::size_t share = 1;
  for (auto _ : state) {
    state.PauseTiming();
    const std::string payload = Payload(0, revision, 1 + ++share % 1'000'000);
    state.ResumeTiming();
    revision = offset;
    fold.Apply(offset++, 0, payload);
    benchmark::DoNotOptimize(fold.State());
  }
}
BENCHMARK(ApplyOnePublish)->Arg(10)->Arg(100)->Arg(1'000)->Iterations(2'000);

void AddToCounter(benchmark::State& state) {
  const SystemClock clock;
  MetricRegistry registry(clock);
  Counter& counter = registry.GetCounter(metrics::kRetries);
  for (auto _ : state) {
    counter.Add();
  }
}
BENCHMARK(AddToCounter);

void RecordTiming(benchmark::State& state) {
  const SystemClock clock;
  Timing timing(clock);
  std::int64_t duration_us = 0;
  for (auto _ : state) {
    timing.Record(std::chrono::microseconds(++duration_us % 9'973));
  }
}
BENCHMARK(RecordTiming);

void RecordEvent(benchmark::State& state) {
  const SystemClock clock;
  EventTimeline timeline(clock, {"entry-1", "mvd-a", 16'384});
  Event event;
  event.kind = EventKind::kSend;
  event.request = "0123456789abcdef0123456789abcdef";
  event.attempt = "fedcba9876543210fedcba9876543210";
  for (auto _ : state) {
    timeline.Record(event);
  }
}
BENCHMARK(RecordEvent);

}  // namespace

}  // namespace carobbank

BENCHMARK_MAIN();
