// Guards against calls that wait although their service has capacity, that wait
// in the wrong order or for nothing, and against a queue without bounds.

#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "LibScheduling/scheduling.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};
constexpr Milliseconds kObjective{150};

struct QueueFixture {
  AdmissionCall Call(std::string_view workspace, std::int64_t priority = 0) {
    AdmissionCall call;
    call.route = "plain";
    call.workspace = workspace;
    call.priority = {priority, 0};
    call.bytes = 100;
    call.deadline = this->now + Milliseconds(60'000);
    call.arrived = this->now;
    return call;
  }
  AdmissionDecision Ask(const AdmissionCall& call) {
    return this->queue.Ask(call, this->now);
  }
  // One slot, three calls in flight.
  void FillWindow() {
    this->queue.SetSlots(1);
    for (int index = 0; index < 3; ++index) {
      CHECK_TRUE(this->Ask(this->Call("first")).verdict ==
                 AdmissionVerdict::kSend);
    }
  }
  AdmissionId Wait(const AdmissionCall& call) {
    const AdmissionDecision decision = this->Ask(call);
    CHECK_TRUE(decision.verdict == AdmissionVerdict::kWait);
    return decision.id;
  }
  // Ends one call and takes the next.
  AdmissionId TakeNext() {
    this->queue.End("plain", Milliseconds(25));
    const auto id = this->queue.TakeNext(this->now);
    CHECK_TRUE(id.has_value());
    return id.value_or(0);
  }

  MonotonicTime now = kStart;
  AdmissionBudget budget;
  AdmissionQueue queue{budget};
};

}  // namespace

TEST_GROUP(AdmissionQueue) {
  QueueFixture fixture;
};

TEST(AdmissionQueue, CallsAreSentAtOnceUpToThreePerSlot) {
  this->fixture.queue.SetSlots(78);
  for (int index = 0; index < 3 * 78; ++index) {
    CHECK_TRUE(this->fixture.Ask(this->fixture.Call("w")).verdict ==
               AdmissionVerdict::kSend);
  }
  CHECK_TRUE(this->fixture.Ask(this->fixture.Call("w")).verdict ==
             AdmissionVerdict::kWait);
}

TEST(AdmissionQueue, WithoutServersCallsDoNotWait) {
  this->fixture.queue.SetSlots(0);
  for (int index = 0; index < 10; ++index) {
    CHECK_TRUE(this->fixture.Ask(this->fixture.Call("w")).verdict ==
               AdmissionVerdict::kSend);
  }
}

TEST(AdmissionQueue, UrgentCallsGoFirst) {
  this->fixture.FillWindow();
  const AdmissionId later = this->fixture.Wait(this->fixture.Call("w", 1));
  const AdmissionId urgent = this->fixture.Wait(this->fixture.Call("w", 0));
  CHECK_TRUE(this->fixture.TakeNext() == urgent);
  CHECK_TRUE(this->fixture.TakeNext() == later);
}

TEST(AdmissionQueue, TheWorkspacesPriorityGoesBeforeThatOfTheRoute) {
  this->fixture.FillWindow();
  AdmissionCall other = this->fixture.Call("w");
  other.priority = {1, 0};
  AdmissionCall urgent = this->fixture.Call("v");
  urgent.priority = {0, 5};
  const AdmissionId first = this->fixture.Wait(other);
  const AdmissionId second = this->fixture.Wait(urgent);
  CHECK_TRUE(this->fixture.TakeNext() == second);
  CHECK_TRUE(this->fixture.TakeNext() == first);
}

TEST(AdmissionQueue, CallsOfOneWorkspaceGoInOrderOfArrival) {
  this->fixture.FillWindow();
  std::vector<AdmissionId> ids;
  for (int index = 0; index < 10; ++index) {
    this->fixture.now += Milliseconds(1);
    ids.push_back(this->fixture.Wait(this->fixture.Call("w")));
  }
  for (const AdmissionId id : ids) {
    CHECK_TRUE(this->fixture.TakeNext() == id);
  }
}

TEST(AdmissionQueue, ACallThatCameBackGoesBeforeLaterOnes) {
  this->fixture.FillWindow();
  const MonotonicTime first_arrival = this->fixture.now;
  this->fixture.now += Milliseconds(100);
  const AdmissionId later = this->fixture.Wait(this->fixture.Call("w"));
  AdmissionCall returned = this->fixture.Call("w");
  returned.arrived = first_arrival;
  const AdmissionId id = this->fixture.Wait(returned);
  CHECK_TRUE(this->fixture.TakeNext() == id);
  CHECK_TRUE(this->fixture.TakeNext() == later);
}

