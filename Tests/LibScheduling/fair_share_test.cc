// Tests of the fair share discipline. They guard against services that get more
// or less than their weight under uneven arrivals, that accrue credit while
// idle, or whose unused share stays unused.

#include "LibScheduling/scheduler_harness.h"

#include <rapidcheck.h>

#include <cmath>

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr double kTolerance = 0.05;

double ShareOf(const SchedulerHarness& harness, const std::string& service) {
  double total = 0.0;
  for (const auto& [name, cost] : harness.cost) {
    total += cost;
  }
  return harness.cost.at(service) / total;
}

// Keeps at least `depth` work items of the service queued.
void KeepBacklog(SchedulerHarness& harness,
                 Random& random,
                 const std::string& service,
                 std::uint32_t depth,
                 std::uint32_t longest) {
  std::uint32_t queued = 0;
  for (const ServiceReport& report : harness.scheduler.Report()) {
    queued = report.service == service ? report.queued : queued;
  }
  for (; queued < depth; ++queued) {
    const auto length = static_cast<std::uint32_t>(1 + random.Below(longest));
    const auto prompt = static_cast<std::uint32_t>(random.Below(200));
    harness.Push(service, length, prompt);
  }
}

}  // namespace

TEST_GROUP(FairShare){};

TEST(FairShare, BackloggedServicesAreServedByWeight) {
  CHECK_TRUE(rc::check("shares 1:2:4 within 5%", [] {
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    const auto slots = *rc::gen::inRange<std::uint32_t>(4, 32);
    SchedulerHarness harness(SlotOptions(slots),
                             {Policy("a", PriorityClass::kTraining, 1.0),
                              Policy("b", PriorityClass::kTraining, 2.0),
                              Policy("c", PriorityClass::kTraining, 4.0)});
    // Each service has its own lengths and bursts.
    const auto longest_a = *rc::gen::inRange<std::uint32_t>(1, 100);
    const auto longest_b = *rc::gen::inRange<std::uint32_t>(1, 100);
    const auto longest_c = *rc::gen::inRange<std::uint32_t>(1, 100);
    for (int step = 0; step < 6'000; ++step) {
      const auto depth = static_cast<std::uint32_t>(4 + random.Below(30));
      KeepBacklog(harness, random, "a", depth, longest_a);
      KeepBacklog(harness, random, "b", 2 + depth / 2, longest_b);
      KeepBacklog(harness, random, "c", slots + 4, longest_c);
      harness.Step();
    }
    RC_ASSERT(std::abs(ShareOf(harness, "a") * 7 - 1) < kTolerance);
    RC_ASSERT(std::abs(ShareOf(harness, "b") * 7 / 2 - 1) < kTolerance);
    RC_ASSERT(std::abs(ShareOf(harness, "c") * 7 / 4 - 1) < kTolerance);
  }));
}

TEST(FairShare, AReturningServiceGetsExactlyItsShare) {
  Random random(7);
  SchedulerHarness harness(SlotOptions(8),
                           {Policy("steady", PriorityClass::kTraining),
                            Policy("returning", PriorityClass::kTraining)});
  KeepBacklog(harness, random, "returning", 8, 20);
  for (int step = 0; step < 2'000; ++step) {
    KeepBacklog(harness, random, "steady", 16, 20);
    harness.Step();
  }
  harness.cost = {{"steady", 0.0}, {"returning", 0.0}};
  for (int step = 0; step < 2'000; ++step) {
    KeepBacklog(harness, random, "steady", 16, 20);
    KeepBacklog(harness, random, "returning", 16, 20);
    harness.Step();
  }
  DOUBLES_EQUAL(0.5, ShareOf(harness, "returning"), 0.5 * kTolerance);
}

TEST(FairShare, AnUnusedShareGoesToOtherServices) {
  SchedulerHarness harness(SlotOptions(4),
                           {Policy("small", PriorityClass::kTraining, 1.0),
                            Policy("absent", PriorityClass::kTraining, 99.0)});
  for (int work = 0; work < 4; ++work) {
    harness.Push("small");
  }
  harness.Step();
  LONGS_EQUAL(4, harness.scheduler.Running());
}

TEST(FairShare, AHigherClassStartsFirst) {
  SchedulerHarness harness(SlotOptions(1),
                           {Policy("background", PriorityClass::kBackground),
                            Policy("training", PriorityClass::kTraining),
                            Policy("live", PriorityClass::kLive)});
  for (const char* service : {"background", "training", "live"}) {
    harness.Push(service, 1);
    harness.Push(service, 1);
  }
  for (int step = 0; step < 6; ++step) {
    harness.Step();
  }
  const std::vector<std::string> expected = {
      "live", "live", "training", "training", "background", "background"};
  CHECK_TRUE(harness.started_order == expected);
}

TEST(FairShare, LeastSlackStartsFirstAndTheLongestBreaksTies) {
  SchedulerHarness harness(SlotOptions(1),
                           {Policy("steps", PriorityClass::kTraining)});
  struct Case {
    std::int64_t slack_ms;
    std::uint32_t expected_tokens;
  };
  const std::vector<Case> cases = {{500, 10}, {100, 10}, {100, 90}, {-50, 1}};
  std::vector<WorkHandle> handles;
  for (const Case& row : cases) {
    WorkItem work = harness.NewWork("steps");
    work.slack = Milliseconds(row.slack_ms);
    work.expected_tokens = row.expected_tokens;
    handles.push_back(*harness.scheduler.Push(work, harness.now).handle);
  }
  for (const std::size_t expected : {3, 2, 1, 0}) {
    const auto started = harness.scheduler.Start(harness.now);
    CHECK_TRUE(started == handles[expected]);
    harness.scheduler.Finish(*started, harness.now);
  }
}

}  // namespace carobbank
