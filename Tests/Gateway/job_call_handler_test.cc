// Tests of responses to requests about batch jobs: idempotent submissions,
// paged and waiting reads, and responses while the log is unreachable. They
// guard against a "not found" or "accepted" that the log does not back.

#include "Services/Gateway/job_call_handler.h"
#include "gateway_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(JobCallHandler) {
  GatewayFixture fixture;
  std::vector<std::unique_ptr<JobPartition>> partitions;
  std::unique_ptr<JobCallHandler> handler;
  ReceivedResponse caller;

  void setup() override {
    this->partitions.push_back(std::make_unique<JobPartition>(
        this->fixture.runner.loop, this->fixture.clock, this->fixture.log,
        JobsPartition(), 1'000'000,
        [this] { this->handler->OnPartitionChanged(0); }));
    this->handler = std::make_unique<JobCallHandler>(this->fixture.environment);
    this->partitions[0]->Follow();
    CHECK_TRUE(this->fixture.runner.RunUntil(
        [this] { return this->partitions[0]->Synced(); }));
  }
  void teardown() override {
    this->handler.reset();
    this->partitions.clear();
  }

  int Submit(const std::string& id) {
    this->caller = ReceivedResponse();
    HostRoute route;
    route.abandon_after = Milliseconds(60'000);
    this->handler->Submit(route, MakeJob(id, 2), *this->partitions[0],
                          std::make_shared<FakeResponder>(this->caller));
    return this->WaitForStatus();
  }

  int Handle(JobCall call) {
    this->caller = ReceivedResponse();
    this->handler->Handle(call, *this->partitions[0],
                          std::make_shared<FakeResponder>(this->caller));
    return this->WaitForStatus();
  }

  int WaitForStatus() {
    CHECK_TRUE(this->fixture.runner.RunUntil(
        [this] { return this->caller.status != 0; }));
    return this->caller.status;
  }

  static JobCall Read(const std::string& id, std::size_t position,
                      Milliseconds wait = Milliseconds(0)) {
    JobCall call;
    call.kind = JobCallKind::kReadResults;
    call.job_id = id;
    call.position = position;
    call.wait = wait;
    return call;
  }
  static JobCall Body(const std::string& id, const std::string& sample) {
    JobCall call;
    call.kind = JobCallKind::kReadBody;
    call.job_id = id;
    call.sample_id = sample;
    return call;
  }
  static JobCall End(const std::string& id) {
    JobCall call;
    call.kind = JobCallKind::kEnd;
    call.job_id = id;
    return call;
  }

  void PutResult(const std::string& sample, const std::string& output) {
    const KeyedRecord record = EncodeResult("a", MakeResult(sample, output));
    this->fixture.log.Put(JobsPartition(), {{record.key, record.value}});
  }
  void BreakLog() {
    this->fixture.log.faults.outage = true;
    this->fixture.log.FailWaitingReads();
    this->fixture.runner.RunFor(Milliseconds(20));
  }
};

TEST(JobCallHandler, ASubmissionIsAcceptedOnceAndConfirmedAgain) {
  LONGS_EQUAL(202, this->Submit("a"));
  const std::size_t appends = this->fixture.log.appends;
  LONGS_EQUAL(202, this->Submit("a"));
  LONGS_EQUAL(appends, this->fixture.log.appends);
}

TEST(JobCallHandler,
     ASubmissionIsRefusedAndNeverWrittenWhileTheLogIsUnreachable) {
  this->BreakLog();
  LONGS_EQUAL(503, this->Submit("a"));
  CHECK_TRUE(FindHeader(this->caller.headers, "Retry-After").has_value());
  this->fixture.log.faults.outage = false;
  this->fixture.runner.RunFor(Milliseconds(600));
  for (const KeyedLogRecord& record :
       this->fixture.log.Records(JobsPartition())) {
    CHECK_FALSE(record.record.key.starts_with("j/"));
  }
}

TEST(JobCallHandler, AnUnconfirmedSubmissionReportsAnUnknownOutcome) {
  this->fixture.log.faults.late_appends = 10'000;
  LONGS_EQUAL(504, this->Submit("a"));
}

