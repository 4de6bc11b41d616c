// Tests of the scheduler's limits, deadlines, shedding and preemption. They
// guard against work items that start beyond a limit or after their deadline,
// live work that waits behind other classes, and work items that are lost or
// leave the queue twice.

#include "LibScheduling/scheduler_harness.h"

#include <rapidcheck.h>

#include <set>

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

std::vector<ServicePolicy> OneOfEachClass() {
  return {Policy("live", PriorityClass::kLive),
          Policy("training", PriorityClass::kTraining),
          Policy("background", PriorityClass::kBackground)};
}

}  // namespace

TEST_GROUP(Scheduler){};

TEST(Scheduler, RefusedPushStatesItsReason) {
  SchedulerOptions options = SlotOptions(1);
  options.max_queued = 2;
  std::vector<ServicePolicy> policies = OneOfEachClass();
  policies[1].max_queued = 1;
  SchedulerHarness harness(options, policies);
  CHECK_TRUE(harness.Push("nobody").refusal == PushRefusal::kUnknownService);
  CHECK_TRUE(harness.Push("training").handle.has_value());
  CHECK_TRUE(harness.Push("training").refusal ==
             PushRefusal::kServiceQueueFull);
  CHECK_TRUE(harness.Push("background").handle.has_value());
  CHECK_FALSE(harness.Push("background").handle.has_value());
  harness.scheduler.Configure({}, harness.now);
  CHECK_TRUE(harness.Push("live").refusal == PushRefusal::kUnknownService);
}

TEST(Scheduler, OverloadShedsBackgroundThenTraining) {
  SchedulerOptions options = SlotOptions(1);
  options.max_queued = 2;
  SchedulerHarness harness(options, OneOfEachClass());
  const auto training = harness.Push("training").handle;
  const auto background = harness.Push("background").handle;
  CHECK_TRUE(harness.Push("live").shed == background);
  CHECK_TRUE(harness.Push("live").shed == training);
  CHECK_FALSE(harness.Push("live").handle.has_value());
}

TEST(Scheduler, LiveWorkIsQueuedBeyondTheLimitWhileTrainingRuns) {
  SchedulerOptions options = SlotOptions(1);
  options.max_queued = 1;
  SchedulerHarness harness(options, OneOfEachClass());
  harness.Push("training");
  harness.Step();
  CHECK_TRUE(harness.Push("live").handle.has_value());
  CHECK_TRUE(harness.Push("live").handle.has_value());
  CHECK_FALSE(harness.Push("live").handle.has_value());
}

TEST(Scheduler, HeadroomStaysFreeForLive) {
  SchedulerHarness harness(SlotOptions(4, 2), OneOfEachClass());
  for (int work = 0; work < 4; ++work) {
    harness.Push("training", 100);
    harness.Push("background", 100);
  }
  harness.Step();
  LONGS_EQUAL(2, harness.scheduler.Running());
  harness.Push("live", 100);
  harness.Push("live", 100);
  harness.Step();
  LONGS_EQUAL(4, harness.scheduler.Running());
}

TEST(Scheduler, ServiceLimitsHold) {
  struct Case {
    std::uint32_t max_running;
    double tokens_per_second;
    std::uint32_t expected_running;
  };
  for (const Case& row : {Case{2, 0.0, 2}, Case{0, 0.0, 6}, Case{0, 7.0, 2}}) {
    ServicePolicy policy = Policy("limited", PriorityClass::kTraining);
    policy.max_running = row.max_running;
    policy.tokens_per_second = row.tokens_per_second;
    SchedulerHarness harness(SlotOptions(8), {policy});
    for (int work = 0; work < 6; ++work) {
      harness.Push("limited", 100, 5);
    }
    harness.Step();
    LONGS_EQUAL(row.expected_running, harness.scheduler.Running());
  }
}