TEST(AdmissionQueue, ALongQueueOfOneWorkspaceDoesNotDelayAnother) {
  this->fixture.FillWindow();
  for (int index = 0; index < 100; ++index) {
    this->fixture.Wait(this->fixture.Call("large"));
  }
  const AdmissionId small = this->fixture.Wait(this->fixture.Call("small"));
  const bool soon =
      this->fixture.TakeNext() == small || this->fixture.TakeNext() == small;
  CHECK_TRUE(soon);
}

TEST(AdmissionQueue, NoWorkspaceIsPassedOverForEver) {
  this->fixture.FillWindow();
  const AdmissionId waiting = this->fixture.Wait(this->fixture.Call("last"));
  constexpr int kOthers = 20;
  int taken = 0;
  bool reached = false;
  while (!reached && taken < 10 * kOthers) {
    for (int index = 0; index < kOthers; ++index) {
      this->fixture.Wait(this->fixture.Call("w" + std::to_string(index)));
    }
    reached = this->fixture.TakeNext() == waiting;
    ++taken;
  }
  CHECK_TRUE(reached);
}

TEST(AdmissionQueue, ACallThatCannotEndInTimeIsRefusedAtOnce) {
  this->fixture.FillWindow();
  for (int index = 0; index < 12; ++index) {
    this->fixture.Wait(this->fixture.Call("w"));
  }
  AdmissionCall hasty = this->fixture.Call("w");
  // 13 calls of 25 ms, three at a time, and its own 25 ms.
  hasty.deadline = this->fixture.now + Milliseconds(120);
  const AdmissionDecision refused = this->fixture.Ask(hasty);
  CHECK_TRUE(refused.verdict == AdmissionVerdict::kTooLate);
  LONGS_EQUAL(109, refused.wait.count());
  hasty.deadline = this->fixture.now + Milliseconds(140);
  CHECK_TRUE(this->fixture.Ask(hasty).verdict == AdmissionVerdict::kWait);
}

TEST(AdmissionQueue, AWaitingCallIsReturnedWhenItCannotEndInTimeAnyMore) {
  this->fixture.FillWindow();
  AdmissionCall call = this->fixture.Call("w");
  call.deadline = this->fixture.now + Milliseconds(100);
  const AdmissionId id = this->fixture.Wait(call);
  CHECK_TRUE(this->fixture.queue.NextExpiry() ==
             this->fixture.now + Milliseconds(75));
  CHECK_TRUE(this->fixture.queue.TakeExpired(this->fixture.now).empty());
  this->fixture.now += Milliseconds(75);
  const auto expired = this->fixture.queue.TakeExpired(this->fixture.now);
  LONGS_EQUAL(1, expired.size());
  CHECK_TRUE(expired[0] == id);
  LONGS_EQUAL(0, this->fixture.queue.Queued());
  LONGS_EQUAL(0, this->fixture.budget.bytes);
}

TEST(AdmissionQueue, AFullQueueShedsLessUrgentCallsOnly) {
  this->fixture.budget.max_calls = 2;
  this->fixture.FillWindow();
  this->fixture.Wait(this->fixture.Call("w", 1));
  const AdmissionId other = this->fixture.Wait(this->fixture.Call("w", 2));
  CHECK_TRUE(this->fixture.Ask(this->fixture.Call("w", 3)).verdict ==
             AdmissionVerdict::kQueueFull);
  const AdmissionDecision urgent =
      this->fixture.Ask(this->fixture.Call("w", 0));
  CHECK_TRUE(urgent.verdict == AdmissionVerdict::kWait);
  CHECK_TRUE(urgent.shed == other);
  LONGS_EQUAL(2, this->fixture.budget.calls);
}

TEST(AdmissionQueue, AFullQueueShedsTheLongestWorkspaceOfItsPriority) {
  this->fixture.budget.max_calls = 10;
  this->fixture.FillWindow();
  for (int index = 0; index < 10; ++index) {
    this->fixture.Wait(this->fixture.Call("large"));
  }
  CHECK_TRUE(this->fixture.Ask(this->fixture.Call("large")).verdict ==
             AdmissionVerdict::kQueueFull);
  const AdmissionDecision small =
      this->fixture.Ask(this->fixture.Call("small"));
  CHECK_TRUE(small.verdict == AdmissionVerdict::kWait);
  CHECK_TRUE(small.shed.has_value());
}

