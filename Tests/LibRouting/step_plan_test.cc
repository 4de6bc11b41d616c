// Tests of the step plan: order, resumption, duplicates, and the bounds of a
// step's time.

#include "LibRouting/routing.h"

#include <rapidcheck.h>

#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr std::chrono::microseconds kTokenTime{1000};

// Groups "g0", "g1", ... of `samples` samples each: "g0/0", "g0/1", ...
StepPlan MakePlan(int groups, int samples, StragglerOptions options = {}) {
  std::vector<PlannedSample> planned;
  for (int group = 0; group < groups; ++group) {
    const std::string group_id = "g" + std::to_string(group);
    for (int number = 0; number < samples; ++number) {
      planned.push_back(
          {group_id + "/" + std::to_string(number), group_id, 1000});
    }
  }
  return Capture([&] { return StepPlan::Create(options, planned, kTokenTime); })
      .Value();
}

}  // namespace

TEST_GROUP(StepPlan) {
  MonotonicTime now = MonotonicTime() + std::chrono::hours(1);

  std::string Start(StepPlan & plan, const char* attempt) {
    const auto dispatch = plan.Next(attempt, this->now);
    return dispatch ? dispatch->sample_id : "";
  }
};

TEST(StepPlan, WrongOptionsAreTypedErrors) {
  StragglerOptions options;
  options.order = "shortest_first";
  CHECK_FALSE(
      Capture([&] { return StepPlan::Create(options, {}, kTokenTime); }).Ok());
  CHECK_FALSE(
      Capture([&] {
        return StepPlan::Create({}, {{"a", "g", 1}, {"a", "g", 1}}, kTokenTime);
      }).Ok());
}

TEST(StepPlan, ProbesEachGroupThenStartsTheLongest) {
  StepPlan plan = MakePlan(2, 3);
  STRCMP_EQUAL("g0/0", Start(plan, "a").c_str());
  STRCMP_EQUAL("g1/0", Start(plan, "b").c_str());
  plan.OnFinished("g0/0", 100);
  plan.OnFinished("g1/0", 300);
  const auto longest = plan.Next("c", now);
  STRCMP_EQUAL("g1/1", longest->sample_id.c_str());
  LONGS_EQUAL(300, longest->expected_tokens);
  LONGS_EQUAL(0, longest->slack.count());
  STRCMP_EQUAL("g1/2", Start(plan, "d").c_str());
  const auto shorter = plan.Next("e", now);
  STRCMP_EQUAL("g0/1", shorter->sample_id.c_str());
  LONGS_EQUAL(200, shorter->slack.count());
}

TEST(StepPlan, InOrderIsKeptAsTheBaseline) {
  StragglerOptions options;
  options.order = "in_order";
  StepPlan plan = MakePlan(2, 2, options);
  STRCMP_EQUAL("g0/0", Start(plan, "a").c_str());
  STRCMP_EQUAL("g0/1", Start(plan, "b").c_str());
}

TEST(StepPlan, OutgrownSampleIsExpectedToGoOn) {
  StepPlan plan = MakePlan(1, 2);
  Start(plan, "a");
  plan.OnFinished("g0/0", 100);
  Start(plan, "b");
  LONGS_EQUAL(100, plan.ExpectedTokens("g0/1"));
  plan.OnProgress({"b", 400}, now);
  LONGS_EQUAL(501, plan.ExpectedTokens("g0/1"));
  plan.OnProgress({"b", 900}, now);
  LONGS_EQUAL(1000, plan.ExpectedTokens("g0/1"));
}

TEST(StepPlan, BrokenAttemptIsResumedFromTheLongestPartial) {
  StepPlan plan = MakePlan(1, 1);
  Start(plan, "a");
  plan.OnAttemptFailed("a", {"seven", 7});
  LONGS_EQUAL(1, plan.Counts().pending);
  const auto resumed = plan.Next("b", now);
  LONGS_EQUAL(7, resumed->partial.tokens);
  STRCMP_EQUAL("seven", resumed->partial.text.c_str());
  plan.OnAttemptFailed("b", {"two", 2});
  plan.OnAttemptFailed("a", {"late and unknown", 99});
  LONGS_EQUAL(7, plan.Next("c", now)->partial.tokens);
  plan.OnAttemptFailed("c", {});
  plan.DropPartial("g0/0");
  LONGS_EQUAL(0, plan.Next("d", now)->partial.tokens);
}

