// Conditional writes of one partition under lost answers, late appends, other
// writers and outages.

#include "Services/Gateway/job_partition.h"
#include "gateway_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

std::vector<KeyedRecord> RecordsOf(const BatchJob& job) {
  return EncodeJob(job, 262'144);
}

}  // namespace

TEST_GROUP(JobPartition) {
  GatewayFixture fixture;
  int batches = 0;
  JobPartition partition{fixture.runner.loop, fixture.clock,
                         fixture.log,         JobsPart(),
                         1'000'000,           [this] { ++this->batches; }};
  std::vector<WriteOutcome> ends;

  void setup() override {
    this->partition.Follow();
    CHECK_TRUE(this->fixture.runner.RunUntil(
        [this] { return this->partition.Synced(); }));
  }

  void WriteJob(const std::string& id, Milliseconds patience) {
    JobWrite write;
    write.records = RecordsOf(MakeJob(id, 2));
    write.timeout = patience;
    write.is_redundant = [id](const JobFold& fold) {
      return fold.Find(id) != nullptr;
    };
    write.done = [this](WriteOutcome end) { this->ends.push_back(end); };
    this->partition.Write(std::move(write));
  }

  void WriteResult(const std::string& sample, const std::string& output) {
    const KeyedRecord record = EncodeResult("a", MakeResult(sample, output));
    JobWrite write;
    write.records = {{record.key, record.value}};
    write.allow_batching = true;
    write.is_redundant = [sample](const JobFold& fold) {
      const JobState* const state = fold.Find("a");
      return state == nullptr || state->has_result[*state->IndexOf(sample)];
    };
    write.done = [this](WriteOutcome end) { this->ends.push_back(end); };
    this->partition.Write(std::move(write));
  }

  void PutResult(const std::string& sample, const std::string& output) {
    const KeyedRecord record = EncodeResult("a", MakeResult(sample, output));
    this->fixture.log.Put(JobsPart(), {{record.key, record.value}});
  }

  void WaitForEnds(std::size_t count) {
    CHECK_TRUE(this->fixture.runner.RunUntil(
        [this, count] { return this->ends.size() >= count; }));
  }

  std::size_t CountKeys(const std::string& prefix) {
    std::size_t count = 0;
    for (const KeyedLogRecord& record : this->fixture.log.Records(JobsPart())) {
      count += record.record.key.starts_with(prefix) ? 1 : 0;
    }
    return count;
  }
};

TEST(JobPartition, AnEmptyPartitionGetsARecordOnce) {
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return this->fixture.log.Records(JobsPart()).size() == 1; }));
  JobPartition second(this->fixture.runner.loop, this->fixture.clock,
                      this->fixture.log, JobsPart(), 1'000'000, [] {});
  second.Follow();
  CHECK_TRUE(this->fixture.runner.RunUntil([&] { return second.Synced(); }));
  this->fixture.runner.RunFor(Milliseconds(50));
  LONGS_EQUAL(1, this->fixture.log.Records(JobsPart()).size());
  LONGS_EQUAL(0, this->partition.Fold().MalformedRecords());
}

