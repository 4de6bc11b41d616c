// Guards against crashes that other gateways never learn of, or go on counting
// after their retraction, whatever happens to the log's responses.

#include "Services/Gateway/request_record_log.h"
#include "gateway_fixture.h"

#include <set>

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

CrashReport Crash(const std::string& digest, const std::string& instance) {
  CrashReport report;
  report.instance = instance;
  report.digests = {digest};
  report.started_at = 7;
  report.at = 1'000;
  return report;
}

}  // namespace

// A gateway's crash log and the crashes that it has reported.
struct CrashReader {
  explicit CrashReader(GatewayFixture& fixture)
      : log(fixture.environment, CrashesPartition(), {}, this->Handlers()) {
    this->log.Start();
  }

  RequestRecordHandlers Handlers() {
    RequestRecordHandlers handlers;
    handlers.on_crash = [this](const CrashReport& report) {
      this->crashes.insert(report.digests.front() + "/" + report.instance);
      this->last = report;
    };
    handlers.on_retracted = [this](std::string_view digest,
                                   std::string_view instance,
                                   WallMilliseconds /*started_at*/) {
      this->crashes.erase(std::string(digest) + "/" + std::string(instance));
    };
    handlers.on_reset = [this] { this->crashes.clear(); };
    return handlers;
  }

  std::set<std::string> crashes;
  CrashReport last;
  RequestRecordLog log;
};

TEST_GROUP(RequestRecordLog) {
  GatewayFixture fixture;
  std::unique_ptr<CrashReader> writer;
  std::unique_ptr<CrashReader> reader;

  void setup() override {
    this->writer = std::make_unique<CrashReader>(this->fixture);
    this->reader = std::make_unique<CrashReader>(this->fixture);
    CHECK_TRUE(this->fixture.runner.RunUntil([this] {
      return this->fixture.log.Records(CrashesPartition()).size() >= 1;
    }));
  }
  void teardown() override {
    this->writer.reset();
    this->reader.reset();
  }

  bool ReaderSees(const std::set<std::string>& crashes) {
    return this->fixture.runner.RunUntil(
        [&] { return this->reader->crashes == crashes; });
  }
};

TEST(RequestRecordLog, ACrashAndItsRetractionReachOtherGateways) {
  this->writer->log.Record(Crash("x", "s1"));
  CHECK_TRUE(this->ReaderSees({"x/s1"}));
  LONGS_EQUAL(7, this->reader->last.started_at);
  LONGS_EQUAL(1'000, this->reader->last.at);
  this->writer->log.Retract("x", {"s1", 7});
  CHECK_TRUE(this->ReaderSees({}));
  CHECK_TRUE(this->writer->log.Unconfirmed().empty());
}

TEST(RequestRecordLog, FaultsOfTheLogDelayCrashesWithoutLosingThem) {
  FakePartitionedLogFaults& faults = this->fixture.log.faults;
  faults.refused_appends = 2;
  this->writer->log.Record(Crash("refused", "s1"));
  CHECK_TRUE(this->ReaderSees({"refused/s1"}));
  faults.lost_answers = 2;
  this->writer->log.Record(Crash("lost", "s1"));
  CHECK_TRUE(this->ReaderSees({"refused/s1", "lost/s1"}));
  faults.late_appends = 1;
  this->writer->log.Record(Crash("late", "s1"));
  CHECK_TRUE(this->ReaderSees({"refused/s1", "lost/s1", "late/s1"}));
  this->fixture.log.ApplyLate();
  faults.outage = true;
  this->fixture.log.FailWaitingReads();
  this->writer->log.Record(Crash("outage", "s1"));
  this->fixture.runner.RunFor(Milliseconds(120));
  LONGS_EQUAL(1, this->writer->log.Unconfirmed().size());
  faults.outage = false;
  CHECK_TRUE(
      this->ReaderSees({"refused/s1", "lost/s1", "late/s1", "outage/s1"}));
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return this->writer->log.Unconfirmed().empty(); }));
}

TEST(RequestRecordLog,
     ASnapshotDropsWhatWasRetractedAndKeepsWhatIsUnconfirmed) {
  this->writer->log.Record(Crash("x", "s1"));
  this->writer->log.Record(Crash("y", "s1"));
  CHECK_TRUE(this->ReaderSees({"x/s1", "y/s1"}));
  this->fixture.log.faults.outage = true;
  this->fixture.log.FailWaitingReads();
  this->reader->log.Record(Crash("z", "s1"));
  this->fixture.runner.RunFor(Milliseconds(20));
  // Retracted while this gateway could not read, and expired since.
  this->fixture.log.Put(CrashesPartition(), {{"x/s1/7", ""}});
  this->fixture.log.Expire(
      CrashesPartition(), this->fixture.log.Records(CrashesPartition()).size());
  this->reader->crashes.insert("z/s1");
  this->fixture.log.faults.outage = false;
  CHECK_TRUE(this->ReaderSees({"y/s1", "z/s1"}));
}

TEST(RequestRecordLog, RecordsOfAPeerThatIsLostAreAppended) {
  this->fixture.log.faults.outage = true;
  this->fixture.log.FailWaitingReads();
  this->writer->log.Record(Crash("x", "s1"));
  const std::vector<KeyedRecord> records = RequestRecordLog::Decode(
      RequestRecordLog::Encode(this->writer->log.Unconfirmed()));
  this->writer.reset();
  this->reader->log.ReceiveFromPeer(records);
  CHECK_TRUE(this->reader->crashes.contains("x/s1"));
  this->fixture.log.faults.outage = false;
  CHECK_TRUE(this->fixture.runner.RunUntil([this] {
    return this->fixture.log.Records(CrashesPartition()).back().record.key ==
           "x/s1/7";
  }));
}

TEST(RequestRecordLog, MalformedRecordsAreSkipped) {
  const char* const texts[] = {
      "",
      "[]",
      "{}",
      R"({"crashes":1})",
      R"({"crashes":[1,[],["a"],["no slashes",""],["a/b",""],[1,""]]})",
      R"({"crashes":[["a/b/not a number",""],["a/b/1",2]]})"};
  for (const char* const text : texts) {
    CHECK_TRUE_TEXT(RequestRecordLog::Decode(text).empty(), text);
  }
  LONGS_EQUAL(
      1, RequestRecordLog::Decode(R"({"crashes":[["a/b/1",""],[]]})").size());
  // A value in another form, as another version may write it.
  this->fixture.log.Put(
      CrashesPartition(),
      {{"x/s1/7", "not JSON"}, {"m/", "{}"}, {"y/s2/7", "{\"at\":\"soon\"}"}});
  CHECK_TRUE(this->ReaderSees({"y/s2"}));
}

}  // namespace carobbank
