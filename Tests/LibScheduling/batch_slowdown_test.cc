// Tests of the batch slowdown estimate. They guard against batches that slow
// live work by more than the configured factor, and against a limit that is
// derived from too few, too similar or contradictory reports.

#include "LibScheduling/scheduler_harness.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

// Reports of an engine that needs 1,000 us per token and 50 us more for each
// work item in the batch.
BatchSlowdown FittedSlowdown() {
  BatchSlowdown slowdown;
  for (std::uint32_t running = 1; running <= 16; ++running) {
    slowdown.Observe(running, 1'000.0 + 50.0 * running);
  }
  return slowdown;
}

}  // namespace

TEST_GROUP(BatchSlowdown){};

TEST(BatchSlowdown, LargestBatchKeepsTheSlowdownFactor) {
  struct Case {
    std::uint32_t live;
    double factor;
    std::uint32_t batch;
  };
  for (const Case& row : {Case{2, 1.205, 6}, Case{0, 1.0, 1}, Case{4, 1.01, 4},
                          Case{8, 2.005, 36}}) {
    LONGS_EQUAL(row.batch, FittedSlowdown().LargestBatch(row.live, row.factor));
  }
}

TEST(BatchSlowdown, NoLimitWithoutAUsableFit) {
  BatchSlowdown none;
  BatchSlowdown same_batch;
  BatchSlowdown falling;
  for (std::uint32_t report = 1; report <= 20; ++report) {
    same_batch.Observe(8, 1'400.0);
    falling.Observe(report, 2'000.0 - report);
    none.Observe(0, 1'000.0);
  }
  for (const BatchSlowdown& slowdown : {none, same_batch, falling}) {
    LONGS_EQUAL(UINT32_MAX, slowdown.LargestBatch(1, 1.2));
  }
}

TEST(BatchSlowdown, OtherClassesStartOnlyWithinTheMixedBatchLimit) {
  SchedulerOptions options = SlotOptions(8);
  options.limits.mixed_batch_limit = 3;
  SchedulerHarness harness(options,
                           {Policy("live", PriorityClass::kLive),
                            Policy("training", PriorityClass::kTraining)});
  for (int work = 0; work < 6; ++work) {
    harness.Push("training", 100);
  }
  harness.Step();
  LONGS_EQUAL(3, harness.scheduler.Running());
  for (int work = 0; work < 4; ++work) {
    harness.Push("live", 100);
  }
  harness.Step();
  LONGS_EQUAL(7, harness.scheduler.Running());
}

}  // namespace carobbank
