// Tests of the staleness rule, its text form, the check of samples at commit,
// and the waves of rolling upgrades. They guard against commits of samples with
// missing, doubled, unknown or too old versions, and against a pool of which
// too many servers load at once.

#include "LibVersions/versions.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(Staleness){};

TEST(Staleness, TheRangeFollowsTheRequestedVersion) {
  struct Case {
    std::uint64_t requested;
    StalenessRule rule;
    const char* text;
  };
  const Case cases[] = {
      {7, {1, NewerVersions::kRefuse}, "6-7"},
      {7, {1, NewerVersions::kAllow}, "6-"},
      {7, {0, NewerVersions::kRefuse}, "7-7"},
      {0, {1, NewerVersions::kAllow}, "-"},
      {1, {3, NewerVersions::kRefuse}, "-1"},
  };
  for (const Case& row : cases) {
    const AllowedVersions allowed = AllowedFor(row.requested, row.rule);
    STRCMP_EQUAL(row.text, allowed.Text().c_str());
    const auto parsed =
        Capture([&] { return AllowedVersions::Parse(row.text); });
    CHECK_TRUE(parsed.Value() == allowed);
    CHECK_TRUE(allowed.Contains(row.requested));
  }
}

TEST(Staleness, MalformedRangesAreRefused) {
  for (const char* text : {"7", "a-b", "7-6", "1-2-3", "- 1", "-1x", " "}) {
    const auto parsed = Capture([&] { return AllowedVersions::Parse(text); });
    CHECK_FALSE(parsed.Ok());
  }
}

TEST(Staleness, OnlyCompleteSamplesOfAllowedVersionsAreCommittable) {
  struct Case {
    std::vector<VersionSpan> spans;
    std::uint64_t tokens;
    SpanVerdict verdict;
  };
  const Case cases[] = {
      {{{0, 4, 6}, {4, 9, 7}}, 9, SpanVerdict::kCommittable},
      {{}, 0, SpanVerdict::kCommittable},
      {{}, 3, SpanVerdict::kGap},
      {{{0, 4, 6}}, 9, SpanVerdict::kGap},
      {{{1, 9, 6}}, 9, SpanVerdict::kGap},
      {{{0, 4, 6}, {5, 9, 6}}, 9, SpanVerdict::kGap},
      {{{0, 4, 6}, {3, 9, 6}}, 9, SpanVerdict::kOverlap},
      {{{0, 9, 6}, {0, 9, 6}}, 9, SpanVerdict::kOverlap},
      {{{0, 10, 6}}, 9, SpanVerdict::kOverlap},
      {{{0, 4, 6}, {4, 4, 6}, {4, 9, 6}}, 9, SpanVerdict::kOverlap},
      {{{0, 4, std::nullopt}, {4, 9, 7}}, 9, SpanVerdict::kUnknownVersion},
      {{{0, 4, 5}, {4, 9, 7}}, 9, SpanVerdict::kTooOld},
      {{{0, 4, 7}, {4, 9, 8}}, 9, SpanVerdict::kTooNew},
  };
  for (const Case& row : cases) {
    const SpanVerdict verdict = CheckSampleSpans(row.spans, row.tokens, {6, 7});
    STRCMP_EQUAL(SpanVerdictName(row.verdict).data(),
                 SpanVerdictName(verdict).data());
  }
}

TEST(Staleness, AppendedSpansStayContiguousForAnyReports) {
  CHECK_TRUE(rc::check("spans cover every appended token exactly once", [] {
    VersionSpans spans;
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    for (int report = 0; report < 50; ++report) {
      const std::uint64_t from = spans.Tokens() + random.Below(3) - 1;
      const std::uint64_t to = from + random.Below(4);
      const std::uint64_t before = spans.Tokens();
      const SpanVerdict verdict = spans.Append(from, to, random.Below(2));
      const bool appended = verdict == SpanVerdict::kCommittable;
      const std::uint64_t after = spans.Tokens();
      RC_ASSERT(appended == (from == before));
      RC_ASSERT(after == (appended ? to : before));
    }
    const SpanVerdict complete =
        CheckSampleSpans(spans.Spans(), spans.Tokens(), {0, 1});
    RC_ASSERT(complete == SpanVerdict::kCommittable);
  }));
}

TEST(Staleness, RollingUpgradesStartInWaves) {
  SwapPlan plan;
  plan.pace = SwapPace::kRolling;
  std::vector<std::string> pool;
  for (int server = 0; server < 40; ++server) {
    pool.push_back("server-" + std::to_string(server));
  }
  std::vector<int> started(5, 0);
  for (const std::string& server : pool) {
    const Milliseconds delay = SwapDelay(plan, server, pool, "m", 7);
    ++started.at(static_cast<std::size_t>(delay / plan.wave_time));
  }
  const std::vector<int> expected = {10, 10, 10, 10, 0};
  CHECK_TRUE(started == expected);
  LONGS_EQUAL(0, SwapDelay(plan, "unlisted", pool, "m", 7).count());
  plan.pace = SwapPace::kAtOnce;
  LONGS_EQUAL(0, SwapDelay(plan, pool[3], pool, "m", 7).count());
}

}  // namespace carobbank