TEST(JobPartition, AWriteIsInTheFoldWhenItIsDone) {
  this->WriteJob("a", Milliseconds(60'000));
  this->WaitForEnds(1);
  CHECK_TRUE(this->ends[0] == WriteOutcome::kDone);
  CHECK_TRUE(this->partition.Fold().Find("a") != nullptr);
}

TEST(JobPartition, ALostAnswerIsFoundInTheLogAndNotWrittenTwice) {
  this->fixture.log.faults.lost_answers = 1;
  this->WriteJob("a", Milliseconds(60'000));
  this->WaitForEnds(1);
  CHECK_TRUE(this->ends[0] == WriteOutcome::kDone);
  LONGS_EQUAL(1, this->CountKeys("j/a"));
}

TEST(JobPartition, AnAppendCarriedOutLateWritesNothingTwice) {
  this->fixture.log.faults.late_appends = 1;
  this->WriteJob("a", Milliseconds(60'000));
  this->WaitForEnds(1);
  this->fixture.log.ApplyLate();
  LONGS_EQUAL(1, this->CountKeys("j/a"));
}

TEST(JobPartition, WithoutAnyAnswerInTimeTheOutcomeIsUnknown) {
  this->fixture.log.faults.late_appends = 1'000;
  this->WriteJob("a", Milliseconds(100));
  this->WaitForEnds(1);
  CHECK_TRUE(this->ends[0] == WriteOutcome::kUnknown);
}

TEST(JobPartition, AWriteThatWasOnlyRefusedIsCertainlyNotWritten) {
  this->fixture.log.faults.refused_appends = 1'000;
  this->WriteJob("a", Milliseconds(150));
  this->WaitForEnds(1);
  CHECK_TRUE(this->ends[0] == WriteOutcome::kNotWritten);
  this->fixture.log.faults.refused_appends = 0;
  this->fixture.runner.RunFor(Milliseconds(500));
  LONGS_EQUAL(0, this->CountKeys("j/a"));
}

TEST(JobPartition, TheFirstResultInTheLogStandsAgainstALaterOne) {
  this->WriteJob("a", Milliseconds(60'000));
  this->WaitForEnds(1);
  this->WriteResult("a-0", "mine");
  this->PutResult("a-0", "theirs");
  this->WaitForEnds(2);
  LONGS_EQUAL(1, this->CountKeys("r/a/a-0"));
  STRCMP_EQUAL("theirs",
               this->partition.Fold().Find("a")->results[0].output.c_str());
}

TEST(JobPartition, ResultsGatherIntoOneAppend) {
  this->WriteJob("a", Milliseconds(60'000));
  this->WaitForEnds(1);
  const std::size_t before = this->fixture.log.appends;
  this->WriteResult("a-0", "x");
  this->WriteResult("a-1", "y");
  this->WaitForEnds(3);
  LONGS_EQUAL(before + 1, this->fixture.log.appends);
  CHECK_TRUE(this->partition.Fold().Find("a")->Complete());
}

TEST(JobPartition, ResultsOutlastAnOutage) {
  this->WriteJob("a", Milliseconds(60'000));
  this->WaitForEnds(1);
  this->fixture.log.faults.outage = true;
  this->fixture.log.FailWaitingReads();
  this->WriteResult("a-0", "x");
  this->fixture.runner.RunFor(Milliseconds(300));
  LONGS_EQUAL(1, this->ends.size());
  this->fixture.log.faults.outage = false;
  this->WaitForEnds(2);
  LONGS_EQUAL(1, this->CountKeys("r/a/a-0"));
}

TEST(JobPartition, PositionsSurviveDeletedRecords) {
  this->WriteJob("a", Milliseconds(60'000));
  this->WaitForEnds(1);
  this->PutResult("a-1", "one");
  CHECK_TRUE(this->fixture.runner.RunUntil([this] {
    return this->partition.Fold().Find("a")->results.size() == 1;
  }));
  this->fixture.log.faults.outage = true;
  this->fixture.log.FailWaitingReads();
  this->fixture.runner.RunFor(Milliseconds(50));
  this->PutResult("a-0", "two");
  this->fixture.log.Expire(JobsPart(),
                           this->fixture.log.Records(JobsPart()).size());
  this->fixture.log.faults.outage = false;
  CHECK_TRUE(this->fixture.runner.RunUntil([this] {
    const JobState* const state = this->partition.Fold().Find("a");
    return state != nullptr && state->results.size() == 2;
  }));
  const JobState& state = *this->partition.Fold().Find("a");
  STRCMP_EQUAL("one", state.results[0].output.c_str());
  STRCMP_EQUAL("two", state.results[1].output.c_str());
}

TEST(JobPartition, ARefreshKnowsWhatTheLogHeldWhenItBegan) {
  bool fresh = false;
  this->fixture.log.Put(JobsPart(), RecordsOf(MakeJob("b", 1)));
  this->partition.Refresh([&](bool known) { fresh = known; });
  CHECK_TRUE(this->fixture.runner.RunUntil([&] { return fresh; }));
  CHECK_TRUE(this->partition.Fold().Find("b") != nullptr);
}

TEST(JobPartition, ARefreshDuringAnOutageSaysThatItKnowsNothing) {
  this->fixture.log.faults.outage = true;
  int answers = 0;
  bool fresh = true;
  this->partition.Refresh([&](bool known) {
    fresh = known;
    ++answers;
  });
  CHECK_TRUE(this->fixture.runner.RunUntil([&] { return answers == 1; }));
  CHECK_FALSE(fresh);
}

TEST(JobPartition, ARestingPartitionForgetsAndIsReadAgain) {
  this->WriteJob("a", Milliseconds(60'000));
  CHECK_FALSE(this->partition.TryUnfollow());
  this->WaitForEnds(1);
  CHECK_TRUE(this->partition.TryUnfollow());
  CHECK_FALSE(this->partition.Following());
  CHECK_FALSE(this->partition.Synced());
  CHECK_TRUE(this->partition.Fold().Find("a") == nullptr);
  this->partition.Follow();
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return this->partition.Synced(); }));
  CHECK_TRUE(this->partition.Fold().Find("a") != nullptr);
}

}  // namespace carobbank