TEST(Scheduler, ARateLimitedServiceStartsAgainWhenItsDebtIsRepaid) {
  ServicePolicy policy = Policy("limited", PriorityClass::kTraining);
  policy.tokens_per_second = 100.0;
  SchedulerHarness harness(SlotOptions(8), {policy});
  harness.Push("limited", 1, 300);
  harness.Push("limited", 1, 300);
  harness.Step();
  CHECK_FALSE(harness.scheduler.Start(harness.now).has_value());
  const auto wake = harness.scheduler.NextWake();
  CHECK_TRUE(wake.has_value());
  CHECK_TRUE(*wake > harness.now + std::chrono::seconds(1));
  CHECK_TRUE(harness.scheduler.Start(*wake).has_value());
}

TEST(Scheduler, AnExpiredWorkItemNeverStarts) {
  SchedulerHarness harness(SlotOptions(1), OneOfEachClass());
  WorkItem work = harness.NewWork("training");
  work.deadline = harness.now + Milliseconds(50);
  const auto handle = harness.scheduler.Push(work, harness.now).handle;
  CHECK_TRUE(harness.scheduler.NextWake() == work.deadline);
  CHECK_FALSE(harness.scheduler.Start(work.deadline).has_value());
  const auto expired = harness.scheduler.TakeExpired(work.deadline);
  LONGS_EQUAL(1, expired.size());
  CHECK_TRUE(expired[0] == *handle);
  CHECK_FALSE(harness.scheduler.Remove(*handle, work.deadline));
}

TEST(Scheduler, MemoryLimitsConcurrentWork) {
  SchedulerOptions options = SlotOptions(8);
  options.limits.max_memory_tokens = 250;
  SchedulerHarness harness(options, OneOfEachClass());
  for (int work = 0; work < 4; ++work) {
    WorkItem sized = harness.NewWork("training", 50);
    sized.expected_tokens = 50;
    harness.scheduler.Push(sized, harness.now);
  }
  CHECK_TRUE(harness.scheduler.Start(harness.now).has_value());
  CHECK_TRUE(harness.scheduler.Start(harness.now).has_value());
  CHECK_FALSE(harness.scheduler.Start(harness.now).has_value());
}