// A plan whose samples are finished with 100 tokens each, but for the last
// one, which runs as attempt "last".
static StepPlan PlanWithTail(StragglerOptions options, MonotonicTime now) {
  StepPlan plan = MakePlan(2, 10, options);
  int number = 0;
  while (plan.Counts().pending > 1) {
    const auto dispatch = plan.Next("a" + std::to_string(number++), now);
    plan.OnFinished(dispatch->sample_id, 100);
  }
  plan.Next("last", now);
  return plan;
}

TEST(StepPlan, TailIsDuplicatedOnlyWhenThatIsFaster) {
  struct Case {
    const char* what;
    // Tokens that the last attempt has made, and after how many milliseconds.
    std::uint64_t tokens;
    int progress_ms;
    // When the duplicate is asked for.
    int asked_ms;
    bool resume;
    bool duplicated;
  };
  const Case cases[] = {
      {"at the expected pace", 50, 50, 50, false, false},
      {"no progress report for a while", 50, 50, 110, true, false},
      {"slow, but nearly done", 90, 360, 360, false, false},
      {"slow, and a new one is faster", 20, 200, 200, false, true},
      {"half as fast, from the start anew", 50, 100, 100, false, false},
      {"half as fast, going on from it", 50, 100, 100, true, true},
      {"stalled", 50, 50, 190, false, true},
      {"never began", 0, 0, 140, false, true},
      {"waits for its first token", 0, 0, 100, false, false},
  };
  for (const Case& item : cases) {
    StragglerOptions options;
    options.duplicates_resume = item.resume;
    StepPlan plan = PlanWithTail(options, now);
    if (item.tokens > 0) {
      plan.OnProgress({"last", item.tokens},
                      now + Milliseconds(item.progress_ms));
    }
    const auto copy =
        plan.NextDuplicate("copy", now + Milliseconds(item.asked_ms));
    CHECK_EQUAL_TEXT(item.duplicated, copy.has_value(), item.what);
  }
}

TEST(StepPlan, TokenTimeIsLearnedFromProgress) {
  StepPlan plan = PlanWithTail({}, now);
  // All engines are ten times slower than stated: nothing to gain.
  plan.OnProgress({"last", 1}, now + Milliseconds(10));
  plan.OnProgress({"last", 20}, now + Milliseconds(200));
  CHECK_FALSE(plan.NextDuplicate("copy", now + Milliseconds(200)).has_value());
  CHECK_FALSE(plan.NextDuplicate("copy", now + Milliseconds(900)).has_value());
}

TEST(StepPlan, DuplicateEndsWithItsSample) {
  StepPlan plan = PlanWithTail({}, now);
  now += std::chrono::seconds(5);
  const auto copy = plan.NextDuplicate("copy", now);
  CHECK_TRUE(copy.has_value());
  CHECK_TRUE(copy->duplicate);
  STRCMP_EQUAL("last", copy->beside.c_str());
  CHECK_FALSE(plan.NextDuplicate("third", now).has_value());
  LONGS_EQUAL(1, plan.Counts().duplicates);
  LONGS_EQUAL(2, plan.OnFinished(copy->sample_id, 100).size());
  LONGS_EQUAL(0, plan.Counts().duplicates);
  CHECK_TRUE(plan.Done());
}

