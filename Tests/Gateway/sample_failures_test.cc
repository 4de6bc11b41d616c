// Guards against failures of samples that are counted twice, or not counted
// over owners and jobs, and against records that other gateways can't read.

#include "Services/Gateway/sample_failures.h"

#include "Support/sample_jobs.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(SampleFailures) {
  SampleFailures failures;

  static SampleFailure Failure(
      const std::string& job, WallMilliseconds at,
      SampleFailureKind kind = SampleFailureKind::kServerError) {
    return {{"sample", job}, kind, "gateway-1", at};
  }
  bool Exhausted(const std::string& job, std::int64_t limit) {
    return this->failures.Exhausted({"sample", job},
                                    SampleFailureKind::kServerError, limit);
  }
};

TEST(SampleFailures, ASampleIsExhaustedAfterItsLimitInAJobOrTwiceThatInAll) {
  constexpr std::int64_t kLimit = 3;
  this->failures.Add(Failure("a", 1));
  this->failures.Add(Failure("a", 2));
  CHECK_FALSE(this->Exhausted("a", kLimit));
  this->failures.Add(Failure("a", 3));
  CHECK_TRUE(this->Exhausted("a", kLimit));
  CHECK_FALSE(this->Exhausted("b", kLimit));
  this->failures.Add(Failure("b", 4));
  this->failures.Add(Failure("b", 5));
  CHECK_FALSE(this->Exhausted("c", kLimit));
  this->failures.Add(Failure("c", 6));
  CHECK_TRUE(this->Exhausted("c", kLimit));
  CHECK_TRUE(this->Exhausted("d", kLimit));
}

TEST(SampleFailures, AFailureCountsOnceAndOnlyForItsKind) {
  this->failures.Add(Failure("a", 1));
  this->failures.Add(Failure("a", 1));
  this->failures.Add(Failure("a", 1, SampleFailureKind::kUnprocessable));
  LONGS_EQUAL(1, this->failures.CountInJob({"sample", "a"},
                                           SampleFailureKind::kServerError));
  this->failures.Remove(Failure("a", 1));
  LONGS_EQUAL(0, this->failures.CountInJob({"sample", "a"},
                                           SampleFailureKind::kServerError));
  LONGS_EQUAL(1, this->failures.All().size());
}

TEST(SampleFailures, AFailureIsTheSameAfterEncodingAndDecoding) {
  for (const SampleFailureKind kind :
       {SampleFailureKind::kServerError, SampleFailureKind::kUnprocessable,
        SampleFailureKind::kRewardServerError,
        SampleFailureKind::kRewardRejected}) {
    const SampleFailure failure = Failure("a", 7, kind);
    CHECK_TRUE(DecodeSampleFailure(EncodeSampleFailure(failure)) == failure);
  }
  for (const char* const key : {"", "f/", "m/", "f/s/j/500/i", "f/s/j/501/i/7",
                                "f//j/500/i/7", "0123456789abcdef/server/7"}) {
    CHECK_FALSE_TEXT(DecodeSampleFailure(key).has_value(), key);
  }
}

TEST(SampleFailures, ASampleHasOneKeyInAllJobsThatCarryIt) {
  const BatchJob first = MakeJob("first", 2);
  BatchJob second = MakeJob("second", 1);
  second.samples[0] = first.samples[1];
  const SampleKey in_first = MakeSampleKey(first, first.samples[1]);
  const SampleKey in_second = MakeSampleKey(second, second.samples[0]);
  CHECK_TRUE(in_first.sample == in_second.sample);
  CHECK_FALSE(in_first.job == in_second.job);
  CHECK_FALSE(in_first.sample == MakeSampleKey(first, first.samples[0]).sample);
}

}  // namespace carobbank