TEST(JobCallHandler, ResultsComeInPagesFromAnyPosition) {
  this->Submit("a");
  this->PutResult("a-1", "one");
  this->PutResult("a-0", "two");
  LONGS_EQUAL(200, this->Handle(Read("a", 0, Milliseconds(1'000))));
  this->fixture.runner.RunFor(Milliseconds(20));
  this->Handle(Read("a", 0));
  STRCMP_EQUAL("2/2:one;two;", this->caller.body.c_str());
  this->Handle(Read("a", 1));
  STRCMP_EQUAL("2/2:two;", this->caller.body.c_str());
  this->Handle(Read("a", 2));
  STRCMP_EQUAL("2/2:", this->caller.body.c_str());
}

TEST(JobCallHandler, AReadWaitsForTheNextResult) {
  this->Submit("a");
  this->handler->Handle(Read("a", 0, Milliseconds(60'000)),
                        *this->partitions[0],
                        std::make_shared<FakeResponder>(this->caller));
  this->caller = ReceivedResponse();
  this->fixture.runner.RunFor(Milliseconds(20));
  LONGS_EQUAL(0, this->caller.status);
  CHECK_TRUE(this->handler->HasWaitingReads(*this->partitions[0]));
  this->PutResult("a-0", "x");
  LONGS_EQUAL(200, this->WaitForStatus());
  STRCMP_EQUAL("1/2:x;", this->caller.body.c_str());
  CHECK_FALSE(this->handler->HasWaitingReads(*this->partitions[0]));
}

TEST(JobCallHandler, AWaitingReadEndsAtItsTimeoutOrWithItsConnection) {
  this->Submit("a");
  LONGS_EQUAL(200, this->Handle(Read("a", 0, Milliseconds(30))));
  STRCMP_EQUAL("0/2:", this->caller.body.c_str());
  this->handler->Handle(Read("a", 0, Milliseconds(60'000)),
                        *this->partitions[0],
                        std::make_shared<FakeResponder>(this->caller));
  this->fixture.runner.RunFor(Milliseconds(20));
  this->caller.close();
  CHECK_FALSE(this->handler->HasWaitingReads(*this->partitions[0]));
}

TEST(JobCallHandler, AWaitingReadFindsNoResultThoughTheLogBecameUnreachable) {
  this->Submit("a");
  this->caller = ReceivedResponse();
  this->handler->Handle(Read("a", 0, Milliseconds(100)), *this->partitions[0],
                        std::make_shared<FakeResponder>(this->caller));
  this->fixture.log.faults.outage = true;
  this->fixture.log.FailWaitingReads();
  JobResult result;
  result.sample_id = "a-0";
  result.completed = true;
  this->fixture.log.Put(JobsPartition(), {EncodeResult("a", result)});
  LONGS_EQUAL(503, this->WaitForStatus());
  this->fixture.log.faults.outage = false;
  LONGS_EQUAL(200, this->Handle(Read("a", 0, Milliseconds(5'000))));
  STRCMP_EQUAL("1/2:;", this->caller.body.c_str());
}

TEST(JobCallHandler, AJobAcceptedByAnotherInstanceIsFoundAfterARefresh) {
  for (const KeyedRecord& record : EncodeJob(MakeJob("b", 1), 262'144)) {
    this->fixture.log.Put(JobsPartition(), {{record.key, record.value}});
  }
  LONGS_EQUAL(200, this->Handle(Read("b", 0)));
}

TEST(JobCallHandler, AnUnknownJobIsNotFoundOnlyWhileTheLogIsReachable) {
  for (const JobCall& call : {Read("x", 0), Body("x", "x-0"), End("x")}) {
    LONGS_EQUAL(404, this->Handle(call));
  }
  this->BreakLog();
  for (const JobCall& call : {Read("x", 0), Body("x", "x-0"), End("x")}) {
    LONGS_EQUAL(503, this->Handle(call));
  }
}

TEST(JobCallHandler, ResultsAlreadyReadAreServedWhileTheLogIsUnreachable) {
  this->Submit("a");
  this->PutResult("a-0", "x");
  this->fixture.runner.RunFor(Milliseconds(20));
  this->BreakLog();
  LONGS_EQUAL(200, this->Handle(Read("a", 0)));
  STRCMP_EQUAL("1/2:x;", this->caller.body.c_str());
  // Another instance may have read further results.
  LONGS_EQUAL(503, this->Handle(Read("a", 2)));
}

TEST(JobCallHandler, ABodyIsReadableUntilItsSampleHasAResult) {
  this->Submit("a");
  LONGS_EQUAL(200, this->Handle(Body("a", "a-0")));
  STRCMP_EQUAL("body of a-0", this->caller.body.c_str());
  LONGS_EQUAL(404, this->Handle(Body("a", "b-0")));
  this->PutResult("a-0", "x");
  this->fixture.runner.RunFor(Milliseconds(20));
  LONGS_EQUAL(404, this->Handle(Body("a", "a-0")));
}

TEST(JobCallHandler, AnEndIsConfirmedOnceItIsInTheLogAndOnRepetition) {
  this->Submit("a");
  LONGS_EQUAL(200, this->Handle(End("a")));
  CHECK_TRUE(this->partitions[0]->Fold().Find("a")->ended);
  const std::size_t appends = this->fixture.log.appends;
  LONGS_EQUAL(200, this->Handle(End("a")));
  LONGS_EQUAL(appends, this->fixture.log.appends);
}

}  // namespace carobbank