TEST(StepPlan, DuplicateTakesTheBrokenOriginalsPlace) {
  StepPlan plan = PlanWithTail({}, now);
  now += std::chrono::seconds(5);
  const auto copy = plan.NextDuplicate("copy", now);
  CHECK_TRUE(copy.has_value());
  plan.OnAttemptFailed("last", {});
  LONGS_EQUAL(0, plan.Counts().duplicates);
  LONGS_EQUAL(1, plan.Counts().running);
  now += std::chrono::seconds(5);
  STRCMP_EQUAL("copy", plan.NextDuplicate("again", now)->beside.c_str());
}

TEST(StepPlan, NoDuplicateWhileSamplesWait) {
  StepPlan plan = MakePlan(1, 2);
  Start(plan, "a");
  now += std::chrono::minutes(1);
  CHECK_FALSE(plan.NextDuplicate("b", now).has_value());
}

TEST(StepPlan, AnyHistoryFinishesEachSampleOnce) {
  CHECK_TRUE(rc::check("counts and states agree after any events", [] {
    StragglerOptions options;
    options.duplicate_share = 1;
    StepPlan plan = MakePlan(2, 3, options);
    const auto events = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(0, 1000));
    MonotonicTime now = MonotonicTime() + std::chrono::hours(1);
    std::vector<std::string> attempts;
    std::set<std::string> finished;
    int number = 0;
    for (std::uint32_t event : events) {
      now += Milliseconds(event);
      const std::string name = "a" + std::to_string(number++);
      const std::string sample = "g" + std::to_string(event / 10 % 2) + "/" +
                                 std::to_string(event / 20 % 3);
      const std::string attempt =
          attempts.empty() ? name : attempts[event / 10 % attempts.size()];
      const auto started = event % 10 < 3   ? plan.Next(name, now)
                           : event % 10 < 5 ? plan.NextDuplicate(name, now)
                                            : std::nullopt;
      if (started) {
        attempts.push_back(name);
        RC_ASSERT(!finished.contains(started->sample_id));
      } else if (event % 10 < 7) {
        plan.OnAttemptFailed(attempt, {"x", event % 50});
      } else if (event % 10 < 8) {
        plan.OnProgress({attempt, event}, now);
      } else {
        plan.OnFinished(sample, event);
        finished.insert(sample);
      }
      const StepPlanCounts& counts = plan.Counts();
      RC_ASSERT(counts.finished == finished.size());
      RC_ASSERT(counts.pending + counts.running + counts.finished == 6U);
      RC_ASSERT(counts.duplicates <= counts.running);
    }
    // Whatever happened, the rest can still be started and finished.
    while (plan.Next("b" + std::to_string(number++), now)) {
    }
    for (int index = 0; index < 6; ++index) {
      plan.OnFinished(
          "g" + std::to_string(index / 3) + "/" + std::to_string(index % 3),
          10);
    }
    RC_ASSERT(plan.Done());
    RC_ASSERT(plan.Counts().duplicates == 0U);
  }));
}

TEST(StepPlan, LowerBoundHoldsForALongestFirstSchedule) {
  CHECK_TRUE(rc::check("no schedule beats the bound", [] {
    const auto lengths =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<std::uint64_t>>(
            rc::gen::inRange<std::uint64_t>(1, 5000)));
    const auto slots = *rc::gen::inRange<std::uint64_t>(1, 40);
    const StepWork work{lengths, slots, kTokenTime,
                        std::chrono::microseconds(0)};
    const auto bound = StepTimeLowerBound(work);
    const auto reached = StepTimeLongestFirst(work);
    RC_ASSERT(bound <= reached);
    // Graham's bound against the optimum, which is at least `bound`, can't be
    // checked without the optimum; twice the lower bound always holds.
    RC_ASSERT(reached <= 2 * bound);
  }));
  const std::uint64_t lengths[] = {10, 10, 10, 40};
  const StepWork work{lengths, 2, kTokenTime, std::chrono::microseconds(500)};
  LONGS_EQUAL(40500, StepTimeLowerBound(work).count());
  LONGS_EQUAL(40500, StepTimeLongestFirst(work).count());
  LONGS_EQUAL(0, StepTimeLowerBound({{}, 2, kTokenTime, kTokenTime}).count());
}

}  // namespace carobbank