TEST(AdmissionQueue, TheBytesOfWaitingCallsAreBounded) {
  this->fixture.budget.max_bytes = 1'000;
  this->fixture.FillWindow();
  AdmissionCall large = this->fixture.Call("w");
  large.bytes = 900;
  const AdmissionId id = this->fixture.Wait(large);
  CHECK_TRUE(this->fixture.Ask(large).verdict == AdmissionVerdict::kQueueFull);
  CHECK_TRUE(this->fixture.queue.Remove(id, this->fixture.now));
  LONGS_EQUAL(0, this->fixture.budget.bytes);
  this->fixture.Wait(large);
}

TEST(AdmissionQueue, ManyWorkspacesAreForgottenOnceNothingWaits) {
  this->fixture.queue.SetSlots(1);
  for (int index = 0; index < 5'000; ++index) {
    CHECK_TRUE(
        this->fixture.Ask(this->fixture.Call("w" + std::to_string(index)))
            .verdict == AdmissionVerdict::kSend);
    this->fixture.queue.End("plain", Milliseconds(25));
  }
  this->fixture.FillWindow();
  this->fixture.Wait(this->fixture.Call("w1"));
}

TEST(AdmissionQueue, AnyOrderOfEventsKeepsTheCounts) {
  CHECK_TRUE(rc::check([] {
    QueueFixture fixture;
    fixture.budget.max_calls = 20;
    fixture.queue.SetSlots(1);
    std::set<AdmissionId> waiting;
    std::size_t in_flight = 0;
    for (int step = 0; step < 300; ++step) {
      fixture.now += Milliseconds(*rc::gen::inRange(0, 20));
      AdmissionCall call =
          fixture.Call("w" + std::to_string(*rc::gen::inRange(0, 4)),
                       *rc::gen::inRange(0, 3));
      call.deadline = fixture.now + Milliseconds(*rc::gen::inRange(0, 500));
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
        case 1: {
          const AdmissionDecision decision = fixture.Ask(call);
          in_flight += decision.verdict == AdmissionVerdict::kSend ? 1 : 0;
          if (decision.shed) {
            RC_ASSERT(waiting.erase(*decision.shed) == 1U);
          }
          if (decision.verdict == AdmissionVerdict::kWait) {
            waiting.insert(decision.id);
          }
          break;
        }
        case 2:
          if (in_flight > 0) {
            --in_flight;
            fixture.queue.OnAnswered("plain", kObjective,
                                     fixture.now - Milliseconds(30),
                                     fixture.now);
            fixture.queue.End("plain", Milliseconds(30));
          }
          break;
        case 3:
          if (in_flight > 0) {
            fixture.queue.OnRefused(fixture.now, fixture.now);
          }
          break;
        default:
          for (const AdmissionId id : fixture.queue.TakeExpired(fixture.now)) {
            RC_ASSERT(waiting.erase(id) == 1U);
          }
          while (const auto id = fixture.queue.TakeNext(fixture.now)) {
            RC_ASSERT(waiting.erase(*id) == 1U);
            ++in_flight;
          }
      }
      RC_ASSERT(fixture.queue.Queued() == waiting.size());
      RC_ASSERT(fixture.queue.InFlight() == in_flight);
      RC_ASSERT(fixture.budget.calls == waiting.size());
      RC_ASSERT(fixture.budget.bytes == waiting.size() * 100);
      RC_ASSERT(fixture.queue.Limit() >= 1.0);
    }
  }));
}

TEST_GROUP(ConcurrencyWindow) {
  ConcurrencyWindow window;
  MonotonicTime now = kStart;
};

