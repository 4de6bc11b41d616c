// Test harness: a simulated backend server of fixed speed behind a Scheduler.
// Each step generates one token for every running work item.

#pragma once

#include <map>
#include <string>
#include <vector>

#include "LibScheduling/scheduling.h"

namespace carobbank {

inline constexpr Milliseconds kStep{10};

inline ServicePolicy Policy(std::string service,
                            PriorityClass priority_class,
                            double weight = 1.0) {
  ServicePolicy policy;
  policy.service = std::move(service);
  policy.priority_class = priority_class;
  policy.weight = weight;
  policy.max_queued = 1'000'000;
  return policy;
}

inline SchedulerOptions SlotOptions(std::uint32_t slots,
                                    std::uint32_t live_headroom = 0) {
  SchedulerOptions options;
  options.limits.max_running = slots;
  options.limits.live_headroom = live_headroom;
  return options;
}

class SchedulerHarness {
 public:
  SchedulerHarness(const SchedulerOptions& options,
                   std::vector<ServicePolicy> policies)
      : scheduler(options) {
    this->scheduler.Configure(policies, this->now);
  }

  PushOutcome Push(std::string_view service,
                   std::uint32_t length = 10,
                   std::uint32_t prompt_tokens = 5) {
    WorkItem work = this->NewWork(service, prompt_tokens);
    const PushOutcome outcome = this->scheduler.Push(work, this->now);
    if (outcome.handle) {
      this->queued[outcome.handle->slot] = {std::string(service), length,
                                            prompt_tokens, WorkHandle()};
    }
    return outcome;
  }

  WorkItem NewWork(std::string_view service, std::uint32_t prompt_tokens = 5) {
    WorkItem work;
    work.service = service;
    work.prompt_tokens = prompt_tokens;
    work.received = this->now;
    return work;
  }

  // Starts all work items that may start, then generates one token for each
  // running one.
  void Step() {
    while (const auto handle = this->scheduler.Start(this->now)) {
      Running started = this->queued[handle->slot];
      started.handle = *handle;
      this->cost[started.service] += started.prompt_tokens * kPromptTokenCost;
      this->running.push_back(started);
      this->started_order.push_back(started.service);
    }
    this->now += kStep;
    for (Running& work : this->running) {
      this->scheduler.RecordGeneratedTokens(work.handle, 1, this->now);
      this->cost[work.service] += kGeneratedTokenCost;
      --work.remaining;
      if (work.remaining == 0) {
        this->scheduler.Finish(work.handle, this->now);
      }
    }
    std::erase_if(this->running,
                  [](const Running& work) { return work.remaining == 0; });
  }

  struct Running {
    std::string service;
    std::uint32_t remaining = 0;
    std::uint32_t prompt_tokens = 0;
    WorkHandle handle;
  };

  MonotonicTime now = MonotonicTime() + std::chrono::hours(1);
  Scheduler scheduler;
  std::map<std::uint32_t, Running> queued;
  std::vector<Running> running;
  std::vector<std::string> started_order;
  // Cost served, by service.
  std::map<std::string, double> cost;
};

}  // namespace carobbank
