// Unit tests of the stand-in engine's parts without I/O: token texts,
// completion lengths, prefix cache, cache events, queue order, step durations,
// order acceptance and the rate limiter. A fault in them would make the tests
// that run against the engine pass or fail for the wrong reason.

#include <rapidcheck.h>

#include "StandIns/cache_event_feed.h"
#include "StandIns/continuous_batch.h"
#include "StandIns/engine_orders.h"
#include "StandIns/rate_limiter.h"
#include "StandIns/stand_ins.h"
#include "Support/manual_clock.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

GenerationPointer MakeGeneration(std::string id,
                                 std::int64_t priority,
                                 std::string prompt = "prompt") {
  auto generation = std::make_shared<EngineGeneration>();
  generation->attempt_id = std::move(id);
  generation->priority = priority;
  generation->prompt_tokens = PromptTokens(prompt);
  generation->prompt = std::move(prompt);
  generation->end_token = 100;
  return generation;
}

}  // namespace

TEST_GROUP(EngineParts){};

TEST(EngineParts, CountTokensRejectsMalformedTokens) {
  CHECK_EQUAL(0U, CountTokens("").value());
  CHECK_EQUAL(2U, CountTokens(" 0@7 1@8").value());
  for (const char* text : {" 1@7", " 0@7 2@7", " 0@7 0@7", " 0@", "0@7",
                           " 0@7 1", " 0@7x", " 0@7 "}) {
    CHECK_FALSE_TEXT(CountTokens(text).has_value(), text);
  }
}

TEST(EngineParts, CountTokensReadsBackTokenTexts) {
  CHECK_TRUE(rc::check("written tokens are counted", [] {
    const auto count = *rc::gen::inRange<std::uint64_t>(0, 200);
    std::string text;
    for (std::uint64_t token = 0; token < count; ++token) {
      text += TokenText(token, *rc::gen::arbitrary<std::uint64_t>());
    }
    RC_ASSERT(CountTokens(text) == count);
  }));
}

TEST(EngineParts, LengthsDependOnPromptAndSeed) {
  const LengthModel model;
  CHECK_EQUAL(CompletionLength("brake drill", 3, model),
              CompletionLength("brake drill", 3, model));
  CHECK_FALSE(CompletionLength("brake drill", 3, model) ==
              CompletionLength("brake drill", 4, model));
  CHECK_EQUAL(37U, CompletionLength("length=37 brake drill", 3, model));
  CHECK_EQUAL(1U, CompletionLength("length=0", 3, model));
}

