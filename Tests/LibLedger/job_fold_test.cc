// Tests of the fold of batch jobs: pieces, positions, duplicates, ends and
// deletion. They guard against readers of one partition that disagree on a
// job's results, and against malformed records that change the state.

#include "LibLedger/ledger.h"
#include "Support/sample_jobs.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr std::size_t kRecordBytes = 262'144;

void Accept(JobFold& fold, const BatchJob& job) {
  for (const KeyedRecord& record : EncodeJob(job, kRecordBytes)) {
    fold.Apply(record.key, record.value);
  }
}

bool AddResult(JobFold& fold, const std::string& job, const JobResult& result) {
  const KeyedRecord record = EncodeResult(job, result);
  return fold.Apply(record.key, record.value);
}

}  // namespace

TEST_GROUP(JobFold) {
  JobFold fold;
};

TEST(JobFold, EncodedJobDecodesToTheSameJob) {
  BatchJob job = MakeJob("a", 2);
  job.model = "m";
  job.step = 7;
  job.min_version = 6;
  job.target_groups = 1;
  job.accepted_at = 1'800'000'000'123;
  job.samples[1].reward = RewardCall{"r", "h", "/s/1", "Ym9keQ=="};
  Accept(this->fold, job);
  const JobState* const state = this->fold.Find("a");
  CHECK_TRUE(state != nullptr);
  LONGS_EQUAL(6, state->job.min_version);
  CHECK_TRUE(state->job.accepted_at == 1'800'000'000'123);
  LONGS_EQUAL(60'000, state->job.abandon_after.count());
  CHECK_FALSE(state->job.samples[0].reward.has_value());
  STRCMP_EQUAL("/s/1", state->job.samples[1].reward->path.c_str());
  STRCMP_EQUAL("X-Prompt", state->job.samples[0].headers[0].name.c_str());
}

TEST(JobFold, TheWorkspaceIsStoredAndEmptyInRecordsFromBeforeWorkspaces) {
  BatchJob job = MakeJob("a", 1);
  job.workspace = "acme";
  Accept(this->fold, job);
  Accept(this->fold, MakeJob("b", 1));
  STRCMP_EQUAL("acme", this->fold.Find("a")->job.workspace.c_str());
  STRCMP_EQUAL("", this->fold.Find("b")->job.workspace.c_str());
  // The record of a job without a workspace has the form of earlier releases.
  const std::string text = EncodeJob(MakeJob("b", 1), kRecordBytes)[0].value;
  CHECK_TRUE(text.find("workspace") == std::string::npos);
}

TEST(JobFold, AJobInPiecesIsAcceptedWithItsLastPieceInAnyOrder) {
  std::vector<KeyedRecord> records = EncodeJob(MakeJob("a", 40), 2'048);
  CHECK_TRUE(records.size() > 2);
  std::swap(records.front(), records.back());
  for (std::size_t i = 0; i + 1 < records.size(); ++i) {
    CHECK_FALSE(this->fold.Apply(records[i].key, records[i].value));
    CHECK_TRUE(this->fold.Find("a") == nullptr);
  }
  CHECK_TRUE(this->fold.Apply(records.back().key, records.back().value));
  LONGS_EQUAL(40, this->fold.Find("a")->job.samples.size());
}

TEST(JobFold, TheFirstResultOfASampleKeepsItsPositionAndContent) {
  Accept(this->fold, MakeJob("a", 3));
  AddResult(this->fold, "a", MakeResult("a-2", "first"));
  AddResult(this->fold, "a", MakeResult("a-0", "second"));
  CHECK_FALSE(AddResult(this->fold, "a", MakeResult("a-2", "other")));
  const JobState& state = *this->fold.Find("a");
  LONGS_EQUAL(2, state.results.size());
  STRCMP_EQUAL("a-2", state.results[0].sample_id.c_str());
  STRCMP_EQUAL("first", state.results[0].output.c_str());
  LONGS_EQUAL(4, state.results[0].versions.back());
  CHECK_FALSE(state.Complete());
}

TEST(JobFold, ResultsOfUnknownJobsAndSamplesChangeNothing) {
  Accept(this->fold, MakeJob("a", 1));
  CHECK_FALSE(AddResult(this->fold, "b", MakeResult("b-0", "x")));
  CHECK_FALSE(AddResult(this->fold, "a", MakeResult("b-0", "x")));
  LONGS_EQUAL(0, this->fold.Find("a")->results.size());
}

TEST(JobFold, ASecondAcceptanceChangesNothing) {
  Accept(this->fold, MakeJob("a", 2));
  AddResult(this->fold, "a", MakeResult("a-0", "x"));
  Accept(this->fold, MakeJob("a", 2));
  LONGS_EQUAL(1, this->fold.Find("a")->results.size());
}

TEST(JobFold, AnEndedJobKeepsItsResults) {
  Accept(this->fold, MakeJob("a", 2));
  AddResult(this->fold, "a", MakeResult("a-0", "x"));
  const KeyedRecord end = EncodeEnd("a");
  CHECK_TRUE(this->fold.Apply(end.key, end.value));
  CHECK_FALSE(this->fold.Apply(end.key, end.value));
  CHECK_TRUE(this->fold.Find("a")->ended);
  LONGS_EQUAL(1, this->fold.Find("a")->results.size());
}

TEST(JobFold, DeletingAllKeysRemovesTheJob) {
  for (const KeyedRecord& record : EncodeJob(MakeJob("a", 40), 2'048)) {
    this->fold.Apply(record.key, record.value);
  }
  AddResult(this->fold, "a", MakeResult("a-0", "x"));
  for (const std::string& key : this->fold.KeysOf("a")) {
    this->fold.Apply(key, "");
  }
  CHECK_TRUE(this->fold.Find("a") == nullptr);
  LONGS_EQUAL(0, this->fold.Jobs().size());
}

TEST(JobFold, MalformedRecordsAreCountedAndChangeNothing) {
  const struct {
    const char* key;
    const char* value;
  } cases[] = {
      {"", "x"},           {"x/a", "{}"},       {"j/a", "{}"},
      {"j/a/1/1", "{}"},   {"j/a/0/1", "{}"},   {"j/a/0/1", "not json"},
      {"j/a/0/1/2", "{}"}, {"j/a/-1/1", "{}"},  {"r/a/s", "[]"},
      {"j//0/1", "{}"},    {"r/", "{\"a\":1}"},
  };
  for (const auto& bad : cases) {
    CHECK_FALSE(this->fold.Apply(bad.key, bad.value));
  }
  LONGS_EQUAL(0, this->fold.Jobs().size());
  LONGS_EQUAL(sizeof(cases) / sizeof(cases[0]), this->fold.MalformedRecords());
}

TEST(JobFold, MalformedJobsAreCounted) {
  std::size_t malformed = 0;
  for (const char* text :
       {"[]", R"({"id":"a"})", R"({"id":"a","samples":[]})",
        R"({"id":"a","samples":[7]})", R"({"id":"a","samples":["x"]})"}) {
    this->fold.Apply(PieceKey("a", 0, 1), text);
    LONGS_EQUAL(++malformed, this->fold.MalformedRecords());
  }
  CHECK_TRUE(this->fold.Find("a") == nullptr);
}

}  // namespace carobbank
