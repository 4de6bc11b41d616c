// Retry policy and crash quarantine. Guards against retries of work that may
// have run, retry storms in an outage, and the quarantine of a digest that did
// not cause the crashes.

#include "LibRouting/routing.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(RetryPolicy) {
  Random random{7};
};

TEST(RetryPolicy, RetriesOnlyRepeatableWorkWithinItsLimits) {
  struct Case {
    const char* what;
    FailedAttempt failed;
    RetryRefusal refusal;
  };
  using Execution = AttemptExecution;
  const Milliseconds minute(60000);
  const Milliseconds none(0);
  const Case cases[] = {
      {"not run",
       {Execution::kNotRun, false, 1, minute, none},
       RetryRefusal::kNone},
      {"may have run",
       {Execution::kMayHaveRun, false, 1, minute, none},
       RetryRefusal::kMayHaveRun},
      {"may have run, idempotent",
       {Execution::kMayHaveRun, true, 1, minute, none},
       RetryRefusal::kNone},
      {"last attempt",
       {Execution::kNotRun, true, 4, minute, none},
       RetryRefusal::kAttemptsExhausted},
      {"no time for the backoff",
       {Execution::kNotRun, true, 1, Milliseconds(5), none},
       RetryRefusal::kDeadline},
      {"no time for the server's retry_after",
       {Execution::kNotRun, true, 1, Milliseconds(900), Milliseconds(900)},
       RetryRefusal::kDeadline},
  };
  for (const Case& item : cases) {
    RetryPolicy policy{RetryOptions()};
    const double before = policy.Tokens();
    const RetryDecision decision = policy.Decide(item.failed, random);
    CHECK_TRUE_TEXT(decision.refusal == item.refusal, item.what);
    const double tokens_used = before - policy.Tokens();
    DOUBLES_EQUAL_TEXT(decision.Retry() ? 1 : 0, tokens_used, 1e-9, item.what);
  }
}

TEST(RetryPolicy, BudgetBoundsTheRetriesInAnOutage) {
  RetryPolicy policy{RetryOptions()};
  const FailedAttempt failed{AttemptExecution::kNotRun, true, 1,
                             Milliseconds(60000), Milliseconds(0)};
  int retries = 0;
  for (int request = 0; request < 1000; ++request) {
    policy.OnFirstAttempt();
    retries += policy.Decide(failed, random).Retry() ? 1 : 0;
  }
  // The burst of 10, plus one retry per ten first attempts.
  CHECK_TRUE(retries >= 108 && retries <= 110);
  CHECK_TRUE(policy.Decide(failed, random).refusal ==
             RetryRefusal::kBudgetExhausted);
}

TEST(RetryPolicy, BackoffDoublesWithJitterToItsMaximum) {
  const RetryOptions options{.max_attempts = 99};
  for (std::uint32_t attempts = 1; attempts < 40; ++attempts) {
    RetryPolicy policy{options};
    const RetryDecision decision =
        policy.Decide({AttemptExecution::kNotRun, true, attempts,
                       Milliseconds(60000), Milliseconds(0)},
                      random);
    const std::int64_t full =
        attempts > 7 ? 2000 : std::min(2000, 20 << (attempts - 1));
    CHECK_TRUE(decision.wait.count() >= full / 2);
    CHECK_TRUE(decision.wait.count() <= full);
  }
}

TEST_GROUP(CrashQuarantine) {
  CrashQuarantine quarantine{CrashQuarantineOptions()};

  std::string Crash(const char* instance, std::vector<std::string> digests,
                    bool lists_all_work = true) {
    return this->quarantine
        .OnCrash({instance, std::move(digests), lists_all_work})
        .value_or("");
  }
  DigestStatus StatusOf(const char* digest) {
    return this->quarantine.StatusOf(digest);
  }
};

TEST(CrashQuarantine, CrashesOnTwoDistinctServersQuarantine) {
  CHECK_TRUE(StatusOf("x") == DigestStatus::kClear);
  STRCMP_EQUAL("", Crash("s1", {"x", "a"}).c_str());
  CHECK_TRUE(StatusOf("x") == DigestStatus::kSuspect);
  STRCMP_EQUAL("", Crash("s1", {"x"}).c_str());
  CHECK_TRUE(StatusOf("x") == DigestStatus::kSuspect);
  STRCMP_EQUAL("x", Crash("s2", {"x"}).c_str());
  CHECK_TRUE(StatusOf("x") == DigestStatus::kQuarantined);
  CHECK_TRUE(StatusOf("a") == DigestStatus::kSuspect);
  quarantine.OnFinished("a");
  CHECK_TRUE(StatusOf("a") == DigestStatus::kClear);
  quarantine.OnFinished("x");
  CHECK_TRUE(StatusOf("x") == DigestStatus::kQuarantined);
}

TEST(CrashQuarantine, ConcurrentWorkIsNotQuarantinedWithTheCause) {
  Crash("s1", {"x", "a"});
  STRCMP_EQUAL("", Crash("s2", {"x", "a"}).c_str());
  CHECK_TRUE(StatusOf("x") == DigestStatus::kSuspect);
  CHECK_TRUE(StatusOf("a") == DigestStatus::kSuspect);
  STRCMP_EQUAL("x", Crash("s3", {"x"}).c_str());
  // Another crash by the quarantined digest is not attributed to other work.
  STRCMP_EQUAL("", Crash("s4", {"x", "a"}).c_str());
  CHECK_TRUE(StatusOf("a") == DigestStatus::kSuspect);
  LONGS_EQUAL(1, quarantine.Quarantined().size());
}