TEST(ConcurrencyWindow, TheLimitStaysBetweenOneAndTheMaximum) {
  this->window.SetMaximum(30);
  DOUBLES_EQUAL(30, this->window.Limit(), 0);
  for (int index = 0; index < 100; ++index) {
    this->now += Milliseconds(1);
    this->window.OnRefused(this->now, 1, this->now);
  }
  DOUBLES_EQUAL(1, this->window.Limit(), 0);
  CHECK_TRUE(this->window.HasRoom(0));
  for (int index = 0; index < 10'000; ++index) {
    this->now += Milliseconds(1);
    this->window.OnAnswered(1, this->now, 1'000, this->now);
  }
  DOUBLES_EQUAL(30, this->window.Limit(), 0);
}

TEST(ConcurrencyWindow, RequestsOfOneMomentReduceTheLimitOnce) {
  this->window.SetMaximum(100);
  const MonotonicTime began = this->now;
  this->now += Milliseconds(30);
  for (int index = 0; index < 10; ++index) {
    this->window.OnRefused(began, 50, this->now);
  }
  DOUBLES_EQUAL(35, this->window.Limit(), 0.001);
}

TEST(ConcurrencyWindow, SlowResponsesReduceTheLimit) {
  this->window.SetMaximum(100);
  for (int index = 0; index < 100; ++index) {
    this->now += Milliseconds(1);
    this->window.OnAnswered(6, this->now, 50, this->now);
  }
  CHECK_TRUE(this->window.Limit() < 50);
}

TEST(ConcurrencyWindow, ALimitThatIsNotNeededIsGivenUp) {
  this->window.SetMaximum(100);
  this->window.OnRefused(this->now, 10, this->now);
  this->now += Milliseconds(1'000);
  this->window.EndRestriction(this->now);
  DOUBLES_EQUAL(7, this->window.Limit(), 0.001);
  this->now += Milliseconds(3'000);
  this->window.EndRestriction(this->now);
  DOUBLES_EQUAL(100, this->window.Limit(), 0);
}

TEST_GROUP(RouteTimes){};

TEST(RouteTimes, AProcessThatStartsUnderOverloadDoesNotLearnItAsNormal) {
  RouteTimes times;
  RouteObservation observation;
  observation.highest_first_ms = 40;
  MonotonicTime now = kStart;
  for (int index = 0; index < 1'000; ++index) {
    now += Milliseconds(50);
    times.Observe("r", 200, observation, now);
  }
  CHECK_TRUE(times.CostMs("r") < 80);
  // Slow also under the least load: the normal state of the route.
  observation.least_load = true;
  for (int index = 0; index < 2'000; ++index) {
    now += Milliseconds(50);
    times.Observe("r", 200, observation, now);
  }
  CHECK_TRUE(times.CostMs("r") > 150);
}

TEST_GROUP(RefusedCalls){};

TEST(RefusedCalls, ARefusalIsRememberedOnceAndForSeconds) {
  RefusedCalls refused;
  refused.Remember("a", kStart, kStart + Milliseconds(100));
  CHECK_TRUE(refused.Take("a", kStart + Milliseconds(300)) == kStart);
  CHECK_FALSE(refused.Take("a", kStart + Milliseconds(300)).has_value());
  refused.Remember("a", kStart, kStart);
  CHECK_FALSE(refused.Take("a", kStart + Milliseconds(5'001)).has_value());
}

TEST(RefusedCalls, TheMemoryIsBounded) {
  RefusedCalls refused;
  for (int index = 0; index < 20'000; ++index) {
    refused.Remember(std::to_string(index), kStart, kStart);
  }
  LONGS_EQUAL(RefusedCalls::kMaxCalls, refused.Size());
  CHECK_TRUE(refused.Take("19999", kStart).has_value());
  CHECK_FALSE(refused.Take("1", kStart).has_value());
}

TEST_GROUP(RetryAfterRefusal){};

TEST(RetryAfterRefusal, RefusedCallersAreSpreadWithinTheBounds) {
  CHECK_TRUE(rc::check([] {
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    const Milliseconds wait(*rc::gen::inRange(0, 5'000));
    const Milliseconds left(*rc::gen::inRange(0, 5'000));
    const Milliseconds after = RetryAfterRefusal(wait, left, random);
    RC_ASSERT(after >= kMinimumRetryAfter);
    RC_ASSERT(after <= std::max(left / 3, kMinimumRetryAfter));
  }));
  Random random(3);
  std::set<std::int64_t> different;
  for (int index = 0; index < 50; ++index) {
    different.insert(
        RetryAfterRefusal(Milliseconds(300), Milliseconds(1'500), random)
            .count());
  }
  CHECK_TRUE(different.size() > 25);
}

}  // namespace carobbank
