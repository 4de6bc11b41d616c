// Guards against servers that are ordered too late, ended while they are
// needed, or ordered and ended in turn.

#include <rapidcheck.h>

#include <vector>

#include "LibScheduling/scheduling.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr Milliseconds kSecond{1'000};
constexpr Milliseconds kBoot{20'000};
constexpr Milliseconds kHold = kBoot + ScalePolicy::kDownMargin;

}  // namespace

TEST_GROUP(ScalePolicy) {
  ScalePolicy policy{{2, 20, kBoot}};
  MonotonicTime now = MonotonicTime(std::chrono::hours(1));

  // One update a second for `seconds`; the last result.
  std::int64_t Run(const ScaleObservation& observation, int seconds = 1) {
    std::int64_t servers = 0;
    for (int i = 0; i < seconds; ++i) {
      servers = this->policy.Update(observation, this->now);
      this->now += kSecond;
    }
    return servers;
  }

  static ScaleObservation Load(std::int64_t ready, std::int64_t running,
                               std::int64_t waiting = 0) {
    ScaleObservation observation;
    observation.ready = ready;
    observation.slots_per_server = 10;
    observation.running = running;
    observation.waiting = waiting;
    return observation;
  }
};

TEST(ScalePolicy, ANewHolderKeepsTheServersThatAreReady) {
  LONGS_EQUAL(8, this->Run(Load(8, 10)));
}

TEST(ScalePolicy, ServersAreOrderedAtOnceWhenWorkWaits) {
  LONGS_EQUAL(4, this->Run(Load(4, 30)));
  LONGS_EQUAL(9, this->Run(Load(4, 40, 32)));
}

TEST(ScalePolicy, ServersThatAreBootingAreNotOrderedAgain) {
  LONGS_EQUAL(9, this->Run(Load(4, 40, 32)));
  LONGS_EQUAL(9, this->Run(Load(4, 40, 32), 15));
}

TEST(ScalePolicy, TheLimitsHold) {
  LONGS_EQUAL(20, this->Run(Load(4, 40, 4'000)));
  LONGS_EQUAL(2, this->Run(Load(4, 0), 1'000));
  this->policy.SetLimits({3, 5, kBoot});
  LONGS_EQUAL(3, this->Run(Load(2, 0)));
}

TEST(ScalePolicy, TheNumberFallsOneByOneAfterALongerTimeThanABoot) {
  LONGS_EQUAL(10, this->Run(Load(4, 80)));
  const int hold = static_cast<int>(kHold / kSecond);
  LONGS_EQUAL(10, this->Run(Load(10, 16), hold));
  LONGS_EQUAL(9, this->Run(Load(10, 16)));
  LONGS_EQUAL(9, this->Run(Load(10, 16), 4));
  LONGS_EQUAL(8, this->Run(Load(9, 16)));
}

TEST(ScalePolicy, ShortPausesOfTheLoadKeepTheServers) {
  for (int round = 0; round < 20; ++round) {
    LONGS_EQUAL(10, this->Run(Load(10, 80), 5));
    LONGS_EQUAL(10, this->Run(Load(10, 0), 25));
  }
}

TEST(ScalePolicy, TheNextStepGetsItsServersBeforeItBegins) {
  ScaleObservation observation = Load(4, 10);
  observation.next_step = 64;
  observation.next_step_in = Milliseconds(60'000);
  LONGS_EQUAL(4, this->Run(observation));
  observation.next_step_in = kBoot;
  LONGS_EQUAL(7, this->Run(observation));
}

// An order of the holder before is being carried out.
TEST(ScalePolicy, ANewHolderCountsServersThatBecomeReadyAsOrdered) {
  LONGS_EQUAL(4, this->Run(Load(4, 10)));
  LONGS_EQUAL(9, this->Run(Load(9, 10)));
  CHECK_FALSE(this->policy.KnowsHoldTime(this->now));
  LONGS_EQUAL(9, this->Run(Load(9, 10), 28));
  this->Run(Load(9, 10), 2);
  CHECK_TRUE(this->policy.KnowsHoldTime(this->now));
}

// Whatever the load: within the limits, never below the need, and no step down
// within the hold time after a need for more servers.
TEST(ScalePolicy, NoServerIsEndedThatWasNeededWithinTheHoldTime) {
  CHECK_TRUE(rc::check([] {
    const std::int64_t min = *rc::gen::inRange(0, 5);
    const std::int64_t max = min + *rc::gen::inRange(0, 30);
    ScalePolicy policy({min, max, kBoot});
    MonotonicTime now = MonotonicTime(std::chrono::hours(1));
    std::vector<std::pair<MonotonicTime, std::int64_t>> needs;
    std::int64_t last = -1;
    std::int64_t load = 0;
    const int steps = *rc::gen::inRange(10, 200);
    for (int step = 0; step < steps; ++step) {
      now += Milliseconds(*rc::gen::inRange(100, 3'000));
      if (*rc::gen::inRange(0, 4) == 0) {
        load = *rc::gen::inRange(0, 300);
      }
      ScaleObservation observation;
      observation.ready = last < 0 ? *rc::gen::inRange(0, 30) : last;
      observation.slots_per_server = 10;
      observation.running = load / 2;
      observation.waiting = load - load / 2;
      const std::int64_t servers = policy.Update(observation, now);
      const std::int64_t need =
          std::min<std::int64_t>((load * 10 + 79) / 80, max);
      needs.emplace_back(now, need);
      RC_ASSERT(servers >= min && servers <= max && servers >= need);
      if (last >= 0 && servers < last) {
        RC_ASSERT(servers == last - 1);
        for (const auto& [at, needed] : needs) {
          RC_ASSERT(now - at > kHold || needed <= servers);
        }
      }
      last = servers;
    }
  }));
}

}  // namespace carobbank
