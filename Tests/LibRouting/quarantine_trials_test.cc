// Tests of refusals and trials of quarantined requests.

#include "LibRouting/routing.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(QuarantineTrials) {
  QuarantineTrials trials;
  WallMilliseconds crash = 1'000;

  void Put(std::int64_t number, WallMilliseconds at, TrialOutcome outcome) {
    this->trials.Put({"x", number, "gateway", at, outcome});
  }
  std::int64_t RefusedFor(WallMilliseconds now) {
    return this->trials.RefusedFor("x", this->crash, now).count();
  }
};

TEST(QuarantineTrials, ARequestIsRefusedForAWhileAfterItsLastCrash) {
  LONGS_EQUAL(4'000, this->RefusedFor(1'000));
  LONGS_EQUAL(1, this->RefusedFor(4'999));
  LONGS_EQUAL(0, this->RefusedFor(5'000));
  // A clock that is behind the reporter's doesn't extend the refusal.
  LONGS_EQUAL(4'000, this->RefusedFor(0));
  // A crash that was under way.
  this->crash = 1'001;
  LONGS_EQUAL(4'000, this->RefusedFor(1'001));
}

TEST(QuarantineTrials, OneTrialIsOpenAtATime) {
  LONGS_EQUAL(1, this->trials.NextNumber("x"));
  this->Put(1, 5'000, TrialOutcome::kOpen);
  LONGS_EQUAL(2, this->trials.NextNumber("x"));
  CHECK_TRUE(this->RefusedFor(5'001) > 0);
  this->Put(1, 5'000, TrialOutcome::kFailed);
  LONGS_EQUAL(16'000, this->RefusedFor(5'000));
  LONGS_EQUAL(0, this->RefusedFor(21'000));
}

TEST(QuarantineTrials, AnOpenTrialOfALostProcessCountsAsFailed) {
  this->Put(1, 5'000, TrialOutcome::kOpen);
  const Milliseconds timeout = QuarantineTrialOptions().trial_timeout;
  LONGS_EQUAL(16'000 - timeout.count(),
              this->RefusedFor(5'000 + timeout.count()));
  LONGS_EQUAL(0, this->RefusedFor(21'000));
}

TEST(QuarantineTrials, AfterThreeFailedTrialsTheRefusalIsTheLongest) {
  this->Put(1, 5'000, TrialOutcome::kFailed);
  this->Put(2, 21'000, TrialOutcome::kFailed);
  LONGS_EQUAL(64'000, this->RefusedFor(21'000));
  this->Put(3, 85'000, TrialOutcome::kFailed);
  LONGS_EQUAL(3'600'000, this->RefusedFor(85'000));
}

TEST(QuarantineTrials, ACancelledTrialDoesNotCount) {
  this->Put(1, 5'000, TrialOutcome::kOpen);
  this->trials.Remove("x", 1);
  LONGS_EQUAL(0, this->RefusedFor(5'001));
  CHECK_TRUE(this->trials.All().empty());
}

TEST(QuarantineTrials, ThreeCompletedTrialsReleaseUntilTheNextCrash) {
  this->Put(1, 5'000, TrialOutcome::kFailed);
  for (std::int64_t number = 2; number <= 3; ++number) {
    this->Put(number, 20'000 + number, TrialOutcome::kCompleted);
    LONGS_EQUAL(0, this->RefusedFor(20'010));
    CHECK_FALSE(this->trials.Released("x", this->crash));
  }
  this->Put(4, 20'004, TrialOutcome::kCompleted);
  CHECK_TRUE(this->trials.Released("x", this->crash));
  this->crash = 30'000;
  CHECK_FALSE(this->trials.Released("x", this->crash));
  // The failed trial before them still counts.
  LONGS_EQUAL(16'000, this->RefusedFor(30'000));
}

TEST(QuarantineTrials, ARequestThatCrashesOnAndOnIsTriedThreeTimesThenHourly) {
  WallMilliseconds now = this->crash;
  constexpr WallMilliseconds kDay = 24 * 3'600'000;
  std::size_t tried = 0;
  std::size_t tried_in_first_hour = 0;
  for (; now < kDay; ++tried) {
    now += this->RefusedFor(now);
    tried_in_first_hour += now < this->crash + 3'600'000 ? 1 : 0;
    this->crash = now;
    this->Put(this->trials.NextNumber("x"), now, TrialOutcome::kFailed);
  }
  LONGS_EQUAL(3, tried_in_first_hour);
  CHECK_TRUE(tried <= 27);
}

}  // namespace carobbank