TEST(Scheduler, PreemptionChoosesBackgroundThenTheLeastLoss) {
  SchedulerHarness harness(SlotOptions(3), OneOfEachClass());
  harness.Push("training", 500, 900);
  harness.Push("training", 500, 10);
  harness.Push("background", 500, 2'000);
  harness.Step();
  CHECK_FALSE(harness.scheduler.ChoosePreemption(harness.now).has_value());
  harness.Push("live");
  harness.Push("live");
  harness.Push("live");
  const auto first = harness.scheduler.ChoosePreemption(harness.now);
  CHECK_TRUE(first == harness.running[2].handle);
  const auto second = harness.scheduler.ChoosePreemption(harness.now);
  CHECK_TRUE(second == harness.running[1].handle);
  harness.scheduler.Finish(*first, harness.now);
  CHECK_TRUE(harness.scheduler.Start(harness.now).has_value());
}

TEST(Scheduler, OneWaitingLiveWorkItemPreemptsOnce) {
  SchedulerHarness harness(SlotOptions(2), OneOfEachClass());
  harness.Push("training", 500);
  harness.Push("training", 500);
  harness.Step();
  harness.Push("live");
  CHECK_TRUE(harness.scheduler.ChoosePreemption(harness.now).has_value());
  CHECK_FALSE(harness.scheduler.ChoosePreemption(harness.now).has_value());
}

TEST(Scheduler, FifoKeepsArrivalOrderRegardlessOfClass) {
  SchedulerOptions options = SlotOptions(1);
  options.strategy = QueueStrategy::kFifo;
  SchedulerHarness harness(options, OneOfEachClass());
  for (const char* service : {"background", "training", "live"}) {
    harness.Push(service, 1);
  }
  for (int step = 0; step < 3; ++step) {
    harness.Step();
  }
  const std::vector<std::string> expected = {"background", "training", "live"};
  CHECK_TRUE(harness.started_order == expected);
}

TEST(Scheduler, RetryAfterGrowsWithTheQueue) {
  SchedulerHarness harness(SlotOptions(1), OneOfEachClass());
  for (int work = 0; work < 20; ++work) {
    harness.Push("training", 10);
  }
  for (int step = 0; step < 50; ++step) {
    harness.Step();
  }
  const Milliseconds live = harness.scheduler.RetryAfter(PriorityClass::kLive);
  const Milliseconds training =
      harness.scheduler.RetryAfter(PriorityClass::kTraining);
  LONGS_EQUAL(100, live.count());
  LONGS_EQUAL(1'600, training.count());
}

namespace {

// The handles that the scheduler's results imply to be queued and running.
class ExpectedState {
 public:
  void RemoveQueued(WorkHandle handle) {
    const std::size_t erased = this->queued.erase(Key(handle));
    RC_ASSERT(erased == 1U);
  }

  void AddQueued(WorkHandle handle) {
    const bool inserted = this->queued.insert(Key(handle)).second;
    RC_ASSERT(inserted);
  }

  void Start(WorkHandle handle) {
    this->RemoveQueued(handle);
    this->running.push_back(handle);
  }

  void CheckMatches(const Scheduler& scheduler) const {
    RC_ASSERT(scheduler.Queued() == this->queued.size());
    RC_ASSERT(scheduler.Running() == this->running.size());
    RC_ASSERT(this->running.size() <= kSlots);
  }

  static constexpr std::uint32_t kSlots = 3;
  std::vector<WorkHandle> running;

 private:
  static std::uint64_t Key(WorkHandle handle) {
    return (std::uint64_t{handle.generation} << 32) | handle.slot;
  }

  std::set<std::uint64_t> queued;
};

void PushRandomWork(SchedulerHarness& harness,
                    ExpectedState& expected,
                    Random& random) {
  static constexpr const char* kServices[] = {"live", "training", "background"};
  WorkItem work = harness.NewWork(kServices[random.Below(3)]);
  work.deadline = harness.now + Milliseconds(random.Below(400));
  const auto outcome = harness.scheduler.Push(work, harness.now);
  if (outcome.shed) {
    expected.RemoveQueued(*outcome.shed);
  }
  if (outcome.handle) {
    expected.AddQueued(*outcome.handle);
  }
}

void PerformRandomAction(SchedulerHarness& harness,
                         ExpectedState& expected,
                         Random& random) {
  const std::uint64_t action = random.Below(5);
  if (action <= 1) {
    PushRandomWork(harness, expected, random);
  } else if (action == 2) {
    if (const auto started = harness.scheduler.Start(harness.now)) {
      expected.Start(*started);
    }
  } else if (action == 3 && !expected.running.empty()) {
    harness.scheduler.RecordGeneratedTokens(expected.running.back(), 3,
                                            harness.now);
    harness.scheduler.Finish(expected.running.back(), harness.now);
    expected.running.pop_back();
  } else if (action == 4) {
    harness.scheduler.ChoosePreemption(harness.now);
  }
}

}  // namespace

TEST(Scheduler, EveryWorkItemLeavesTheQueueExactlyOnce) {
  CHECK_TRUE(rc::check("no work item is lost or duplicated", [] {
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    SchedulerOptions options = SlotOptions(ExpectedState::kSlots, 1);
    options.max_queued = 12;
    options.strategy =
        random.Below(2) == 0 ? QueueStrategy::kFifo : QueueStrategy::kFairShare;
    SchedulerHarness harness(options, OneOfEachClass());
    ExpectedState expected;
    for (int step = 0; step < 300; ++step) {
      harness.now += Milliseconds(random.Below(20));
      for (const WorkHandle handle :
           harness.scheduler.TakeExpired(harness.now)) {
        expected.RemoveQueued(handle);
      }
      PerformRandomAction(harness, expected, random);
      expected.CheckMatches(harness.scheduler);
    }
  }));
}

}  // namespace carobbank
