// Tests of conditional writes to one partition under lost responses, late
// appends, other writers and outages. They guard against records written twice
// and against wrong outcomes of writes.

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
                         fixture.log,         JobsPartition(),
                         1'000'000,           [this] { ++this->batches; }};
  std::vector<WriteOutcome> outcomes;

  void setup() override {
    this->partition.Follow();
    CHECK_TRUE(this->fixture.runner.RunUntil(
        [this] { return this->partition.Synced(); }));
  }

  void WriteJob(const std::string& id, Milliseconds timeout) {
    JobWrite write;
    write.records = RecordsOf(MakeJob(id, 2));
    write.timeout = timeout;
    write.is_redundant = [id](const JobFold& fold) {
      return fold.Find(id) != nullptr;
    };
    write.done = [this](WriteOutcome outcome) {
      this->outcomes.push_back(outcome);
    };
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
    write.done = [this](WriteOutcome outcome) {
      this->outcomes.push_back(outcome);
    };
    this->partition.Write(std::move(write));
  }

  void PutResult(const std::string& sample, const std::string& output) {
    const KeyedRecord record = EncodeResult("a", MakeResult(sample, output));
    this->fixture.log.Put(JobsPartition(), {{record.key, record.value}});
  }

  void WaitForOutcomes(std::size_t count) {
    CHECK_TRUE(this->fixture.runner.RunUntil(
        [this, count] { return this->outcomes.size() >= count; }));
  }

  std::size_t CountKeys(const std::string& prefix) {
    std::size_t count = 0;
    for (const KeyedLogRecord& record :
         this->fixture.log.Records(JobsPartition())) {
      count += record.record.key.starts_with(prefix) ? 1 : 0;
    }
    return count;
  }
};

TEST(JobPartition, AnEmptyPartitionGetsOneNoOpRecord) {
  CHECK_TRUE(this->fixture.runner.RunUntil([this] {
    return this->fixture.log.Records(JobsPartition()).size() == 1;
  }));
  JobPartition second(this->fixture.runner.loop, this->fixture.clock,
                      this->fixture.log, JobsPartition(), 1'000'000, [] {});
  second.Follow();
  CHECK_TRUE(this->fixture.runner.RunUntil([&] { return second.Synced(); }));
  this->fixture.runner.RunFor(Milliseconds(50));
  LONGS_EQUAL(1, this->fixture.log.Records(JobsPartition()).size());
  LONGS_EQUAL(0, this->partition.Fold().MalformedRecords());
}