TEST(CrashQuarantine, PartialReportsNeverQuarantine) {
  Crash("s1", {"x"}, false);
  STRCMP_EQUAL("", Crash("s2", {"x"}, false).c_str());
  CHECK_TRUE(StatusOf("x") == DigestStatus::kSuspect);
  // The full report of the same crash arrives later: "a" may be the cause too.
  STRCMP_EQUAL("", Crash("s2", {"x", "a"}).c_str());
  CHECK_TRUE(StatusOf("x") == DigestStatus::kSuspect);
  STRCMP_EQUAL("x", Crash("s2", {"x"}).c_str());
}

TEST(CrashQuarantine, QuarantineByAnotherProcessApplies) {
  quarantine.OnQuarantined("x");
  quarantine.OnQuarantined("x");
  CHECK_TRUE(StatusOf("x") == DigestStatus::kQuarantined);
}

TEST(CrashQuarantine, TheThirdCrashBesideOtherWorkQuarantines) {
  CrashQuarantine shared{{.concurrent_crashes_to_quarantine = 3}};
  const auto crash = [&shared](const char* instance, WallMilliseconds at) {
    shared.OnCrash({instance, {"x"}, false, 0, at});
  };
  crash("s1", 100);
  CHECK_FALSE(shared.IsOnLastChance("x"));
  crash("s2", 200);
  CHECK_TRUE(shared.IsOnLastChance("x"));
  CHECK_TRUE(shared.StatusOf("x") == DigestStatus::kSuspect);
  crash("s3", 1'000);
  CHECK_TRUE(shared.StatusOf("x") == DigestStatus::kQuarantined);
  LONGS_EQUAL(1'000, shared.CrashesOf("x").back().at);
  // Only trials end the quarantine.
  CHECK_TRUE(shared.OnFinished("x") == FinishEffect::kNone);
  CHECK_TRUE(shared.StatusOf("x") == DigestStatus::kQuarantined);
  shared.Forget("x");
  CHECK_TRUE(shared.StatusOf("x") == DigestStatus::kClear);
}

TEST(CrashQuarantine, ACompleteRunDoesNotClearEarlierCrashes) {
  CrashQuarantine shared{{.concurrent_crashes_to_quarantine = 3}};
  for (const WallMilliseconds start : {1, 2}) {
    shared.OnCrash({"s1", {"x"}, false, start, 0});
    CHECK_TRUE(shared.OnFinished("x") == FinishEffect::kLifted);
    CHECK_TRUE(shared.StatusOf("x") == DigestStatus::kClear);
  }
  shared.OnCrash({"s1", {"x"}, false, 3, 0});
  CHECK_TRUE(shared.StatusOf("x") == DigestStatus::kQuarantined);
}

TEST(CrashQuarantine, ACompleteRunDoesNotClearCrashesBeforeOneInIsolation) {
  Crash("s1", {"x", "a"});
  quarantine.OnFinished("x");
  CHECK_TRUE(StatusOf("x") == DigestStatus::kClear);
  STRCMP_EQUAL("x", Crash("s2", {"x"}).c_str());
}

TEST(CrashQuarantine, CrashesAreForgottenAfterManyCompleteRuns) {
  CrashQuarantine shared{
      {.concurrent_crashes_to_quarantine = 3, .runs_to_forget_crash = 4}};
  shared.OnCrash({"s1", {"x"}, false, 1, 0});
  shared.OnCrash({"s2", {"x"}, false, 1, 0});
  for (int run = 0; run < 7; ++run) {
    CHECK_TRUE(shared.OnFinished("x") != FinishEffect::kForgotten);
  }
  CHECK_TRUE(shared.OnFinished("x") == FinishEffect::kForgotten);
  CHECK_TRUE(shared.Empty());
}

TEST(CrashQuarantine, EachStartOfAServerThatCrashedCounts) {
  CrashQuarantine shared{{.concurrent_crashes_to_quarantine = 3}};
  for (const WallMilliseconds start : {1, 2}) {
    shared.OnCrash({"s1", {"x"}, false, start, 0});
  }
  CHECK_TRUE(shared.StatusOf("x") == DigestStatus::kSuspect);
  shared.OnCrash({"s1", {"x"}, false, 3, 0});
  CHECK_TRUE(shared.StatusOf("x") == DigestStatus::kQuarantined);
}

TEST(CrashQuarantine, ACrashCountsOnceAndARetractedOneNotAtAll) {
  CrashQuarantine shared{{.concurrent_crashes_to_quarantine = 3}};
  for (int report = 0; report < 5; ++report) {
    shared.OnCrash({"s1", {"x"}, false, 7, 0});
  }
  LONGS_EQUAL(1, shared.CrashesOf("x").size());
  shared.OnCrash({"s2", {"x"}, false, 7, 0});
  shared.Retract("x", "s2", 7);
  shared.Retract("x", "s1", 8);
  LONGS_EQUAL(1, shared.CrashesOf("x").size());
  shared.Retract("x", "s1", 7);
  CHECK_TRUE(shared.StatusOf("x") == DigestStatus::kClear);
  CHECK_TRUE(shared.Empty());
}

TEST(CrashQuarantine, SuspectsAreBounded) {
  CrashQuarantine small{{.servers_to_quarantine = 2, .max_suspects = 2}};
  small.OnQuarantined("x");
  small.OnCrash({"s1", {"a", "b", "c"}, true});
  CHECK_TRUE(small.StatusOf("a") == DigestStatus::kClear);
  CHECK_TRUE(small.StatusOf("c") == DigestStatus::kSuspect);
  CHECK_TRUE(small.StatusOf("x") == DigestStatus::kQuarantined);
}

}  // namespace carobbank
