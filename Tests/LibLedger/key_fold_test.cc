// Tests of the fold of idempotency keys: one holder per key, stored outcomes
// and decisions outside the key window. They guard against a request that runs
// twice and against not_run for a request that may have run.

#include "LibLedger/ledger.h"

#include "LibLedger/ledger_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr WallMilliseconds kIssued = 100'000;

KeyFoldOptions Options() {
  KeyFoldOptions options;
  options.window = Milliseconds(10'000);
  options.skew = Milliseconds(1'000);
  options.key_retention = Milliseconds(30'000);
  return options;
}

const IdempotencyKey slot_key{"dispatch-app", "slot-4"};

ClaimEntry Claim(std::string attempt) {
  return {slot_key, std::move(attempt), kIssued, kIssued + 5'000, "request"};
}

}  // namespace

TEST_GROUP(KeyFold) {
  MemoryStream stream;
  KeyFold fold{Options(), 0};

  void Add(const KeyEntry& entry, WallMilliseconds time_ms = kIssued) {
    this->stream.Add(entry, time_ms);
    this->stream.FeedTo(this->fold);
  }
  KeyAction Decide(WallMilliseconds now_ms) {
    return this->fold.Decide(slot_key, kIssued, "request", now_ms).action;
  }
  ClaimStatus Status(const char* attempt, std::uint64_t offset) {
    return this->fold.StatusOf(slot_key, attempt, {offset, 0});
  }
};

TEST(KeyFold, FirstClaimWinsAndIsNeverTakenOver) {
  CHECK_TRUE(Decide(kIssued) == KeyAction::kClaim);
  CHECK_TRUE(Status("a", 0) == ClaimStatus::kPending);
  Add(Claim("a"));
  Add(Claim("b"));
  Add(Claim("a"));
  CHECK_TRUE(Status("a", 0) == ClaimStatus::kWon);
  CHECK_TRUE(Status("b", 1) == ClaimStatus::kLost);
  CHECK_TRUE(Decide(kIssued + 1) == KeyAction::kInProgress);
  CHECK_TRUE(Decide(kIssued + 6'001) == KeyAction::kUnresolved);
  CHECK_TRUE(Decide(kIssued + 9'000'000) == KeyAction::kUnresolved);
  LONGS_EQUAL(1, fold.OpenClaims().size());
}

TEST(KeyFold, EveryRepeatGetsTheStoredOutcome) {
  Add(Claim("a"));
  Add(DoneEntry{slot_key, "b", MakeStoredOutcome(500, "text/plain", "no")});
  CHECK_TRUE(Decide(kIssued) == KeyAction::kInProgress);
  const StoredOutcome outcome = MakeStoredOutcome(201, "text/plain", "slot 4");
  Add(DoneEntry{slot_key, "a", outcome});
  const KeyDecision decision =
      fold.Decide(slot_key, kIssued, "request", kIssued + 1);
  CHECK_TRUE(decision.action == KeyAction::kDone);
  CHECK_TRUE(decision.outcome == outcome);
  CHECK_TRUE(fold.Decide(slot_key, kIssued, "another", kIssued).action ==
             KeyAction::kMismatch);
}

TEST(KeyFold, LargeBodyIsStoredAsDigestOnly) {
  const std::string body(kMaxStoredBodyBytes + 1, 'x');
  const StoredOutcome outcome = MakeStoredOutcome(200, "text/plain", body);
  CHECK_FALSE(outcome.complete);
  CHECK_TRUE(outcome.body.empty());
  STRCMP_EQUAL(Sha256Hex(body).c_str(), outcome.body_digest.c_str());
}

TEST(KeyFold, ReleasedKeyMayBeClaimedByANewAttemptOnly) {
  Add(Claim("a"));
  Add(Claim("loser"));
  Add(ReleaseEntry{slot_key, "b"});
  CHECK_TRUE(Decide(kIssued) == KeyAction::kInProgress);
  Add(ReleaseEntry{slot_key, "a"});
  CHECK_TRUE(Decide(kIssued) == KeyAction::kClaim);
  // Delayed copies of claims whose attempts have ended.
  Add(Claim("a"));
  Add(Claim("loser"));
  Add(Claim("b"));
  CHECK_TRUE(fold.PhaseOf(slot_key) == KeyPhase::kReleased);
  Add(Claim("c"));
  CHECK_TRUE(Status("c", stream.End() - 1) == ClaimStatus::kWon);
}

TEST(KeyFold, ReleaseBeforeADelayedClaimVoidsIt) {
  Add(ReleaseEntry{slot_key, "a"});
  Add(Claim("a"));
  CHECK_TRUE(fold.PhaseOf(slot_key) == KeyPhase::kNone);
  CHECK_TRUE(Decide(kIssued) == KeyAction::kClaim);
}

TEST(KeyFold, ClaimOutsideTheWindowIsVoid) {
  Add(Claim("early"), kIssued - 1'001);
  CHECK_TRUE(fold.PhaseOf(slot_key) == KeyPhase::kNone);
  Add(Claim("late"), kIssued + 10'001);
  CHECK_TRUE(fold.PhaseOf(slot_key) == KeyPhase::kNone);
  CHECK_TRUE(Status("late", 1) == ClaimStatus::kLost);
  LONGS_EQUAL(2, fold.Counters().claims_out_of_window);
}

TEST(KeyFold, NotRunIsDecidedOnlyWhenTheCompleteWindowWasRead) {
  const WallMilliseconds now_ms = kIssued + 20'000;
  // The last record lies before the end of the window.
  Add(ReleaseEntry{{"other", "k"}, "x"}, kIssued + 9'000);
  CHECK_TRUE(Decide(now_ms) == KeyAction::kExpiredUnknown);
  Add(ReleaseEntry{{"other", "k"}, "x"}, kIssued + 10'001);
  CHECK_TRUE(Decide(now_ms) == KeyAction::kExpiredNotRun);
  // The fold no longer retains keys of that age.
  Add(ReleaseEntry{{"other", "k"}, "x"}, kIssued + 30'001);
  CHECK_TRUE(Decide(now_ms) == KeyAction::kExpiredUnknown);
}

TEST(KeyFold, KeyFromTheFutureIsNotRunOnlyBeyondTwiceTheSkew) {
  CHECK_TRUE(Decide(kIssued - 2'000) == KeyAction::kExpiredUnknown);
  CHECK_TRUE(Decide(kIssued - 2'001) == KeyAction::kExpiredNotRun);
}

TEST(KeyFold, LateStartedFoldDecidesUnknownForUncoveredKeys) {
  KeyFoldOptions options = Options();
  options.covered_since_ms = kIssued - 1'000;
  KeyFold late(options, 5);
  CHECK_TRUE(late.Decide(slot_key, kIssued, "request", kIssued).action ==
             KeyAction::kExpiredUnknown);
  CHECK_TRUE(late.Decide(slot_key, kIssued + 1, "request", kIssued).action ==
             KeyAction::kClaim);
}

TEST(KeyFold, TooManySpentAttemptsExhaustTheKey) {
  for (std::size_t n = 0; n < Options().max_spent_attempts; ++n) {
    CHECK_TRUE(Decide(kIssued) == KeyAction::kClaim);
    const std::string attempt = "a" + std::to_string(n);
    Add(Claim(attempt));
    Add(ReleaseEntry{slot_key, attempt});
  }
  CHECK_TRUE(Decide(kIssued) == KeyAction::kExhausted);
  Add(Claim("one more"));
  CHECK_TRUE(fold.PhaseOf(slot_key) == KeyPhase::kReleased);
}

TEST(KeyFold, KeysAreRemovedAfterTheirRetention) {
  Add(Claim("a"));
  LONGS_EQUAL(1, fold.Size());
  Add(ReleaseEntry{{"other", "k"}, "x"}, kIssued + 30'001);
  CHECK_TRUE(fold.PhaseOf(slot_key) == KeyPhase::kNone);
  LONGS_EQUAL(1, fold.Size());
}

}  // namespace carobbank