TEST(JobPartition, AWriteIsInTheFoldWhenItIsDone) {
  this->WriteJob("a", Milliseconds(60'000));
  this->WaitForOutcomes(1);
  CHECK_TRUE(this->outcomes[0] == WriteOutcome::kDone);
  CHECK_TRUE(this->partition.Fold().Find("a") != nullptr);
}

TEST(JobPartition, AWriteWhoseResponseIsLostIsFoundInTheLogAndNotRepeated) {
  this->fixture.log.faults.lost_answers = 1;
  this->WriteJob("a", Milliseconds(60'000));
  this->WaitForOutcomes(1);
  CHECK_TRUE(this->outcomes[0] == WriteOutcome::kDone);
  LONGS_EQUAL(1, this->CountKeys("j/a"));
}

TEST(JobPartition, AnAppendAppliedLateWritesNoRecordTwice) {
  this->fixture.log.faults.late_appends = 1;
  this->WriteJob("a", Milliseconds(60'000));
  this->WaitForOutcomes(1);
  this->fixture.log.ApplyLate();
  LONGS_EQUAL(1, this->CountKeys("j/a"));
}

TEST(JobPartition, AWriteWithoutAResponseBeforeItsTimeoutHasAnUnknownOutcome) {
  this->fixture.log.faults.late_appends = 1'000;
  this->WriteJob("a", Milliseconds(100));
  this->WaitForOutcomes(1);
  CHECK_TRUE(this->outcomes[0] == WriteOutcome::kUnknown);
}

TEST(JobPartition, AWriteThatWasOnlyRefusedIsReportedAsNotWritten) {
  this->fixture.log.faults.refused_appends = 1'000;
  this->WriteJob("a", Milliseconds(150));
  this->WaitForOutcomes(1);
  CHECK_TRUE(this->outcomes[0] == WriteOutcome::kNotWritten);
  this->fixture.log.faults.refused_appends = 0;
  this->fixture.runner.RunFor(Milliseconds(500));
  LONGS_EQUAL(0, this->CountKeys("j/a"));
}

TEST(JobPartition, TheFirstResultInTheLogIsInForce) {
  this->WriteJob("a", Milliseconds(60'000));
  this->WaitForOutcomes(1);
  this->WriteResult("a-0", "mine");
  this->PutResult("a-0", "theirs");
  this->WaitForOutcomes(2);
  LONGS_EQUAL(1, this->CountKeys("r/a/a-0"));
  STRCMP_EQUAL("theirs",
               this->partition.Fold().Find("a")->results[0].output.c_str());
}

TEST(JobPartition, ResultsAreBatchedIntoOneAppend) {
  this->WriteJob("a", Milliseconds(60'000));
  this->WaitForOutcomes(1);
  const std::size_t before = this->fixture.log.appends;
  this->WriteResult("a-0", "x");
  this->WriteResult("a-1", "y");
  this->WaitForOutcomes(3);
  LONGS_EQUAL(before + 1, this->fixture.log.appends);
  CHECK_TRUE(this->partition.Fold().Find("a")->Complete());
}

TEST(JobPartition, ResultsAreWrittenAfterAnOutage) {
  this->WriteJob("a", Milliseconds(60'000));
  this->WaitForOutcomes(1);
  this->fixture.log.faults.outage = true;
  this->fixture.log.FailWaitingReads();
  this->WriteResult("a-0", "x");
  this->fixture.runner.RunFor(Milliseconds(300));
  LONGS_EQUAL(1, this->outcomes.size());
  this->fixture.log.faults.outage = false;
  this->WaitForOutcomes(2);
  LONGS_EQUAL(1, this->CountKeys("r/a/a-0"));
}

TEST(JobPartition, ResultPositionsStayTheSameAfterRecordsExpire) {
  this->WriteJob("a", Milliseconds(60'000));
  this->WaitForOutcomes(1);
  this->PutResult("a-1", "one");
  CHECK_TRUE(this->fixture.runner.RunUntil([this] {
    return this->partition.Fold().Find("a")->results.size() == 1;
  }));
  this->fixture.log.faults.outage = true;
  this->fixture.log.FailWaitingReads();
  this->fixture.runner.RunFor(Milliseconds(50));
  this->PutResult("a-0", "two");
  this->fixture.log.Expire(JobsPartition(),
                           this->fixture.log.Records(JobsPartition()).size());
  this->fixture.log.faults.outage = false;
  CHECK_TRUE(this->fixture.runner.RunUntil([this] {
    const JobState* const state = this->partition.Fold().Find("a");
    return state != nullptr && state->results.size() == 2;
  }));
  const JobState& state = *this->partition.Fold().Find("a");
  STRCMP_EQUAL("one", state.results[0].output.c_str());
  STRCMP_EQUAL("two", state.results[1].output.c_str());
}

TEST(JobPartition, ARefreshReadsAllRecordsInTheLogAtItsStart) {
  bool fresh = false;
  this->fixture.log.Put(JobsPartition(), RecordsOf(MakeJob("b", 1)));
  this->partition.Refresh([&](bool success) { fresh = success; });
  CHECK_TRUE(this->fixture.runner.RunUntil([&] { return fresh; }));
  CHECK_TRUE(this->partition.Fold().Find("b") != nullptr);
}

TEST(JobPartition, ARefreshDuringAnOutageFails) {
  this->fixture.log.faults.outage = true;
  int callbacks = 0;
  bool fresh = true;
  this->partition.Refresh([&](bool success) {
    fresh = success;
    ++callbacks;
  });
  CHECK_TRUE(this->fixture.runner.RunUntil([&] { return callbacks == 1; }));
  CHECK_FALSE(fresh);
}

TEST(JobPartition, AnUnfollowedPartitionIsClearedAndReadAgain) {
  this->WriteJob("a", Milliseconds(60'000));
  CHECK_FALSE(this->partition.TryUnfollow());
  this->WaitForOutcomes(1);
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
