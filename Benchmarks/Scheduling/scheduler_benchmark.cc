// Cost of a push and a start with many work items queued for 100 services.

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "LibScheduling/scheduling.h"

namespace carobbank {

namespace {

constexpr std::uint32_t kServices = 100;

std::vector<ServicePolicy> Policies() {
  std::vector<ServicePolicy> policies(kServices);
  for (std::uint32_t index = 0; index < kServices; ++index) {
    policies[index].service = "service-" + std::to_string(index);
    policies[index].weight = 1.0 + index % 4;
    policies[index].priority_class =
        static_cast<PriorityClass>(index % kPriorityClassCount);
    policies[index].max_queued = UINT32_MAX;
  }
  return policies;
}

WorkItem RandomWork(const std::vector<ServicePolicy>& policies,
                    Random& random,
                    MonotonicTime now) {
  WorkItem work;
  work.service = policies[random.Below(kServices)].service;
  work.prompt_tokens = static_cast<std::uint32_t>(random.Below(500));
  work.expected_tokens = static_cast<std::uint32_t>(random.Below(500));
  work.received = now;
  work.deadline = now + Milliseconds(100'000 + random.Below(100'000));
  work.slack = Milliseconds(random.Below(60'000));
  return work;
}

// Each iteration pushes one work item, starts one and finishes it.
void PushAndStart(benchmark::State& state, QueueStrategy strategy) {
  const auto depth = static_cast<std::size_t>(state.range(0));
  const std::vector<ServicePolicy> policies = Policies();
  SchedulerOptions options;
  options.strategy = strategy;
  options.limits.max_running = 2;
  options.max_queued = depth + 1;
  Scheduler scheduler(options);
  Random random(1);
  MonotonicTime now = MonotonicTime() + std::chrono::hours(1);
  scheduler.Configure(policies, now);
  for (std::size_t work = 0; work < depth; ++work) {
    scheduler.Push(RandomWork(policies, random, now), now);
  }
  for (auto _ : state) {
    now += std::chrono::microseconds(1);
    const auto outcome = scheduler.Push(RandomWork(policies, random, now), now);
    benchmark::DoNotOptimize(outcome);
    const auto started = scheduler.Start(now);
    scheduler.Finish(*started, now);
  }
}

void FairShare(benchmark::State& state) {
  PushAndStart(state, QueueStrategy::kFairShare);
}

void Fifo(benchmark::State& state) {
  PushAndStart(state, QueueStrategy::kFifo);
}

BENCHMARK(FairShare)->Arg(1'000)->Arg(10'000)->Arg(100'000);
BENCHMARK(Fifo)->Arg(1'000)->Arg(10'000)->Arg(100'000);

}  // namespace

}  // namespace carobbank