TEST(EngineParts, LengthsHaveAHeavyTail) {
  LengthModel model;
  model.median_tokens = 200;
  int below_median = 0;
  int above_twice = 0;
  constexpr int kSamples = 2'000;
  for (int seed = 0; seed < kSamples; ++seed) {
    const auto length =
        CompletionLength("prompt", static_cast<std::uint64_t>(seed), model);
    below_median += length < 200 ? 1 : 0;
    above_twice += length > 400 ? 1 : 0;
    CHECK_TRUE(length >= 1 && length <= 4'096);
  }
  // A log-normal distribution with sigma 0.6 has half of its values below the
  // median and an eighth above twice the median.
  CHECK_TRUE(below_median > kSamples * 45 / 100);
  CHECK_TRUE(below_median < kSamples * 55 / 100);
  CHECK_TRUE(above_twice > kSamples * 9 / 100);
  CHECK_TRUE(above_twice < kSamples * 16 / 100);
}

TEST(EngineParts, CacheReusesSharedPrefixes) {
  PrefixCache cache;
  const std::string shared(512, 'a');
  CHECK_EQUAL(0U, cache.Use(shared + "first", 1'000).cached_tokens);
  CHECK_EQUAL(128U, cache.Use(shared + "other", 1'000).cached_tokens);
  const auto again = cache.Use(shared + "first", 1'000);
  CHECK_EQUAL(130U, again.cached_tokens);
  CHECK_EQUAL(0U, again.changes.size());
}

TEST(EngineParts, CacheEvictsTheLeastRecentlyUsed) {
  PrefixCache cache;
  const std::string first(256, 'a');
  const std::string second(256, 'b');
  cache.Use(first, 128);
  cache.Use(second, 128);
  cache.Use(first, 128);
  const auto third = cache.Use(std::string(256, 'c'), 128);
  CHECK_EQUAL(2U, third.changes.size());
  CHECK_TRUE(third.changes[0].stored);
  CHECK_FALSE(third.changes[1].stored);
  CHECK_EQUAL(FastHash(second), third.changes[1].prefix_hash);
  CHECK_EQUAL(64U, cache.Use(first, 128).cached_tokens);
}

TEST(EngineParts, CacheStaysWithinItsCapacity) {
  CHECK_TRUE(rc::check("used tokens never exceed the capacity", [] {
    PrefixCache cache;
    const auto capacity = *rc::gen::inRange<std::uint64_t>(0, 300);
    const auto uses = *rc::gen::inRange(0, 30);
    for (int use = 0; use < uses; ++use) {
      const auto length = *rc::gen::inRange<std::size_t>(0, 2'000);
      const auto letter = *rc::gen::inRange('a', 'd');
      cache.Use(std::string(length, letter), capacity);
      RC_ASSERT(cache.UsedTokens() <= capacity);
    }
  }));
}

TEST(EngineParts, CacheEventsAreDelayedAndHaveGaps) {
  CacheEventFeed feed;
  ManualClock clock;
  feed.Add({true, 1}, clock.Now() + Milliseconds(10), false);
  feed.Add({true, 2}, clock.Now() + Milliseconds(10), true);
  feed.Add({false, 1}, clock.Now() + Milliseconds(20), false);
  CHECK_EQUAL(0U, feed.Page(0, clock.Now())["events"].size());
  clock.Advance(Milliseconds(10));
  CHECK_EQUAL(1U, feed.Page(0, clock.Now())["events"].size());
  clock.Advance(Milliseconds(10));
  const Json::Value late = feed.Page(1, clock.Now());
  CHECK_EQUAL(1U, late["events"].size());
  CHECK_EQUAL(2U, late["events"][0]["sequence"].asUInt64());
}

TEST(EngineParts, HigherPriorityStartsFirst) {
  ContinuousBatch batch;
  PrefixCache cache;
  EngineSettings settings;
  settings.max_batch = 2;
  batch.Add(MakeGeneration("low", 0));
  batch.Add(MakeGeneration("high", 5));
  batch.Add(MakeGeneration("high, later", 5));
  const auto plan = batch.PlanStep(settings, cache, true);
  CHECK_EQUAL(2U, plan.started.size());
  STRCMP_EQUAL("high", plan.started[0]->attempt_id.c_str());
  STRCMP_EQUAL("high, later", plan.started[1]->attempt_id.c_str());
  CHECK_EQUAL(1U, batch.WaitingCount());
}

TEST(EngineParts, RemovalFreesTheSlot) {
  ContinuousBatch batch;
  PrefixCache cache;
  EngineSettings settings;
  settings.max_batch = 1;
  batch.Add(MakeGeneration("first", 0));
  batch.Add(MakeGeneration("second", 0));
  batch.PlanStep(settings, cache, true);
  batch.Remove(*batch.Find("first"));
  const auto plan = batch.PlanStep(settings, cache, true);
  CHECK_EQUAL(1U, plan.started.size());
  STRCMP_EQUAL("second", plan.started[0]->attempt_id.c_str());
}

TEST(EngineParts, StepDurationGrowsWithBatchAndUncachedTokens) {
  EngineSettings settings;
  settings.token_interval_us = 1'000;
  settings.token_interval_per_sequence_us = 10;
  settings.prefill_us_per_token = 1;
  ContinuousBatch batch;
  PrefixCache cache;
  const std::string prompt(400, 'a');
  batch.Add(MakeGeneration("first", 0, prompt));
  CHECK_EQUAL(1'110, batch.PlanStep(settings, cache, true).duration_us);
  CHECK_EQUAL(1'010, batch.PlanStep(settings, cache, true).duration_us);
  batch.Add(MakeGeneration("second", 0, prompt));
  CHECK_EQUAL(1'020, batch.PlanStep(settings, cache, true).duration_us);
}

TEST(EngineParts, OrdersAreAcceptedByFencingTokenAndId) {
  EngineOrders orders;
  EngineOrder order;
  order.order_id = "a";
  order.fencing_token = 4;
  CHECK_TRUE(orders.Accept(order, true) == EngineOrderResult::kAccepted);
  CHECK_TRUE(orders.Accept(order, true) == EngineOrderResult::kRepeated);
  EngineOrder newer{"b", 5, "model", 2, false};
  CHECK_TRUE(orders.Accept(newer, true) == EngineOrderResult::kInProgress);
  CHECK_TRUE(orders.Accept(order, true) == EngineOrderResult::kStaleFencing);
  orders.End(true);
  CHECK_TRUE(orders.Accept(order, false) == EngineOrderResult::kRepeated);
  CHECK_TRUE(orders.Accept(newer, true) == EngineOrderResult::kAccepted);
}

TEST(EngineParts, RateLimiterAllowsOneSecondsWorth) {
  RateLimiter limiter;
  ManualClock clock;
  CHECK_TRUE(limiter.TryAcquire(2, clock.Now()));
  CHECK_TRUE(limiter.TryAcquire(2, clock.Now()));
  CHECK_FALSE(limiter.TryAcquire(2, clock.Now()));
  clock.Advance(Milliseconds(500));
  CHECK_TRUE(limiter.TryAcquire(2, clock.Now()));
  CHECK_FALSE(limiter.TryAcquire(2, clock.Now()));
  clock.Advance(Milliseconds(60'000));
  CHECK_TRUE(limiter.TryAcquire(2, clock.Now()));
  CHECK_TRUE(limiter.TryAcquire(2, clock.Now()));
  CHECK_FALSE(limiter.TryAcquire(2, clock.Now()));
}

}  // namespace carobbank
